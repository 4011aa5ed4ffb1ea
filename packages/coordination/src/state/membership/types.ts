import type { Incarnation, MemberId, Millis, Revision, ZoneName } from '@turmerichoist/core';
import type { MemberStatus } from '../peers/index.js';

/** Content of a `member/<id>` row. */
export interface MemberRow {
  readonly member: MemberId;
  readonly incarnation: Incarnation;
  /** `IP:port` of the peer listener. */
  readonly address: string;
  readonly zone: ZoneName;
  readonly appliedRevision: Revision;
}

/** A member in the platform's list, with the address of its peer listener. */
export interface ListedMember {
  readonly member: MemberId;
  readonly address: string;
  readonly zone: ZoneName;
  readonly state: 'live' | 'leaving';
}

export type MembershipEvent =
  /** The complete list of the platform, as just read. */
  | { readonly type: 'listed'; readonly members: readonly ListedMember[] }
  /** All member rows, as just read from the store. */
  | { readonly type: 'rows'; readonly rows: readonly MemberRow[] }
  /** The session of this incarnation was observed as expired. */
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
      /** Absent when another member forwarded the report. */
      readonly incarnation?: Incarnation;
      readonly status: Pick<MemberStatus, 'storeReachable'> & Partial<MemberStatus>;
      /** Time on this member's monotonic clock at or after which the report was true. */
      readonly datedAt: Millis;
    }
  /** Whether this member can reach the store. */
  | { readonly type: 'store'; readonly reachable: boolean }
  | { readonly type: 'tick' };

/**
 * - `live`: its session is not known to have expired;
 * - `leaving`: as `live`, but the member is stopping or the platform is removing it;
 * - `listed`: so far only in the platform's list;
 * - `replaced`: another member is in contact at its address, but its session may still be valid;
 * - `expired`: its session was observed as expired.
 */
export type MemberState = 'live' | 'leaving' | 'listed' | 'replaced' | 'expired';

export interface ViewMember {
  readonly member: MemberId;
  /** Absent while the member is only in the platform's list. */
  readonly incarnation?: Incarnation;
  readonly address: string;
  readonly zone: ZoneName;
  readonly state: MemberState;
  /** Whether messages pass in both directions, directly or through a member of its zone. */
  readonly contact: boolean;
  readonly revision: Revision;
}

export type MembershipDecision =
  /** The view changed. */
  | { readonly type: 'view'; readonly members: readonly ViewMember[] }
  /**
   * Work may continue until this time without a confirmed configuration, because no member can
   * reach the store; `until` is absent when the outage rule does not apply.
   */
  | { readonly type: 'outage'; readonly until?: Millis };
