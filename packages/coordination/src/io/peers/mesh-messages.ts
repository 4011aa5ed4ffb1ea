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

/** What a request to a peer resolves to. */
export type Answer = Result<JsonValue, AppError>;

export type MeshMessage =
  /** Replaces the view: all members that may be linked, with or without this one. */
  | { readonly type: 'members'; readonly members: readonly PeerMember[] }
  /** Replaces what heartbeats say about this member. */
  | { readonly type: 'status'; readonly status: MemberStatus }
  | { readonly type: 'publish'; readonly message: Broadcast }
  | {
      readonly type: 'request';
      readonly member: MemberId;
      readonly message: Omit<MessageOf<'request'>, 'id'>;
      readonly deadline: Millis;
      readonly resolve: (answer: Answer) => void;
    }
  | { readonly type: 'accepted'; readonly socket: Socket }
  | { readonly type: 'link-ready'; readonly link: PeerLink; readonly peer: Peer }
  | { readonly type: 'link-message'; readonly link: PeerLink; readonly message: PeerMessage }
  | { readonly type: 'link-closed'; readonly link: PeerLink; readonly reason: string }
  | { readonly type: 'heartbeat' }
  | { readonly type: 'tick' };
