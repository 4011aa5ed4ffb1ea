import type { Incarnation, MemberId, Millis, Revision } from '@turmerichoist/core';
import { CLOCK_DRIFT_RATIO } from './session.js';

/** Maximum age of the last confirmation; beyond it a member stops keyed work. */
export const CONFIG_FRESH_MS = 8_000;

/** Status that a member reports in its reply to a ping. */
export interface FreshnessReport {
  readonly incarnation: Incarnation;
  /** Revision that the member has applied. */
  readonly revision: Revision;
  /** Age of its last confirmation in milliseconds; absent when that is no longer fresh. */
  readonly confirmedAgeMs?: Millis;
  /** Whether its last call to the store failed. */
  readonly storeDown: boolean;
  /** Whether it has sent a change whose outcome it does not know yet. */
  readonly changePending: boolean;
}

/** A member from the latest list read from the store. */
export interface KnownMember {
  readonly memberId: MemberId;
  readonly incarnation: Incarnation;
}

export type FreshnessEvent =
  /** A read of the log head, sent at `sentAt`, returned `revision`. */
  | { readonly type: 'head-read'; readonly sentAt: Millis; readonly revision: Revision }
  | { readonly type: 'store-failed' }
  /** This member has applied `revision`. */
  | { readonly type: 'applied'; readonly revision: Revision }
  /** A change was sent to the store (`pending`), or its outcome became known. */
  | { readonly type: 'change'; readonly pending: boolean }
  /** The other members with a live session, as read from the store. */
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
  /** Sends pings; posted once per heartbeat interval. */
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
  /** The unanimous-outage rule applies until `until`. */
  | { readonly type: 'outage'; readonly until: Millis }
  /** A peer has applied a higher revision. */
  | { readonly type: 'behind'; readonly revision: Revision };

interface PeerContact {
  readonly report: FreshnessReport;
  /** When the answered ping was sent. */
  readonly pingedAt: Millis;
  /** Incarnations that reported the outage while this member observed it too. */
  readonly outageIncarnations: readonly Incarnation[];
}

interface SentPing {
  readonly to: MemberId;
  readonly sentAt: Millis;
}

/**
 * Decides until when this member may use its configuration. It is confirmed by the member's own
 * reads of the log head or by peers that confirmed the same revision. While no member reaches the
 * store (the unanimous-outage rule), reports of that from all members take the place of
 * confirmation.
 */
export class ConfigFreshness {
  readonly #incarnation: () => Incarnation;
  #revision: Revision = 0;
  #highestKnownRevision: Revision = 0;
  #headRead: { readonly sentAt: Millis; readonly revision: Revision } | undefined;
  #confirmedAt: Millis = -Infinity;
  #outageUntil: Millis = -Infinity;
  #publishedUntil: Millis = -Infinity;
  #storeDown = true;
  #changePending = false;
  #members: readonly KnownMember[] = [];
  #dropped: ReadonlySet<MemberId> = new Set();
  #contacts: ReadonlyMap<MemberId, PeerContact> = new Map();
  #pings: ReadonlyMap<number, SentPing> = new Map();
  #nonce = 0;

  /** `incarnation` returns the current incarnation of this member. */
  constructor(incarnation: () => Incarnation) {
    this.#incarnation = incarnation;
  }

  /** Monotonic time until which the configuration may be used. */
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
        return [...this.#applyPong(event.from, event.nonce, event.report), ...this.#evaluate(now)];
      default:
        this.#applyOwnEvent(event);
        return this.#evaluate(now);
    }
  }

  #applyOwnEvent(event: Exclude<FreshnessEvent, { type: 'tick' | 'ping' | 'pong' }>): void {
    switch (event.type) {
      case 'head-read':
        this.#applyHeadRead(event.sentAt, event.revision);
        return;
      case 'store-failed':
        this.#storeDown = true;
        return;
      case 'applied':
        this.#revision = Math.max(this.#revision, event.revision);
        this.#highestKnownRevision = Math.max(this.#highestKnownRevision, event.revision);
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

  #applyHeadRead(sentAt: Millis, revision: Revision): void {
    this.#storeDown = false;
    // Reports about this outage must not count towards the next one.
    const reset = [...this.#contacts].map(
      ([id, contact]) => [id, { ...contact, outageIncarnations: [] }] as const,
    );
    this.#contacts = new Map(reset);
    this.#highestKnownRevision = Math.max(this.#highestKnownRevision, revision);
    if (this.#headRead === undefined || sentAt > this.#headRead.sentAt) {
      this.#headRead = { sentAt, revision };
    }
  }

  #applyPong(from: MemberId, nonce: number, report: FreshnessReport): readonly FreshnessDecision[] {
    const ping = this.#pings.get(nonce);
    if (ping?.to !== from) {
      return [];
    }
    this.#pings = new Map([...this.#pings].filter(([sent]) => sent !== nonce));
    this.#recordContact(from, report, ping.sentAt);
    this.#applyPeerConfirmation(report, ping.sentAt);
    if (report.revision <= this.#highestKnownRevision) {
      return [];
    }
    this.#highestKnownRevision = report.revision;
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

  #applyPeerConfirmation(report: FreshnessReport, pingedAt: Millis): void {
    if (report.revision !== this.#revision || report.confirmedAgeMs === undefined) {
      return;
    }
    const ageMs = report.confirmedAgeMs * (1 + CLOCK_DRIFT_RATIO);
    this.#confirmedAt = Math.max(this.#confirmedAt, pingedAt - ageMs);
  }

  /** Recomputes both deadlines and publishes those that moved forward. */
  #evaluate(now: Millis): readonly FreshnessDecision[] {
    if (this.#headRead?.revision === this.#revision) {
      this.#confirmedAt = Math.max(this.#confirmedAt, this.#headRead.sentAt);
    }
    const outageUntil = this.#unanimousOutageUntil();
    // The outage rule extends a configuration that is still fresh; it can't revive an expired one.
    const extended = outageUntil > this.#outageUntil && now < this.until;
    if (extended) {
      this.#outageUntil = outageUntil;
    }
    const outage = extended ? [{ type: 'outage' as const, until: outageUntil }] : [];
    if (this.until <= this.#publishedUntil) {
      return outage;
    }
    this.#publishedUntil = this.until;
    return [...outage, { type: 'fresh', until: this.until }];
  }

  /** Time until which the reports of all members together rule out an accepted change. */
  #unanimousOutageUntil(): Millis {
    const countedMembers = this.#members.filter(({ memberId }) => !this.#dropped.has(memberId));
    const changePossible = this.#highestKnownRevision > this.#revision || this.#changePending;
    if (!this.#storeDown || changePossible || countedMembers.length === 0) {
      return -Infinity;
    }
    const replies = countedMembers.map((member) => this.#outageConfirmedAt(member));
    return Math.min(...replies) + CONFIG_FRESH_MS;
  }

  /** When the ping was sent whose reply confirms the outage; -Infinity without such a reply. */
  #outageConfirmedAt({ memberId, incarnation }: KnownMember): Millis {
    const contact = this.#contacts.get(memberId);
    if (contact === undefined) {
      return -Infinity;
    }
    const { report, pingedAt, outageIncarnations } = contact;
    const agrees = report.storeDown && !report.changePending && report.revision <= this.#revision;
    // A restarted process can't confirm for its former incarnation unless that one confirmed too.
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
