import type { Decider, Incarnation, MemberId, Millis } from '@turmerichoist/core';
import { LINK_SILENT_MS } from '../peers/index.js';
import { outageUntil, type OutageWitness } from './outage.js';
import type {
  ListedMember,
  MemberRow,
  MemberState,
  MembershipDecision,
  MembershipEvent,
  ViewMember,
} from './types.js';

type Report = Extract<MembershipEvent, { type: 'report' }>;

/** All that is known of one member. */
interface Known {
  readonly row?: MemberRow;
  readonly listed?: ListedMember;
  /** The platform's list had the member and has it no more. */
  readonly dropped: boolean;
  /** Incarnations whose session was observed as expired. */
  readonly expired: ReadonlySet<Incarnation>;
  readonly report?: Report;
}

const UNKNOWN: Known = { dropped: false, expired: new Set() };

/**
 * Merges the platform's lagging list, the member rows and the heartbeats into one view.
 * The row decides which incarnation counts; heartbeats of another one are no contact with it.
 */
export class Membership implements Decider<MembershipEvent, MembershipDecision> {
  readonly #self: MemberId;
  readonly #known = new Map<MemberId, Known>();
  #ownReachable = false;
  #ownSince: Millis;
  #viewText = '';
  #until: Millis | undefined;

  constructor(self: MemberId, now: Millis) {
    this.#self = self;
    this.#ownSince = now;
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
        const { expired } = this.#of(event.member);
        this.#set(event.member, { expired: new Set([...expired, event.incarnation]) });
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

  #of(member: MemberId): Known {
    return this.#known.get(member) ?? UNKNOWN;
  }

  #set(member: MemberId, change: Partial<Known>): void {
    this.#known.set(member, { ...this.#of(member), ...change });
  }

  #onListed(members: readonly ListedMember[]): void {
    const listed = new Map(members.map((entry) => [entry.member, entry]));
    for (const member of new Set([...this.#known.keys(), ...listed.keys()])) {
      const { listed: before, ...rest } = this.#of(member);
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
      const { row: before, ...rest } = this.#of(member);
      const row = current.get(member);
      if (row === undefined && before === undefined) {
        continue;
      }
      // Sessions of other incarnations than the current one need no more be remembered.
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
    const { report, ...rest } = this.#of(member);
    if (report?.incarnation === incarnation) {
      this.#known.set(member, rest);
    }
  }

  #onReport(report: Report): void {
    const known = this.#of(report.member);
    const before = known.report;
    const counts =
      report.incarnation === undefined || report.incarnation === known.row?.incarnation;
    if (counts && (before === undefined || before.datedAt <= report.datedAt)) {
      this.#set(report.member, { report });
    }
  }

  #onStore(reachable: boolean, now: Millis): void {
    if (reachable !== this.#ownReachable) {
      this.#ownReachable = reachable;
      this.#ownSince = now;
    }
  }

  /** A report is valid for the incarnation that the row names, also when another passed it on. */
  #report(known: Known): Report | undefined {
    const { report, row } = known;
    const sender = report?.incarnation;
    return sender === undefined || sender === row?.incarnation ? report : undefined;
  }

  #contact(known: Known, now: Millis): boolean {
    const report = this.#report(known);
    return report !== undefined && now - report.datedAt <= LINK_SILENT_MS;
  }

  #isExpired({ row, expired }: Known): boolean {
    return row !== undefined && expired.has(row.incarnation);
  }

  /** Members that others in contact have replaced at their address. */
  #replaced(now: Millis): ReadonlySet<MemberId> {
    const holders = new Map<string, MemberId>();
    for (const [member, known] of this.#known) {
      if (known.row !== undefined && this.#contact(known, now)) {
        holders.set(known.row.address, member);
      }
    }
    const replaced = [...this.#known].filter(([member, { row }]) => {
      const holder = row === undefined ? undefined : holders.get(row.address);
      return holder !== undefined && holder !== member;
    });
    return new Set(replaced.map(([member]) => member));
  }

  #stateOf(member: MemberId, known: Known, replaced: ReadonlySet<MemberId>): MemberState {
    if (known.row === undefined) {
      return 'listed';
    }
    if (this.#isExpired(known)) {
      return 'expired';
    }
    if (replaced.has(member)) {
      return 'replaced';
    }
    const stopping = this.#report(known)?.status.stopping === true;
    return stopping || known.listed?.state === 'leaving' ? 'leaving' : 'live';
  }

  #viewMember(
    member: MemberId,
    known: Known,
    replaced: ReadonlySet<MemberId>,
    now: Millis,
  ): ViewMember {
    const { row, listed } = known;
    const reported = this.#report(known)?.status.revision ?? 0;
    return {
      member,
      ...(row === undefined ? {} : { incarnation: row.incarnation }),
      address: row?.address ?? listed?.address ?? '',
      zone: row?.zone ?? listed?.zone ?? '',
      state: this.#stateOf(member, known, replaced),
      contact: member === this.#self || this.#contact(known, now),
      revision: Math.max(row?.appliedRevision ?? 0, reported),
    };
  }

  #viewChange(now: Millis): readonly MembershipDecision[] {
    const replaced = this.#replaced(now);
    const members = [...this.#known]
      .filter(([, { row, listed }]) => row !== undefined || listed !== undefined)
      .map(([member, known]) => this.#viewMember(member, known, replaced, now))
      .sort((a, b) => (a.member < b.member ? -1 : 1));
    const text = JSON.stringify(members);
    if (text === this.#viewText) {
      return [];
    }
    this.#viewText = text;
    return [{ type: 'view', members }];
  }

  /**
   * Members that could accept a change: those with a session that was not observed as expired.
   * One that the platform's list has dropped does not count.
   */
  #witnesses(now: Millis): readonly OutageWitness[] {
    return [...this.#known]
      .filter(([member, known]) => member !== this.#self && known.row !== undefined)
      .filter(([, known]) => !known.dropped && !this.#isExpired(known))
      .map(([member, known]) => {
        const report = this.#report(known);
        const contact = this.#contact(known, now);
        const { storeReachable } = report?.status ?? { storeReachable: true };
        return {
          ...{ member, contact },
          ...(report === undefined ? {} : { report: { storeReachable, datedAt: report.datedAt } }),
        };
      });
  }

  #outageChange(now: Millis): readonly MembershipDecision[] {
    const until = outageUntil(this.#ownReachable, this.#ownSince, this.#witnesses(now), now);
    if (until === this.#until) {
      return [];
    }
    this.#until = until;
    return [{ type: 'outage', ...(until === undefined ? {} : { until }) }];
  }
}
