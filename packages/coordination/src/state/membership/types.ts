import type { Incarnation, MemberId, Millis, Revision, ZoneName } from '@turmerichoist/core';
import type { MemberStatus } from '../peers/index.js';

/** What a `member/<id>` row says. */
export interface MemberRow {
  readonly member: MemberId;
  readonly incarnation: Incarnation;
  /** `IP:port` of the peer listener. */
  readonly address: string;
  readonly zone: ZoneName;
  readonly appliedRevision: Revision;
}

/** An entry in the platform's list, with the address of its peer listener. */
export interface ListedMember {
  readonly member: MemberId;
  readonly address: string;
  readonly zone: ZoneName;
  readonly state: 'live' | 'leaving';
}

export type MembershipEvent =
  /** The platform's list, complete, as just read. */
  | { readonly type: 'listed'; readonly members: readonly ListedMember[] }
  /** All member rows, as just read from the store. */
  | { readonly type: 'rows'; readonly rows: readonly MemberRow[] }
  /** The session of that incarnation was observed as expired. */
  | { readonly type: 'expired'; readonly member: MemberId; readonly incarnation: Incarnation }
  | {
      readonly type: 'link';
      readonly member: MemberId;
      readonly incarnation: Incarnation;
      readonly up: boolean;
    }
  | {
      readonly type: 'report';
      readonly member: MemberId;
      /** Absent when another member passed the report on. */
      readonly incarnation?: Incarnation;
      readonly status: Pick<MemberStatus, 'storeReachable'> & Partial<MemberStatus>;
      /** Own clock: the report held at this time or later. */
      readonly datedAt: Millis;
    }
  /** Whether this member reaches the store. */
  | { readonly type: 'store'; readonly reachable: boolean }
  | { readonly type: 'tick' };

/**
 * - `live`: its session runs, as far as is known;
 * - `leaving`: as `live`, but it stops or the platform takes it away;
 * - `listed`: only the platform's list has it, so far;
 * - `replaced`: another member is in contact at its address, while its session may still run;
 * - `expired`: its session was observed as expired.
 */
export type MemberState = 'live' | 'leaving' | 'listed' | 'replaced' | 'expired';

export interface ViewMember {
  readonly member: MemberId;
  /** Absent while only the platform's list has the member. */
  readonly incarnation?: Incarnation;
  readonly address: string;
  readonly zone: ZoneName;
  readonly state: MemberState;
  /** Frames pass in both directions, directly or through a member of its zone. */
  readonly contact: boolean;
  readonly revision: Revision;
}

export type MembershipDecision =
  /** The view changed. */
  | { readonly type: 'view'; readonly members: readonly ViewMember[] }
  /**
   * Work may continue until this time without a confirmed configuration, because no member reaches
   * the store; absent when the rule does not apply.
   */
  | { readonly type: 'outage'; readonly until?: Millis };
