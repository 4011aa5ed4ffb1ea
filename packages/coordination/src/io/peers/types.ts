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
  /** `IP:port` of the peer listener. */
  readonly address: string;
}

/** Status that a member reports of itself, received directly or through a member of its zone. */
export interface PeerReport {
  readonly member: MemberId;
  /** Absent when another member forwarded the report. */
  readonly incarnation?: Incarnation;
  readonly status: Pick<MemberStatus, 'storeReachable'> & Partial<MemberStatus>;
  /** Time on this member's monotonic clock at or after which the report was true. */
  readonly datedAt: Millis;
}

/** Receives link changes, reports, broadcasts and requests from peers. Methods must not block. */
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
  /** Shared by all members; links are authenticated with it. */
  readonly secret: Uint8Array;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly listener: PeerListener;
  /** Highest protocol version to offer. Default: that of this build. */
  readonly protocolVersion?: number;
}
