import type { Millis } from '@turmerichoist/core';

/** Version of the frames that this build prefers; it also speaks the one before. */
export const PROTOCOL_VERSION = 2;
/** Longest frame after its length field, in bytes. */
export const MAX_FRAME_BYTES = 262_144;
/** Longest frame before the peer has proved that it knows the secret, in bytes. */
export const MAX_HANDSHAKE_FRAME_BYTES = 1_024;
/** Period of heartbeats on each link. */
export const HEARTBEAT_MS: Millis = 1_000;
/** A link that delivers no frame for this long is replaced. */
export const LINK_SILENT_MS: Millis = 3_000;
/** Largest number of members that are linked as a full mesh. */
export const FULL_MESH_MEMBERS = 12;
/** Links to each other availability zone in larger views. */
export const LINKS_PER_OTHER_ZONE = 2;
/** Messages that may wait on one link. */
export const SEND_QUEUE_MESSAGES = 256;
