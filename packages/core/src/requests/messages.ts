import type { AppError } from '../errors/index.js';
import type { Configuration } from '../resources/index.js';
import type {
  MemberId,
  Millis,
  QueueName,
  RequestId,
  TeamName,
  UpstreamName,
  WorkClass,
} from '../types/index.js';

/** A request at the moment of its arrival. Its body stays with the front end. */
export interface Arrival {
  readonly id: RequestId;
  readonly queue: QueueName;
  /** SHA-256 of the presented key in lower-case hexadecimal, if a key came with the request. */
  readonly keySha256?: string;
  readonly workClass: WorkClass;
  readonly idempotent: boolean;
  /** Idempotency key of which this entry is the home; it claims the key with the arrival. */
  readonly idempotencyKey?: string;
  /** Clock reading by which the answer must be complete. */
  readonly deadline: Millis;
}

/** How one attempt on an upstream ended. */
export type AttemptResult =
  /** The whole answer reached the caller. */
  | { readonly type: 'answered' }
  /** No byte was written to a connection. */
  | { readonly type: 'not-sent' }
  /** The upstream said that it did not run the request. */
  | { readonly type: 'refused' }
  /** Anything else before the head of the answer was passed on: the request may have run. */
  | { readonly type: 'failed' }
  | { readonly type: 'timed-out' }
  /** The connection went silent while new ones to the same upstream work; it may have run. */
  | { readonly type: 'silent' }
  /** The answer broke off after its head was passed on. Nothing more can be done for the caller. */
  | { readonly type: 'cut' };

/** Load that an upstream reported with an answer. */
export interface LoadReport {
  readonly running: number;
  readonly slots: number;
}

/** Waiting and running work of one team in one queue at one entry. */
export interface DemandRow {
  readonly queue: QueueName;
  readonly team: TeamName;
  readonly waiting: number;
  readonly running: number;
}

/** Why work of a team waits in a queue. */
export interface WaitingReason {
  readonly queue: QueueName;
  readonly waiting: number;
  readonly reason:
    'config-stale' | 'no-upstream' | 'grants-expired' | 'team-units' | 'upstreams-busy';
  /** Units of the team that this entry holds, and how many of them are in use. */
  readonly units: number;
  readonly running: number;
  /** Estimated time until the last of this work starts, once a service rate is measured. */
  readonly estimatedMs?: Millis;
}

export type RequestEvent =
  | { readonly type: 'config-changed'; readonly cfg: Configuration }
  | { readonly type: 'arrived'; readonly arrival: Arrival }
  | {
      readonly type: 'attempt-ended';
      readonly id: RequestId;
      readonly upstream: UpstreamName;
      /** Number of the attempt. If given, the end of an earlier attempt is ignored. */
      readonly attempt?: number;
      readonly result: AttemptResult;
      readonly load?: LoadReport;
    }
  /** The caller closed its connection. */
  | { readonly type: 'cancelled'; readonly id: RequestId }
  /** Units of each team's upper limit that this entry holds, valid until `validUntil`. */
  | {
      readonly type: 'grants-changed';
      readonly units: ReadonlyMap<TeamName, number>;
      readonly validUntil: Millis;
    }
  /** The configuration is confirmed until `until`; keyed work is refused after that. */
  | { readonly type: 'freshness'; readonly until: Millis }
  /** Demand of another entry, which replaces what it sent before. */
  | {
      readonly type: 'peer-demand';
      readonly member: MemberId;
      readonly rows: readonly DemandRow[];
    }
  | {
      readonly type: 'upstream-state';
      readonly upstream: UpstreamName;
      readonly state: 'healthy' | 'suspect' | 'leaving';
    }
  /** The live entries, this one included. */
  | { readonly type: 'members-changed'; readonly members: readonly MemberId[] }
  /** The entry stops: what waits is still served, nothing new is accepted. */
  | { readonly type: 'stopping' }
  | { readonly type: 'tick' };

export type RequestDecision =
  | {
      readonly type: 'send';
      readonly id: RequestId;
      readonly upstream: UpstreamName;
      /** 1 for the first attempt. */
      readonly attempt: number;
      /** Clock reading by which the attempt must be complete. */
      readonly deadline: Millis;
    }
  | { readonly type: 'refuse'; readonly id: RequestId; readonly err: AppError }
  /** The attempt that runs must be ended; its `attempt-ended` still follows. */
  | { readonly type: 'abort'; readonly id: RequestId };
