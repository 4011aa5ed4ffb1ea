import type { AppError, Clock, Incarnation, MemberId, Millis, Result } from '@turmerichoist/core';
import type { Metrics } from '@turmerichoist/runtime';
import type { JsonValue } from '../../store/index.js';
import type {
  Broadcast,
  MemberStatus,
  PlacedMember,
  RequestTopic,
} from '../../state/peers/index.js';

/** A member that the mesh may link with. */
export interface PeerMember extends PlacedMember {
  readonly incarnation: Incarnation;
  /** `IP:port` of its peer listener. */
  readonly address: string;
}

/** A dated report of a member about itself, received directly or through a member of its zone. */
export interface PeerReport {
  readonly member: MemberId;
  /** Absent when another member passed the report on. */
  readonly incarnation?: Incarnation;
  readonly status: Pick<MemberStatus, 'storeReachable'> & Partial<MemberStatus>;
  /** Own clock: what the report says held at this time or later. */
  readonly datedAt: Millis;
}

/** Receives what comes from peers. Calls return at once. */
export interface PeerListener {
  onLink(member: MemberId, incarnation: Incarnation, up: boolean): void;
  onReport(report: PeerReport): void;
  onBroadcast(from: MemberId, message: Broadcast): void;
  onRequest(
    from: MemberId,
    topic: RequestTopic,
    body: JsonValue,
    signal: AbortSignal,
  ): Promise<Result<JsonValue, AppError>>;
}

export interface PeerMeshOptions {
  readonly self: Omit<PeerMember, 'address'>;
  readonly listen: { readonly host: string; readonly port: number };
  /** Shared by all members. */
  readonly secret: Uint8Array;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly listener: PeerListener;
  /** Highest protocol version to speak. Default: that of this build. */
  readonly protocolVersion?: number;
}
