import type { Decider, Incarnation, MemberId, Millis } from '@turmerichoist/core';
import { LINK_SILENT_MS } from '../peers/index.js';
import { outageUntil, type OutageParticipant } from './outage.js';
import type {
  ListedMember,
  MemberRow,
  MemberState,
  MembershipDecision,
  MembershipEvent,
  ViewMember,
} from './types.js';

type MemberReport = Extract<MembershipEvent, { type: 'report' }>;

/** All information about one member. */
interface MemberRecord {
  readonly row?: MemberRow;
  readonly listed?: ListedMember;
  /** The platform's list contained the member and no longer does. */
  readonly dropped: boolean;
  /** Incarnations whose session was observed as expired. */
  readonly expired: ReadonlySet<Incarnation>;
  readonly report?: MemberReport;
}

const EMPTY_RECORD: MemberRecord = { dropped: false, expired: new Set() };

/**
 * Merges the platform's lagging list, the member rows and the heartbeats into one view. The row
 * determines a member's current incarnation; heartbeats of other incarnations are ignored.
 */
export class Membership implements Decider<MembershipEvent, MembershipDecision> {
  readonly #self: MemberId;
  readonly #known = new Map<MemberId, MemberRecord>();
  #storeReachable = false;
  #storeStateSince: Millis;
  #publishedViewText = '';
  #outageUntil: Millis | undefined;

  constructor(self: MemberId, now: Millis) {
    this.#self = self;
    this.#storeStateSince = now;
  }

  handle(event: MembershipEvent, now: Millis): readonly MembershipDecision[] {
    this.#apply(event, now);
    return [...this.#viewChange(now), ...this.#outageChange(now)];
  }

  #apply(event: MembershipEvent, now: Millis): void {
    switch (event.type) {
      case 'listed':
        this.#onListed(event.members);
        break;
      case 'rows':
        this.#onRows(event.rows);
        break;
      case 'expired': {
        const { expired } = this.#recordOf(event.member);
        this.#updateRecord(event.member, { expired: new Set([...expired, event.incarnation]) });
        break;
      }
      case 'link':
        if (!event.up) {
          this.#onLinkDown(event.member, event.incarnation);
        }
        break;
      case 'report':
        this.#onReport(event);
        break;
      case 'store':
        this.#onStore(event.reachable, now);
        break;
      case 'tick':
        break;
    }
  }

