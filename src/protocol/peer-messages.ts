/**
 * Messages between gateways over `ws`, encoded with `msgpackr`.
 */
import {Packr} from 'msgpackr';

/** The kinds of peer message. */
export enum PeerMessageKind {
	Heartbeat = 'heartbeat',
}

/** A gateway's heartbeat: who it is and how far it has applied the config stream. */
export type Heartbeat = {
	kind: PeerMessageKind.Heartbeat;
	id: string;
	failureDomain: string;
	/** Offset of the last config record it applied. */
	appliedOffset: number;
	configVersion: number;
	inFlight: number;
	sentAtMs: number;
};

/** Any peer message. */
export type PeerMessage = Heartbeat;

const packr = new Packr({useRecords: false});

/** Encodes a peer message. */
export function encodePeerMessage(message: PeerMessage): Uint8Array {
	return packr.pack(message);
}

/** Decodes a peer message; returns undefined for a message of unknown kind. */
export function decodePeerMessage(data: Uint8Array): PeerMessage | undefined {
	const value = packr.unpack(data) as Partial<PeerMessage>;
	return value.kind === PeerMessageKind.Heartbeat ? value as PeerMessage : undefined;
}
