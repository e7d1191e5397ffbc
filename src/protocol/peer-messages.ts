/** The messages between gateways, which are sent over WebSockets and encoded as MessagePack. */
import {Packr} from 'msgpackr';

/** The kinds of peer message. */
export enum PeerMessageKind {
	Heartbeat = 'heartbeat',
}

/** A gateway's heartbeat: its identity, its progress in the config stream and its load. */
export type Heartbeat = {
	kind: PeerMessageKind.Heartbeat;
	id: string;
	failureDomain: string;
	/** Offset of the last record of the config stream that it has applied. */
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
