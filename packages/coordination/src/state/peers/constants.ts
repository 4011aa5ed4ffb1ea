import type { Millis } from '@turmerichoist/core';

/** Preferred protocol version of this build; the previous version is also supported. */
export const PROTOCOL_VERSION = 2;
/** Maximum frame size in bytes, without the length field. */
export const MAX_FRAME_BYTES = 262_144;
/** Maximum frame size in bytes until the peer is authenticated. */
export const MAX_HANDSHAKE_FRAME_BYTES = 1_024;
/** Interval between heartbeats on each link. */
export const HEARTBEAT_MS: Millis = 1_000;
/** A link that delivers no frame for this time is replaced. */
export const LINK_SILENT_MS: Millis = 3_000;
/** Up to this number of members, the links form a full mesh. */
export const FULL_MESH_MEMBERS = 12;
/** Number of members that a member chooses in each other availability zone of a sparse view. */
export const LINKS_PER_OTHER_ZONE = 2;
/** Capacity of the send queue of one link, in messages. */
export const SEND_QUEUE_MESSAGES = 256;
/** Maximum size in bytes of the body of a relayed store call or of its answer. */
export const MAX_RELAYED_BODY_BYTES = 1_572_864;
/** Maximum size in bytes of a frame on a link that relays store calls. */
export const MAX_RELAY_FRAME_BYTES = MAX_RELAYED_BODY_BYTES + 16_384;
