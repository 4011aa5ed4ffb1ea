import {
  ConfigReplica,
  ConfigWriter,
  FreshnessTracker,
  GrantBroker,
  linkableMembers,
  MembershipTracker,
  MemberWatch,
  OwnershipManager,
  PeerMesh,
  SessionManager,
  type Broadcast,
  type ConfigEvent,
  type ListedInstance,
  type MemberWatchEvent,
  type PeerListener,
  type SessionEvent,
} from '@turmerichoist/coordination';
import {
  parseEndpoint,
  type AppError,
  type MemberId,
  type Millis,
  type Result,
  type Revision,
} from '@turmerichoist/core';
import { every } from '@turmerichoist/runtime';
import { askPeersAbout } from '../peers/index.js';
import type { CoordinationOptions } from './coordination-listener.js';
import { declaredLimits } from './declared-limits.js';
import { FreshnessTransport } from './freshness-transport.js';
import { ObservedInstanceList } from './observed-instances.js';
import { recipient } from './recipient.js';

/** Period at which the status of this entry in heartbeats is updated. */
const STATUS_PERIOD_MS: Millis = 250;

const NEVER: Millis = Number.NEGATIVE_INFINITY;

/** The components that coordinate this entry with the others, wired to each other. */
export class Coordination {
  readonly session: SessionManager;
  readonly replica: ConfigReplica;
  readonly writer: ConfigWriter;
  readonly freshness: FreshnessTracker;
  readonly mesh: PeerMesh;
  readonly membership: MembershipTracker;
  readonly broker: GrantBroker;
  readonly ownership: OwnershipManager;
  readonly #memberWatch: MemberWatch;
  readonly #freshnessTransport: FreshnessTransport;
  readonly #options: CoordinationOptions;
  #incarnation = '';
  #listedMembers: ReadonlySet<MemberId> = new Set();
  #freshUntil: Millis = NEVER;
  #storeReachable = false;
  #storeStateSince: Millis;
  #stopping = false;

