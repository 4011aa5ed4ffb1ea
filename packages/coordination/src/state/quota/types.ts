import type { Incarnation, MemberId, Millis, Revision, TeamName } from '@turmerichoist/core';
import type { JsonValue, RowVersion, Transaction, TxnOutcome } from '../../store/index.js';
import type { DeclaredLimit, Grant } from './rows.js';

/** Work of one team at this entry. */
export interface TeamDemand {
  readonly team: TeamName;
  readonly running: number;
  readonly waiting: number;
}

/** Units that a member lacks for a team. */
export interface Want {
  readonly team: TeamName;
  readonly units: number;
}

/** How a transaction ended, as far as is known. */
export type Settlement =
  | TxnOutcome
  /** It did not take effect and never will. */
  | { readonly committed: 'no' }
  /** It may take effect, now or later. */
  | { readonly committed: 'unknown' };

export type QuotaEvent =
  /** The own session. A new incarnation ends all grants of the former one. */
  | { readonly type: 'session'; readonly incarnation: Incarnation; readonly validUntil: Millis }
  /** Grants may be used until then although the session can't be renewed. */
  | { readonly type: 'outage'; readonly until?: Millis }
  /** All declared limits. */
  | { readonly type: 'limits'; readonly limits: ReadonlyMap<TeamName, DeclaredLimit> }
  /** All teams with work here. `appliedSerial` is the latest `usable` that the reporter follows. */
  | {
      readonly type: 'demand';
      readonly teams: readonly TeamDemand[];
      readonly appliedSerial: number;
    }
  /** All sessions that have a member row, as read by a call sent at `readAt`. */
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
  /** All that a member lacks; replaces what it sent before. */
  | { readonly type: 'peer-want'; readonly member: MemberId; readonly wants: readonly Want[] }
  /** Answer to `read`: the rows that exist. */
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
  /** Answer to `commit`. */
  | { readonly type: 'settled'; readonly txnId: string; readonly result: Settlement }
  /** The entry stops: what runs and waits is served, then all units are returned. */
  | { readonly type: 'stopping' }
  | { readonly type: 'tick' };

export type QuotaDecision =
  /** Units that may be used until `validUntil`; teams that are left out have none. */
  | {
      readonly type: 'usable';
      readonly serial: number;
      readonly units: ReadonlyMap<TeamName, number>;
      readonly validUntil: Millis;
    }
  | { readonly type: 'read'; readonly keys: readonly string[] }
  | { readonly type: 'commit'; readonly txn: Transaction }
  /** Publishes all that this entry lacks; replaces what was published before. */
  | { readonly type: 'want'; readonly wants: readonly Want[] }
  | {
      readonly type: 'limit-in-force';
      readonly team: TeamName;
      readonly limit: number;
      readonly revision: Revision;
    }
  /** All units have been returned after `stopping`. */
  | { readonly type: 'released' };
