import type { Incarnation, MemberId, Millis, Revision } from '@turmerichoist/core';
import { CLOCK_DRIFT_RATIO } from './session.js';

/** Age of the last confirmation at which an entry stops keyed work. */
export const CONFIG_FRESH_MS = 8_000;

/** What a member says about itself in its reply to a ping. */
export interface FreshnessReport {
  readonly incarnation: Incarnation;
  /** Revision that it has applied. */
  readonly revision: Revision;
  /** Age of its last confirmation in milliseconds; undefined when it has none that is fresh. */
  readonly confirmedAgeMs?: Millis;
  /** Whether its last call to the store failed. */
  readonly storeDown: boolean;
  /** Whether it has sent a change whose fate it doesn't know yet. */
  readonly changePending: boolean;
}

/** A member of the last list that was read from the store. */
export interface KnownMember {
  readonly memberId: MemberId;
  readonly incarnation: Incarnation;
}

export type FreshnessEvent =
  /** A read of the head, sent at `sentAt`, returned `revision`. */
  | { readonly type: 'head-read'; readonly sentAt: Millis; readonly revision: Revision }
  | { readonly type: 'store-failed' }
  /** This entry has applied `revision`. */
  | { readonly type: 'applied'; readonly revision: Revision }
  /** A change was sent to the store (`pending`), or its fate is known. */
  | { readonly type: 'change'; readonly pending: boolean }
  /** The members with a live session, as read from the store; without this entry. */
  | { readonly type: 'members'; readonly members: readonly KnownMember[] }
  /** The platform's instance list no longer has this member. */
  | { readonly type: 'dropped'; readonly memberId: MemberId }
  | { readonly type: 'ping'; readonly from: MemberId; readonly nonce: number }
  | {
      readonly type: 'pong';
      readonly from: MemberId;
      readonly nonce: number;
      readonly report: FreshnessReport;
    }
  /** Sends pings; comes once per heartbeat. */
  | { readonly type: 'tick' };

export type FreshnessDecision =
  | { readonly type: 'send-ping'; readonly to: MemberId; readonly nonce: number }
  | {
      readonly type: 'send-pong';
      readonly to: MemberId;
      readonly nonce: number;
      readonly report: FreshnessReport;
    }
  /** The configuration may be used until `until`. */
  | { readonly type: 'fresh'; readonly until: Millis }
  /** The unanimous-outage rule holds until `until`. */
  | { readonly type: 'outage'; readonly until: Millis }
  /** A peer has applied a higher revision. */
  | { readonly type: 'behind'; readonly revision: Revision };

interface Contact {
  readonly report: FreshnessReport;
  /** Sending time of the ping that was answered. */
  readonly pingedAt: Millis;
  /** Incarnations that reported the outage while this entry saw it too. */
  readonly outageIncarnations: readonly Incarnation[];
}

interface SentPing {
  readonly to: MemberId;
  readonly sentAt: Millis;
}

/**
 * Decides until when this entry may rely on its configuration (section 4.8 of the design page):
 * by its own reads of the head, by peers that vouch for its revision, or, while nobody reaches the
 * store, by all members saying so.
 */
export class ConfigFreshness {
  readonly #incarnation: () => Incarnation;
  #revision: Revision = 0;
  /** Highest revision known to exist. */
  #highest: Revision = 0;
  #headRead: { readonly sentAt: Millis; readonly revision: Revision } | undefined;
  #confirmedAt: Millis = -Infinity;
  #outageUntil: Millis = -Infinity;
  #published: Millis = -Infinity;
  #storeDown = true;
  #changePending = false;
  #members: readonly KnownMember[] = [];
  #dropped: ReadonlySet<MemberId> = new Set();
  #contacts: ReadonlyMap<MemberId, Contact> = new Map();
  #pings: ReadonlyMap<number, SentPing> = new Map();
  #nonce = 0;

  /** `incarnation` returns the current incarnation of this member. */
  constructor(incarnation: () => Incarnation) {
    this.#incarnation = incarnation;
  }

  /** Clock reading until which the configuration may be used. */
  get until(): Millis {
    return Math.max(this.#confirmedAt + CONFIG_FRESH_MS, this.#outageUntil);
  }

  handle(event: FreshnessEvent, now: Millis): readonly FreshnessDecision[] {
    switch (event.type) {
      case 'tick':
        return this.#sendPings(now);
      case 'ping': {
        const report = this.#report(now);
        return [{ type: 'send-pong', to: event.from, nonce: event.nonce, report }];
      }
      case 'pong':
        return [...this.#takePong(event.from, event.nonce, event.report), ...this.#evaluate(now)];
      default:
        this.#takeOwn(event);
        return this.#evaluate(now);
    }
  }

  #takeOwn(event: Exclude<FreshnessEvent, { type: 'tick' | 'ping' | 'pong' }>): void {
    switch (event.type) {
      case 'head-read':
        this.#takeHead(event.sentAt, event.revision);
        return;
      case 'store-failed':
        this.#storeDown = true;
        return;
      case 'applied':
        this.#revision = Math.max(this.#revision, event.revision);
        this.#highest = Math.max(this.#highest, event.revision);
        return;
      case 'change':
        this.#changePending = event.pending;
        return;
      case 'members':
        this.#members = event.members;
        this.#dropped = new Set();
        return;
      case 'dropped':
        this.#dropped = new Set([...this.#dropped, event.memberId]);
    }
  }

  #takeHead(sentAt: Millis, revision: Revision): void {
    this.#storeDown = false;
    // The next outage starts with no reports about this one.
    const reset = [...this.#contacts].map(
      ([id, contact]) => [id, { ...contact, outageIncarnations: [] }] as const,
    );
    this.#contacts = new Map(reset);
    this.#highest = Math.max(this.#highest, revision);
    if (this.#headRead === undefined || sentAt > this.#headRead.sentAt) {
      this.#headRead = { sentAt, revision };
    }
  }

