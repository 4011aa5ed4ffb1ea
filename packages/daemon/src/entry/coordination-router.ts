import {
  linkableMembers,
  type Broadcast,
  type ConfigEvent,
  type ConfigReplica,
  type FreshnessTracker,
  type GrantBroker,
  type GrantListener,
  type JsonValue,
  type ListedInstance,
  type MembershipListener,
  type MembershipTracker,
  type MemberWatchEvent,
  type PeerListener,
  type PeerMesh,
  type PeerReport,
  type RequestTopic,
  type SessionEvent,
  type SessionManager,
  type UnmetDemand,
  type ViewMember,
} from '@turmerichoist/coordination';
import {
  NEVER,
  type AppError,
  type Incarnation,
  type MemberId,
  type Millis,
  type Result,
  type TeamName,
} from '@turmerichoist/core';
import type { CoordinationListener } from './coordination-listener.js';
import { declaredLimits } from './declared-limits.js';
import type { FreshnessTransport } from './freshness-transport.js';
import type { MemberStatusPublisher } from './member-status.js';

/** The components between which events are routed. */
export interface CoordinationParts {
  readonly session: SessionManager;
  readonly replica: ConfigReplica;
  readonly freshness: FreshnessTracker;
  readonly freshnessTransport: FreshnessTransport;
  readonly mesh: PeerMesh;
  readonly membership: MembershipTracker;
  readonly broker: GrantBroker;
  readonly status: MemberStatusPublisher;
}

/** Passes the events of each coordination component on to those that they concern. */
export class CoordinationRouter implements PeerListener, GrantListener, MembershipListener {
  readonly #self: MemberId;
  readonly #parts: CoordinationParts;
  readonly #listener: CoordinationListener;
  #incarnation: Incarnation = '';
  #listedMembers: ReadonlySet<MemberId> = new Set();

  constructor(self: MemberId, parts: CoordinationParts, listener: CoordinationListener) {
    this.#self = self;
    this.#parts = parts;
    this.#listener = listener;
  }

  /** The incarnation of the latest session. */
  get incarnation(): Incarnation {
    return this.#incarnation;
  }

  onLink(member: MemberId, incarnation: Incarnation, up: boolean): void {
    this.#parts.membership.post({ type: 'link', member, incarnation, up });
  }

  onReport(report: PeerReport): void {
    this.#parts.membership.post({ type: 'report', ...report });
    this.#listener.onPeerReport(report);
  }

  onBroadcast(from: MemberId, message: Broadcast): void {
    switch (message.type) {
      case 'head':
        this.#parts.replica.post({ type: 'head-seen', revision: message.revision });
        break;
      case 'want':
        this.#parts.broker.post({ type: 'peer-want', member: from, wants: message.wants });
        break;
      case 'demand':
        this.#listener.onBroadcast(from, message);
        break;
    }
  }

  onRequest(
    from: MemberId,
    topic: RequestTopic,
    body: JsonValue,
    signal: AbortSignal,
  ): Promise<Result<JsonValue, AppError>> {
    return topic === 'freshness'
      ? this.#parts.freshnessTransport.handle(from, body)
      : this.#listener.onRequest(from, topic, body, signal);
  }

  onSession(event: SessionEvent): void {
    const { broker } = this.#parts;
    const { incarnation } = event;
    if (event.type === 'session') {
      const { validUntil, requestsUntil } = event;
      this.#incarnation = incarnation;
      broker.post({ type: 'session', incarnation, validUntil });
      if (requestsUntil > validUntil) {
        broker.post({ type: 'outage', until: requestsUntil });
      }
      this.#listener.onSession(validUntil, requestsUntil);
    } else {
      broker.post({ type: 'session', incarnation, validUntil: NEVER });
      this.#listener.onSession(NEVER, NEVER);
    }
  }

  onFreshness(until: Millis): void {
    this.#parts.status.setFreshUntil(until);
    this.#listener.onFreshness(until);
  }

  onConfigEvent(event: ConfigEvent): void {
    const { broker, session, status } = this.#parts;
    switch (event.type) {
      case 'config-changed':
        broker.post({ type: 'limits', limits: declaredLimits(event.cfg) });
        this.#listener.onConfig(event.cfg);
        break;
      case 'applied':
        session.post({ type: 'applied', revision: event.revision });
        status.publish();
        break;
      case 'head-read':
        this.#onStoreCall(true);
        break;
      case 'store-failed':
        this.#onStoreCall(false);
        break;
    }
  }

  onMembers(event: MemberWatchEvent): void {
    if (event.type === 'members-failed') {
      return;
    }
    const { membership, broker, freshness } = this.#parts;
    membership.post({ type: 'rows', rows: event.rows });
    const sessions = event.rows.map(({ member, incarnation }) => ({ member, incarnation }));
    broker.post({ type: 'members', rows: sessions, readAt: event.sentAt });
    for (const { member, incarnation } of event.expired) {
      membership.post({ type: 'expired', member, incarnation });
      broker.post({ type: 'expired', member, incarnation, at: event.sentAt });
    }
    const others = sessions.filter(
      ({ member }) => member !== this.#self && event.live.includes(member),
    );
    freshness.post({
      type: 'members',
      members: others.map(({ member, incarnation }) => ({ memberId: member, incarnation })),
    });
    this.#listener.onMembersRead(event);
  }

  onView(members: readonly ViewMember[]): void {
    this.#parts.mesh.post({ type: 'members', members: linkableMembers(members) });
    this.#listener.onView(members);
  }

  onOutage(): void {
    // Outages are detected by the freshness rule, which also takes changes in flight into account.
  }

  onInstances(instances: readonly ListedInstance[]): void {
    this.#reportUnlisted(instances);
    this.#listener.onInstances(instances);
  }

  onUsable(serial: number, units: ReadonlyMap<TeamName, number>, validUntil: Millis): void {
    this.#listener.onUnits(serial, units, validUntil);
  }

  onUnmetDemand(wants: readonly UnmetDemand[]): void {
    this.#parts.mesh.publish({ type: 'want', wants: [...wants] });
  }

  onLimitInForce(): void {
    // Nothing in an entry depends on it.
  }

  onReleased(): void {
    this.#listener.onUnitsReturned();
  }

  #onStoreCall(reachable: boolean): void {
    const { membership, status } = this.#parts;
    if (status.recordStoreCall(reachable)) {
      membership.post({ type: 'store', reachable });
      status.publish();
    }
  }

  /**
   * Reports members that the platform no longer lists: they can't accept a change during an outage.
   */
  #reportUnlisted(instances: readonly ListedInstance[]): void {
    const listed = new Set(instances.map(({ id }) => id));
    for (const memberId of this.#listedMembers) {
      if (!listed.has(memberId)) {
        this.#parts.freshness.post({ type: 'dropped', memberId });
      }
    }
    this.#listedMembers = listed;
  }
}
