import type { Socket } from 'node:net';
import type { AppError, MemberId, Millis, Result } from '@turmerichoist/core';
import type { JsonValue } from '../../store/index.js';
import type {
  Broadcast,
  MemberStatus,
  MessageOf,
  Peer,
  PeerMessage,
} from '../../state/peers/index.js';
import type { PeerLink } from './peer-link.js';
import type { PeerMember } from './types.js';

/** Result of a request to a peer. */
export type PeerResponse = Result<JsonValue, AppError>;

export type MeshMessage =
  /** Replaces the view: all members to link with; this member is ignored if included. */
  | { readonly type: 'members'; readonly members: readonly PeerMember[] }
  /** Replaces the status of this member that heartbeats carry. */
  | { readonly type: 'status'; readonly status: MemberStatus }
  | { readonly type: 'publish'; readonly message: Broadcast }
  | {
      readonly type: 'request';
      readonly member: MemberId;
      readonly message: Omit<MessageOf<'request'>, 'id'>;
      readonly deadline: Millis;
      readonly resolve: (answer: PeerResponse) => void;
    }
  | { readonly type: 'accepted'; readonly socket: Socket }
  | { readonly type: 'link-ready'; readonly link: PeerLink; readonly peer: Peer }
  | { readonly type: 'link-message'; readonly link: PeerLink; readonly message: PeerMessage }
  | { readonly type: 'link-closed'; readonly link: PeerLink; readonly reason: string }
  | { readonly type: 'heartbeat' }
  | { readonly type: 'tick' };
