/**
 * Membership of the gateways: the latest heartbeat of each peer, and whether the peer
 * is alive at a given time.
 */
import {type Heartbeat} from '../protocol/peer-messages.js';

/** Number of heartbeat intervals without a heartbeat after which a peer is no longer alive. */
export const maxMissedHeartbeats = 3;

/** The latest heartbeat of a peer, and when it arrived. */
export type PeerHeartbeat = {
	heartbeat: Heartbeat;
	receivedAtMs: number;
};

/** The table of peers. */
export class Membership {
	readonly peers = new Map<string, PeerHeartbeat>();

	constructor(private readonly heartbeatMs: number) {}

	/** Records a heartbeat received at `nowMs`. */
	recordHeartbeat(heartbeat: Heartbeat, nowMs: number): void {
		this.peers.set(heartbeat.id, {heartbeat, receivedAtMs: nowMs});
	}

	/** Whether a peer's last heartbeat is recent enough at `nowMs`. */
	isAlive(id: string, nowMs: number): boolean {
		const view = this.peers.get(id);
		return view !== undefined && nowMs - view.receivedAtMs <= this.heartbeatMs * maxMissedHeartbeats;
	}

	/** Number of gateways alive at `nowMs`, including this one. */
	aliveCount(nowMs: number): number {
		return 1 + [...this.peers.keys()].filter(id => this.isAlive(id, nowMs)).length;
	}

	/** Lists every peer with its liveness at `nowMs`, as the state dump shows it. */
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
