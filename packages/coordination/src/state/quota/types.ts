import type { Incarnation, MemberId, Millis, Revision, TeamName } from '@turmerichoist/core';
import type { JsonValue, RowVersion, Transaction, TxnOutcome } from '../../store/index.js';
import type { DeclaredLimit, Grant } from './rows.js';

/** Work of one team at this member. */
export interface TeamDemand {
  readonly team: TeamName;
  readonly running: number;
  readonly waiting: number;
}

/** Additional units that a member needs for a team. */
export interface UnmetDemand {
  readonly team: TeamName;
  readonly units: number;
}

/** Outcome of a transaction, as far as it is known. */
export type Settlement =
  | TxnOutcome
  /** The transaction did not take effect and never will. */
  | { readonly committed: 'no' }
  /** The transaction may have taken effect, or may still do so. */
  | { readonly committed: 'unknown' };

export type QuotaEvent =
  /** The session of this member. A new incarnation ends all grants of the former one. */
  | { readonly type: 'session'; readonly incarnation: Incarnation; readonly validUntil: Millis }
  /** Grants may be used until `until` although the session can't be renewed. */
  | { readonly type: 'outage'; readonly until?: Millis }
  /** All declared limits. */
  | { readonly type: 'limits'; readonly limits: ReadonlyMap<TeamName, DeclaredLimit> }
  /**
   * All teams with work at this member. `appliedSerial`: the latest `usable` the limiter applied.
   */
  | {
      readonly type: 'demand';
      readonly teams: readonly TeamDemand[];
      readonly appliedSerial: number;
    }
  /** All sessions that have a member row, from a read sent at `readAt`. */
  | {
      readonly type: 'members';
      readonly rows: readonly Omit<Grant, 'units'>[];
      readonly readAt: Millis;
    }
  | {
      readonly type: 'expired';
      readonly member: MemberId;
      readonly incarnation: Incarnation;
      readonly at: Millis;
    }
  /** All unmet demand of another member; replaces what it sent before. */
  | {
      readonly type: 'peer-want';
      readonly member: MemberId;
      readonly wants: readonly UnmetDemand[];
    }
  /** Response to `read`: the rows that exist. */
  | {
      readonly type: 'rows';
      readonly keys: readonly string[];
      readonly rows: readonly {
        readonly key: string;
        readonly version: RowVersion;
        readonly value: JsonValue;
      }[];
    }
  | { readonly type: 'read-failed' }
  /** Response to `commit`. */
  | { readonly type: 'settled'; readonly txnId: string; readonly result: Settlement }
  /** The member is stopping: running and waiting work is completed, then all units are returned. */
  | { readonly type: 'stopping' }
  | { readonly type: 'tick' };

export type QuotaDecision =
  /** Units that may be used until `validUntil`; absent teams have none. */
  | {
      readonly type: 'usable';
      readonly serial: number;
      readonly units: ReadonlyMap<TeamName, number>;
      readonly validUntil: Millis;
    }
  | { readonly type: 'read'; readonly keys: readonly string[] }
  | { readonly type: 'commit'; readonly txn: Transaction }
  /** Publishes all unmet demand of this member; replaces what was published before. */
  | { readonly type: 'want'; readonly wants: readonly UnmetDemand[] }
  | {
      readonly type: 'limit-in-force';
      readonly team: TeamName;
      readonly limit: number;
      readonly revision: Revision;
    }
  /** All units have been returned after `stopping`. */
  | { readonly type: 'released' };