  #takePong(from: MemberId, nonce: number, report: FreshnessReport): readonly FreshnessDecision[] {
    const ping = this.#pings.get(nonce);
    if (ping?.to !== from) {
      return [];
    }
    this.#pings = new Map([...this.#pings].filter(([sent]) => sent !== nonce));
    this.#recordContact(from, report, ping.sentAt);
    this.#takeVouching(report, ping.sentAt);
    if (report.revision <= this.#highest) {
      return [];
    }
    this.#highest = report.revision;
    return [{ type: 'behind', revision: report.revision }];
  }

  #recordContact(from: MemberId, report: FreshnessReport, pingedAt: Millis): void {
    const before = this.#contacts.get(from);
    if (before !== undefined && before.pingedAt > pingedAt) {
      return;
    }
    const seen = before?.outageIncarnations ?? [];
    const outageIncarnations =
      report.storeDown && this.#storeDown ? [...new Set([...seen, report.incarnation])] : seen;
    const contact = { report, pingedAt, outageIncarnations };
    this.#contacts = new Map([...this.#contacts, [from, contact]]);
  }

  #takeVouching(report: FreshnessReport, pingedAt: Millis): void {
    if (report.revision !== this.#revision || report.confirmedAgeMs === undefined) {
      return;
    }
    const ageMs = report.confirmedAgeMs * (1 + CLOCK_DRIFT_RATIO);
    this.#confirmedAt = Math.max(this.#confirmedAt, pingedAt - ageMs);
  }

  /** Recomputes the limits and publishes those that have grown. */
  #evaluate(now: Millis): readonly FreshnessDecision[] {
    if (this.#headRead?.revision === this.#revision) {
      this.#confirmedAt = Math.max(this.#confirmedAt, this.#headRead.sentAt);
    }
    const outageUntil = this.#unanimousUntil();
    // The rule continues a confirmed state; it can't bring back one that had already run out.
    const extended = outageUntil > this.#outageUntil && now < this.until;
    if (extended) {
      this.#outageUntil = outageUntil;
    }
    const outage = extended ? [{ type: 'outage' as const, until: outageUntil }] : [];
    if (this.until <= this.#published) {
      return outage;
    }
    this.#published = this.until;
    return [...outage, { type: 'fresh', until: this.until }];
  }

  /** Time until which all members together vouch that no one can have accepted a change. */
  #unanimousUntil(): Millis {
    const counted = this.#members.filter(({ memberId }) => !this.#dropped.has(memberId));
    const aware = this.#highest > this.#revision || this.#changePending;
    if (!this.#storeDown || aware || counted.length === 0) {
      return -Infinity;
    }
    const replies = counted.map((member) => this.#outageReplyOf(member));
    return Math.min(...replies) + CONFIG_FRESH_MS;
  }

  /** Time of the member's last reply if it confirms the outage, otherwise never. */
  #outageReplyOf({ memberId, incarnation }: KnownMember): Millis {
    const contact = this.#contacts.get(memberId);
    if (contact === undefined) {
      return -Infinity;
    }
    const { report, pingedAt, outageIncarnations } = contact;
    const agrees = report.storeDown && !report.changePending && report.revision <= this.#revision;
    // A process that was restarted can't speak for the one before it, unless that one has spoken.
    return agrees && outageIncarnations.includes(incarnation) ? pingedAt : -Infinity;
  }

  #report(now: Millis): FreshnessReport {
    const ageMs = now - this.#confirmedAt;
    return {
      incarnation: this.#incarnation(),
      revision: this.#revision,
      ...(ageMs < CONFIG_FRESH_MS ? { confirmedAgeMs: ageMs } : {}),
      storeDown: this.#storeDown,
      changePending: this.#changePending,
    };
  }

  #sendPings(now: Millis): readonly FreshnessDecision[] {
    const open = [...this.#pings].filter(([, { sentAt }]) => now - sentAt < CONFIG_FRESH_MS);
    const pings = this.#members.map(({ memberId }): FreshnessDecision => {
      this.#nonce += 1;
      return { type: 'send-ping', to: memberId, nonce: this.#nonce };
    });
    const sent = pings.flatMap((ping) =>
      ping.type === 'send-ping' ? [[ping.nonce, { to: ping.to, sentAt: now }] as const] : [],
    );
    this.#pings = new Map([...open, ...sent]);
    return pings;
  }
}
