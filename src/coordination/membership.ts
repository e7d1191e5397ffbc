/**
 * Membership of the gateways: what each peer last said in its heartbeat, and
 * whether it is alive, judged at a given time.
 */
import {type Heartbeat} from '../protocol/peer-messages.js';

/** Missed heartbeats after which a peer counts as gone. */
export const missedHeartbeatsAllowed = 3;

/** What one peer last said, and when it arrived. */
export type PeerView = {
	heartbeat: Heartbeat;
	receivedAtMs: number;
};

/** The table of peers. */
export class Membership {
	readonly peers = new Map<string, PeerView>();

	constructor(private readonly heartbeatMs: number) {}

	/** Records a heartbeat received at `nowMs`. */
	observe(heartbeat: Heartbeat, nowMs: number): void {
		this.peers.set(heartbeat.id, {heartbeat, receivedAtMs: nowMs});
	}

	/** Whether a peer's last heartbeat is recent enough at `nowMs`. */
	isAlive(id: string, nowMs: number): boolean {
		const view = this.peers.get(id);
		return view !== undefined && nowMs - view.receivedAtMs <= this.heartbeatMs * missedHeartbeatsAllowed;
	}

	/** Gateways alive at `nowMs`, this one included. */
	aliveCount(nowMs: number): number {
		return 1 + [...this.peers.keys()].filter(id => this.isAlive(id, nowMs)).length;
	}

	/** Every peer with its liveness at `nowMs`. */
	list(nowMs: number): Array<{id: string; alive: boolean; appliedOffset: number; configVersion: number; lastSeenMsAgo: number}> {
		return [...this.peers.values()].map(({heartbeat, receivedAtMs}) => ({
			id: heartbeat.id,
			alive: this.isAlive(heartbeat.id, nowMs),
			appliedOffset: heartbeat.appliedOffset,
			configVersion: heartbeat.configVersion,
			lastSeenMsAgo: nowMs - receivedAtMs,
		}));
	}
}
