import {
  ConfigReplica,
  ConfigWriter,
  FreshnessTracker,
  GrantBroker,
  MembershipTracker,
  MemberWatch,
  OwnershipManager,
  PeerMesh,
  SessionManager,
  type ListedInstance,
} from '@turmerichoist/coordination';
import { parseEndpoint, type AppError, type Result, type Revision } from '@turmerichoist/core';
import { askPeersAbout } from '../peers/index.js';
import type { CoordinationOptions } from './coordination-listener.js';
import { CoordinationRouter, type CoordinationParts } from './coordination-router.js';
import { FreshnessTransport } from './freshness-transport.js';
import { MemberStatusPublisher } from './member-status.js';
import { ObservedInstanceList } from './observed-instances.js';
import { recipient } from './recipient.js';

/** The components that coordinate this entry with the others, wired to each other. */
export class Coordination implements CoordinationParts {
  readonly session: SessionManager;
  readonly replica: ConfigReplica;
  readonly writer: ConfigWriter;
  readonly freshness: FreshnessTracker;
  readonly freshnessTransport: FreshnessTransport;
  readonly mesh: PeerMesh;
  readonly membership: MembershipTracker;
  readonly broker: GrantBroker;
  readonly ownership: OwnershipManager;
  readonly status: MemberStatusPublisher;
  readonly #memberWatch: MemberWatch;
  readonly #router: CoordinationRouter;
  readonly #options: CoordinationOptions;

  constructor(options: CoordinationOptions) {
    this.#options = options;
    const { settings, context, clock, listener } = options;
    this.#router = new CoordinationRouter(settings.member, this, listener);
    this.mesh = this.#createMesh();
    this.status = new MemberStatusPublisher({
      clock,
      mesh: this.mesh,
      revision: () => this.replica.cfg.revision,
    });
    this.freshnessTransport = new FreshnessTransport(
      askPeersAbout('freshness', this.mesh),
      () => this.freshness,
      context.signal,
    );
    this.freshness = this.#createFreshness();
    this.replica = this.#createReplica();
    this.writer = this.#createWriter();
    this.broker = this.#createBroker();
    this.ownership = this.#createOwnership();
    this.session = this.#createSession();
    this.membership = this.#createMembership();
    this.#memberWatch = this.#createMemberWatch();
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
    this.status.start(this.#options.context.signal);
    return opened;
  }

  /** Announces to peers that this entry is stopping. */
  announceStop(): void {
    this.status.announceStop();
  }

  #createMesh(): PeerMesh {
    const { settings, context, clock, metrics } = this.#options;
    const router = this.#router;
    return new PeerMesh(
      {
        // Read for each use: the incarnation is that of the session and changes after a lapse.
        self: {
          member: settings.member,
          zone: settings.zone,
          get incarnation() {
            return router.incarnation;
          },
        },
        listen: parseEndpoint(settings.peerListen),
        secret: new TextEncoder().encode(settings.peerSecret),
        clock,
        metrics,
        listener: router,
      },
      context,
    );
  }

  #createFreshness(): FreshnessTracker {
    const { context, clock } = this.#options;
    return new FreshnessTracker(
      {
        clock,
        peers: this.freshnessTransport,
        replica: recipient((message) => this.replica.post(message)),
        session: recipient((message) => this.session.post(message)),
        listeners: [
          recipient(({ until }) => {
            this.#router.onFreshness(until);
          }),
        ],
      },
      context,
    );
  }

  #createReplica(): ConfigReplica {
    const { context, clock, platform } = this.#options;
    return new ConfigReplica(
      {
        store: platform.table,
        objects: platform.objects,
        clock,
        listeners: [
          this.freshness,
          recipient((event) => {
            this.#router.onConfigEvent(event);
          }),
        ],
      },
      context,
    );
  }

  #createWriter(): ConfigWriter {
    const { context, clock, random, newId, platform, listener } = this.#options;
    return new ConfigWriter(
      {
        store: platform.table,
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
  }

  #createBroker(): GrantBroker {
    const { settings, context, clock, random, platform } = this.#options;
    return new GrantBroker(
      {
        self: settings.member,
        clock,
        random,
        store: platform.table,
        listener: this.#router,
      },
      context,
    );
  }

  #createOwnership(): OwnershipManager {
    const { settings, context, clock, newId, platform, listener } = this.#options;
    return new OwnershipManager(
      {
        memberId: settings.member,
        store: platform.table,
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
  }

  #createSession(): SessionManager {
    const { settings, context, clock, newId, platform } = this.#options;
    return new SessionManager(
      {
        memberId: settings.member,
        address: settings.peerListen,
        zone: settings.zone,
        store: platform.table,
        clock,
        newId,
        listeners: [
          this.freshness,
          this.writer,
          this.ownership,
          recipient((event) => {
            this.#router.onSession(event);
          }),
        ],
      },
      context,
    );
  }

  #createMembership(): MembershipTracker {
    const { settings, context, clock, platform } = this.#options;
    return new MembershipTracker(
      {
        self: settings.member,
        clock,
        instances: new ObservedInstanceList(platform.instances, (instances) => {
          this.#router.onInstances(instances);
        }),
        peerAddress: (instance) => this.#peerAddress(instance),
        listener: this.#router,
      },
      context,
    );
  }

  #createMemberWatch(): MemberWatch {
    const { context, clock, platform } = this.#options;
    return new MemberWatch(
      {
        store: platform.table,
        clock,
        listener: recipient((event) => {
          this.#router.onMembers(event);
        }),
      },
      context,
    );
  }

  /** The platform also lists upstreams and workers, which are resources and not entries. */
  #peerAddress({ id, address }: ListedInstance): string | undefined {
    const { cfg } = this.replica;
    const other = cfg.get('upstream', id) ?? cfg.get('instance', id);
    return other === undefined ? address : undefined;
  }

  #announce(revision: Revision): Promise<void> {
    this.mesh.publish({ type: 'head', revision });
    return Promise.resolve();
  }
}