  constructor(options: CoordinationOptions) {
    this.#options = options;
    const { settings, context, clock, random, newId, platform, listener } = options;
    const memberId = settings.member;
    const store = platform.table;
    this.#storeStateSince = clock.now();
    this.mesh = this.#createMesh();
    this.#freshnessTransport = new FreshnessTransport(
      askPeersAbout('freshness', this.mesh),
      () => this.freshness,
      context.signal,
    );
    this.freshness = new FreshnessTracker(
      {
        clock,
        peers: this.#freshnessTransport,
        replica: recipient((message) => this.replica.post(message)),
        session: recipient((message) => this.session.post(message)),
        listeners: [
          recipient(({ until }) => {
            this.#onFreshness(until);
          }),
        ],
      },
      context,
    );
    this.replica = new ConfigReplica(
      {
        store,
        objects: platform.objects,
        clock,
        listeners: [
          this.freshness,
          recipient((event) => {
            this.#onConfigEvent(event);
          }),
        ],
      },
      context,
    );
    this.writer = new ConfigWriter(
      {
        store,
        clock,
        random,
        newId,
        refresh: () => this.replica.refresh(),
        refusalRecorder: recipient(({ record }) => {
          listener.onRefusal(record);
        }),
        pendingListener: this.freshness,
        announce: (revision) => this.#announce(revision),
      },
      context,
    );
    this.broker = this.#createBroker();
    this.ownership = new OwnershipManager(
      {
        memberId,
        store,
        clock,
        newId,
        listeners: [
          recipient((event) => {
            listener.onOwnership(event);
          }),
        ],
      },
      context,
    );
    this.session = new SessionManager(
      {
        memberId,
        address: settings.peerListen,
        zone: settings.zone,
        store,
        clock,
        newId,
        listeners: [
          this.freshness,
          this.writer,
          this.ownership,
          recipient((event) => {
            this.#onSession(event);
          }),
        ],
      },
      context,
    );
    this.membership = this.#createMembership();
    this.#memberWatch = new MemberWatch(
      {
        store,
        clock,
        listener: recipient((event) => {
          this.#onMembers(event);
        }),
      },
      context,
    );
  }

  /** Opens the peer listener and starts all components. Errors: `settings-invalid`. */
  async start(): Promise<Result<number, AppError>> {
    const opened = await this.mesh.start();
    if (opened.isErr()) {
      return opened;
    }
    for (const part of [this.session, this.replica, this.freshness, this.membership]) {
      part.start();
    }
    for (const part of [this.broker, this.ownership, this.#memberWatch]) {
      part.start();
    }
    every(STATUS_PERIOD_MS, this.#options.context.signal, () => {
      this.#publishStatus();
    });
    return opened;
  }

  /** Announces to peers that this entry is stopping. */
  announceStop(): void {
    this.#stopping = true;
    this.#publishStatus();
  }

  #createMesh(): PeerMesh {
    const { settings, context, clock, metrics, listener } = this.#options;
    const incarnation = (): string => this.#incarnation;
    const peers: PeerListener = {
      onLink: (member, peer, up) =>
        this.membership.post({ type: 'link', member, incarnation: peer, up }),
      onReport: (report) => {
        this.membership.post({ type: 'report', ...report });
        listener.onPeerReport(report);
      },
      onBroadcast: (from, message) => {
        this.#onBroadcast(from, message);
      },
      onRequest: (from, topic, body, signal) =>
        topic === 'freshness'
          ? this.#freshnessTransport.handle(from, body)
          : listener.onRequest(from, topic, body, signal),
    };
    return new PeerMesh(
      {
        // Read for each use: the incarnation is that of the session and changes after a lapse.
        self: {
          member: settings.member,
          zone: settings.zone,
          get incarnation() {
            return incarnation();
          },
        },
        listen: parseEndpoint(settings.peerListen),
        secret: new TextEncoder().encode(settings.peerSecret),
        clock,
        metrics,
        listener: peers,
      },
      context,
    );
  }

  #createBroker(): GrantBroker {
    const { settings, context, clock, random, platform, listener } = this.#options;
    return new GrantBroker(
      {
        self: settings.member,
        clock,
        random,
        store: platform.table,
        listener: {
          onUsable: (serial, units, validUntil) => {
            listener.onUnits(serial, units, validUntil);
          },
          onUnmetDemand: (wants) => {
            this.mesh.publish({ type: 'want', wants: [...wants] });
          },
          onLimitInForce: () => undefined,
          onReleased: () => {
            listener.onUnitsReturned();
          },
        },
      },
      context,
    );
  }

  #createMembership(): MembershipTracker {
    const { settings, context, clock, platform, listener } = this.#options;
    return new MembershipTracker(
      {
        self: settings.member,
        clock,
        instances: new ObservedInstanceList(platform.instances, (instances) => {
          this.#reportUnlisted(instances);
          listener.onInstances(instances);
        }),
        peerAddress: (instance) => this.#peerAddress(instance),
        listener: {
          onView: (members) => {
            this.mesh.post({ type: 'members', members: linkableMembers(members) });
            listener.onView(members);
          },
          // Outages are detected by the freshness rule, which also takes changes in flight into
          // account.
          onOutage: () => undefined,
        },
      },
      context,
    );
  }

  /**
   * Reports members that the platform no longer lists: they can't accept a change during an outage.
   */
  #reportUnlisted(instances: readonly ListedInstance[]): void {
    const listed = new Set(instances.map(({ id }) => id));
    for (const memberId of this.#listedMembers) {
      if (!listed.has(memberId)) {
        this.freshness.post({ type: 'dropped', memberId });
      }
    }
    this.#listedMembers = listed;
  }

  /** The platform also lists upstreams and workers, which are resources and not entries. */
  #peerAddress({ id, address }: ListedInstance): string | undefined {
    const { cfg } = this.replica;
    const other = cfg.get('upstream', id) ?? cfg.get('instance', id);
    return other === undefined ? address : undefined;
  }

  #onSession(event: SessionEvent): void {
    const { listener } = this.#options;
    const { incarnation } = event;
    if (event.type === 'session') {
      const { validUntil, requestsUntil } = event;
      this.#incarnation = incarnation;
      this.broker.post({ type: 'session', incarnation, validUntil });
      if (requestsUntil > validUntil) {
        this.broker.post({ type: 'outage', until: requestsUntil });
      }
      listener.onSession(validUntil, requestsUntil);
    } else {
      this.broker.post({ type: 'session', incarnation, validUntil: NEVER });
      listener.onSession(NEVER, NEVER);
    }
  }

  #onFreshness(until: Millis): void {
    this.#freshUntil = until;
    this.#options.listener.onFreshness(until);
  }

  #onConfigEvent(event: ConfigEvent): void {
    switch (event.type) {
      case 'config-changed':
        this.broker.post({ type: 'limits', limits: declaredLimits(event.cfg) });
        this.#options.listener.onConfig(event.cfg);
        break;
      case 'applied':
        this.session.post({ type: 'applied', revision: event.revision });
        this.#publishStatus();
        break;
      case 'head-read':
        this.#setStoreReachable(true);
        break;
      case 'store-failed':
        this.#setStoreReachable(false);
        break;
    }
  }

  #setStoreReachable(reachable: boolean): void {
    if (reachable !== this.#storeReachable) {
      this.#storeReachable = reachable;
      this.#storeStateSince = this.#options.clock.now();
      this.membership.post({ type: 'store', reachable });
      this.#publishStatus();
    }
  }

  #onMembers(event: MemberWatchEvent): void {
    if (event.type === 'members-failed') {
      return;
    }
    const self = this.#options.settings.member;
    this.membership.post({ type: 'rows', rows: event.rows });
    const sessions = event.rows.map(({ member, incarnation }) => ({ member, incarnation }));
    this.broker.post({ type: 'members', rows: sessions, readAt: event.sentAt });
    for (const { member, incarnation } of event.expired) {
      this.membership.post({ type: 'expired', member, incarnation });
      this.broker.post({ type: 'expired', member, incarnation, at: event.sentAt });
    }
    const others = sessions.filter(({ member }) => member !== self && event.live.includes(member));
    this.freshness.post({
      type: 'members',
      members: others.map(({ member, incarnation }) => ({ memberId: member, incarnation })),
    });
    this.#options.listener.onMembersRead(event);
  }

  #onBroadcast(from: MemberId, message: Broadcast): void {
    switch (message.type) {
      case 'head':
        this.replica.post({ type: 'head-seen', revision: message.revision });
        break;
      case 'want':
        this.broker.post({ type: 'peer-want', member: from, wants: message.wants });
        break;
      case 'demand':
        this.#options.listener.onBroadcast(from, message);
        break;
    }
  }

  #announce(revision: Revision): Promise<void> {
    this.mesh.publish({ type: 'head', revision });
    return Promise.resolve();
  }

  #publishStatus(): void {
    const now = this.#options.clock.now();
    this.mesh.post({
      type: 'status',
      status: {
        revision: this.replica.cfg.revision,
        storeReachable: this.#storeReachable,
        storeForMs: Math.floor(now - this.#storeStateSince),
        freshMs: Math.max(0, Math.floor(this.#freshUntil - now)),
        stopping: this.#stopping,
      },
    });
  }
}
