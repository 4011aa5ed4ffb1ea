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

/** An arriving request. The front end keeps its body. */
export interface Arrival {
  readonly id: RequestId;
  readonly queue: QueueName;
  /** SHA-256 of the presented key in lower-case hexadecimal, if any. */
  readonly keySha256?: string;
  readonly workClass: WorkClass;
  readonly idempotent: boolean;
  /** Idempotency key whose home is this entry. It is claimed when the request is accepted. */
  readonly idempotencyKey?: string;
  /** Clock reading by which the response must be complete. */
  readonly deadline: Millis;
}

/** Result of one attempt on an upstream. */
export type AttemptResult =
  /** The complete response reached the caller. */
  | { readonly type: 'answered' }
  /** No byte of the request was written to a connection. */
  | { readonly type: 'not-sent' }
  /** The upstream reported that it did not run the request. */
  | { readonly type: 'refused' }
  /** Any other failure before the response headers were forwarded. The request may have run. */
  | { readonly type: 'failed' }
  | { readonly type: 'timed-out' }
  /** The connection stalled while new ones to the same upstream work. The request may have run. */
  | { readonly type: 'silent' }
  /** The response ended early after its headers were forwarded, so it cannot be retried. */
  | { readonly type: 'cut' };

/** Load that an upstream reported with a response. */
export interface LoadReport {
  readonly running: number;
  readonly slots: number;
}

/** Number of waiting and running requests of one team in one queue at one entry. */
export interface DemandRow {
  readonly queue: QueueName;
  readonly team: TeamName;
  readonly waiting: number;
  readonly running: number;
}

/** Why requests of a team wait in a queue. */
export interface WaitingReason {
  readonly queue: QueueName;
  readonly waiting: number;
  readonly reason:
    'config-stale' | 'no-upstream' | 'grants-expired' | 'team-units' | 'upstreams-busy';
  /** Units granted to this entry for the team. `running` is the number of them in use. */
  readonly units: number;
  readonly running: number;
  /** Estimated time until the last of these requests starts, once the service rate is known. */
  readonly estimatedMs?: Millis;
}

export type RequestEvent =
  | { readonly type: 'config-changed'; readonly cfg: Configuration }
  | { readonly type: 'arrived'; readonly arrival: Arrival }
  | {
      readonly type: 'attempt-ended';
      readonly id: RequestId;
      readonly upstream: UpstreamName;
      /** Attempt number. If given, results of earlier attempts are ignored. */
      readonly attempt?: number;
      readonly result: AttemptResult;
      readonly load?: LoadReport;
    }
  /** The caller closed its connection. */
  | { readonly type: 'cancelled'; readonly id: RequestId }
  /** Units of each team's limit that are granted to this entry until `validUntil`. */
  | {
      readonly type: 'grants-changed';
      readonly units: ReadonlyMap<TeamName, number>;
      readonly validUntil: Millis;
    }
  /** The configuration is confirmed until `until`. Requests with keys are refused after that. */
  | { readonly type: 'freshness'; readonly until: Millis }
  /** Demand of another entry. Replaces the previous demand of that entry. */
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
  /** The live entries, including this one. */
  | { readonly type: 'members-changed'; readonly members: readonly MemberId[] }
  /** Graceful shutdown: waiting requests are still served, new ones are refused. */
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
  /** Aborts the running attempt. Its `attempt-ended` event still follows. */
  | { readonly type: 'abort'; readonly id: RequestId };