  #recordOf(member: MemberId): MemberRecord {
    return this.#known.get(member) ?? EMPTY_RECORD;
  }

  #updateRecord(member: MemberId, change: Partial<MemberRecord>): void {
    this.#known.set(member, { ...this.#recordOf(member), ...change });
  }

  #onListed(members: readonly ListedMember[]): void {
    const listed = new Map(members.map((entry) => [entry.member, entry]));
    for (const member of new Set([...this.#known.keys(), ...listed.keys()])) {
      const { listed: before, ...rest } = this.#recordOf(member);
      const entry = listed.get(member);
      const dropped = entry === undefined && (rest.dropped || before !== undefined);
      this.#known.set(member, {
        ...rest,
        dropped,
        ...(entry === undefined ? {} : { listed: entry }),
      });
    }
  }

  #onRows(rows: readonly MemberRow[]): void {
    const current = new Map(rows.map((row) => [row.member, row]));
    for (const member of new Set([...this.#known.keys(), ...current.keys()])) {
      const { row: before, ...rest } = this.#recordOf(member);
      const row = current.get(member);
      if (row === undefined && before === undefined) {
        continue;
      }
      // Expired sessions of former incarnations are no longer needed.
      const expired = new Set([...rest.expired].filter((i) => i === row?.incarnation));
      this.#known.set(member, { ...rest, expired, ...(row === undefined ? {} : { row }) });
    }
    for (const [member, known] of this.#known) {
      if (known.row === undefined && known.listed === undefined) {
        this.#known.delete(member);
      }
    }
  }

  #onLinkDown(member: MemberId, incarnation: Incarnation): void {
    const { report, ...rest } = this.#recordOf(member);
    if (report?.incarnation === incarnation) {
      this.#known.set(member, rest);
    }
  }

  #onReport(report: MemberReport): void {
    const known = this.#recordOf(report.member);
    const before = known.report;
    const counts =
      report.incarnation === undefined || report.incarnation === known.row?.incarnation;
    if (counts && (before === undefined || before.datedAt <= report.datedAt)) {
      this.#updateRecord(report.member, { report });
    }
  }

  #onStore(reachable: boolean, now: Millis): void {
    if (reachable !== this.#storeReachable) {
      this.#storeReachable = reachable;
      this.#storeStateSince = now;
    }
  }

  /** The latest report, if forwarded by another member or of the incarnation in the row. */
  #validReport(known: MemberRecord): MemberReport | undefined {
    const { report, row } = known;
    const sender = report?.incarnation;
    return sender === undefined || sender === row?.incarnation ? report : undefined;
  }

  #isInContact(known: MemberRecord, now: Millis): boolean {
    const report = this.#validReport(known);
    return report !== undefined && now - report.datedAt <= LINK_SILENT_MS;
  }

  #isExpired({ row, expired }: MemberRecord): boolean {
    return row !== undefined && expired.has(row.incarnation);
  }

  /** Members whose address now belongs to another member that is in contact. */
  #replacedMembers(now: Millis): ReadonlySet<MemberId> {
    const holders = new Map<string, MemberId>();
    for (const [member, known] of this.#known) {
      if (known.row !== undefined && this.#isInContact(known, now)) {
        holders.set(known.row.address, member);
      }
    }
    const replaced = [...this.#known].filter(([member, { row }]) => {
      const holder = row === undefined ? undefined : holders.get(row.address);
      return holder !== undefined && holder !== member;
    });
    return new Set(replaced.map(([member]) => member));
  }

  #stateOf(member: MemberId, known: MemberRecord, replaced: ReadonlySet<MemberId>): MemberState {
    if (known.row === undefined) {
      return 'listed';
    }
    if (this.#isExpired(known)) {
      return 'expired';
    }
    if (replaced.has(member)) {
      return 'replaced';
    }
    const stopping = this.#validReport(known)?.status.stopping === true;
    return stopping || known.listed?.state === 'leaving' ? 'leaving' : 'live';
  }

  #viewMember(
    member: MemberId,
    known: MemberRecord,
    replaced: ReadonlySet<MemberId>,
    now: Millis,
  ): ViewMember {
    const { row, listed } = known;
    const reported = this.#validReport(known)?.status.revision ?? 0;
    return {
      member,
      ...(row === undefined ? {} : { incarnation: row.incarnation }),
      address: row?.address ?? listed?.address ?? '',
      zone: row?.zone ?? listed?.zone ?? '',
      state: this.#stateOf(member, known, replaced),
      contact: member === this.#self || this.#isInContact(known, now),
      revision: Math.max(row?.appliedRevision ?? 0, reported),
    };
  }

  #viewChange(now: Millis): readonly MembershipDecision[] {
    const replaced = this.#replacedMembers(now);
    const members = [...this.#known]
      .filter(([, { row, listed }]) => row !== undefined || listed !== undefined)
      .map(([member, known]) => this.#viewMember(member, known, replaced, now))
      .sort((a, b) => (a.member < b.member ? -1 : 1));
    const text = JSON.stringify(members);
    if (text === this.#publishedViewText) {
      return [];
    }
    this.#publishedViewText = text;
    return [{ type: 'view', members }];
  }

  /**
   * Other members that could accept a change: those whose session was not observed as expired.
   * Members that the platform's list has dropped are excluded.
   */
  #outageParticipants(now: Millis): readonly OutageParticipant[] {
    return [...this.#known]
      .filter(([member, known]) => member !== this.#self && known.row !== undefined)
      .filter(([, known]) => !known.dropped && !this.#isExpired(known))
      .map(([member, known]) => {
        const report = this.#validReport(known);
        const contact = this.#isInContact(known, now);
        const { storeReachable } = report?.status ?? { storeReachable: true };
        return {
          ...{ member, contact },
          ...(report === undefined ? {} : { report: { storeReachable, datedAt: report.datedAt } }),
        };
      });
  }

  #outageChange(now: Millis): readonly MembershipDecision[] {
    const until = outageUntil(
      this.#storeReachable,
      this.#storeStateSince,
      this.#outageParticipants(now),
      now,
    );
    if (until === this.#outageUntil) {
      return [];
    }
    this.#outageUntil = until;
    return [{ type: 'outage', ...(until === undefined ? {} : { until }) }];
  }
}
