import { Ok, RequestDecider } from '@turmerichoist/core';
import type { ActorContext } from '@turmerichoist/runtime';
import type { RolloutStatus } from '../api/index.js';
import { FleetOwner, FleetWaitLookup } from '../fleet/index.js';
import { IdempotencyGate } from '../idempotency/index.js';
import { askPeersAbout } from '../peers/index.js';
import { RequestPipeline } from '../requests/index.js';
import { PoolOwners, TaskRouter } from '../tasks/index.js';
import { AuditTrail } from './audit-trail.js';
import { ConfigurationService } from './configuration-service.js';
import { Coordination } from './coordination.js';
import { DemandReporter } from './demand-reporter.js';
import { EntryEvents, type EntryParts } from './entry-events.js';
import type { EntryOptions } from './entry-options.js';
import { connectPlatform, type Platform } from './platform.js';
import { RolloutTracker } from './rollout.js';

/** The components of an entry, wired to each other. */
export class EntryComponents implements EntryParts {
  readonly pipeline: RequestPipeline;
  readonly coordination: Coordination;
  readonly configuration: ConfigurationService;
  readonly demandReporter: DemandReporter;
  readonly idempotencyGate: IdempotencyGate;
  readonly poolOwners: PoolOwners;
  readonly taskRouter: TaskRouter;
  readonly auditTrail: AuditTrail;
  readonly fleetOwner: FleetOwner;
  readonly fleetWaits: FleetWaitLookup;
  readonly rollout = new RolloutTracker();
  readonly events = new EntryEvents(this);
  readonly #options: EntryOptions;
  readonly #context: ActorContext;
  readonly #platform: Platform;

  constructor(options: EntryOptions, signal: AbortSignal) {
    this.#options = options;
    const { settings, log, clock, random, newId } = options;
    this.#context = { log, signal };
    this.#platform = connectPlatform(settings, clock, random, signal);
    this.pipeline = this.#createPipeline();
    const { table } = this.#platform;
    this.poolOwners = new PoolOwners(this.#context, { clock, store: table, newId });
    this.coordination = this.#createCoordination();
    this.demandReporter = this.#createDemandReporter();
    this.idempotencyGate = this.#createIdempotencyGate();
    this.pipeline.front.setIdempotencyGuard(this.idempotencyGate);
    this.taskRouter = this.#createTaskRouter();
    this.auditTrail = this.#createAuditTrail();
    this.fleetOwner = this.#createFleetOwner();
    this.fleetWaits = this.#createFleetWaits();
    this.configuration = this.#createConfiguration();
  }

  /** Whether the configuration is confirmed, so that callers may be routed to this entry. */
  get ready(): boolean {
    return this.events.freshUntil > this.#options.clock.now();
  }

  #createPipeline(): RequestPipeline {
    const { settings, clock, random, metrics } = this.#options;
    return new RequestPipeline({
      context: this.#context,
      clock,
      decider: new RequestDecider({ random, self: settings.member }),
      maxOpen: settings.maxWaiting,
      metrics,
    });
  }

  #createCoordination(): Coordination {
    const { settings, clock, random, metrics, newId } = this.#options;
    return new Coordination({
      settings,
      context: this.#context,
      clock,
      random,
      metrics,
      newId,
      platform: this.#platform,
      listener: this.events,
    });
  }

  #createDemandReporter(): DemandReporter {
    const { broker, mesh } = this.coordination;
    const { dispatcher } = this.pipeline;
    return new DemandReporter({ dispatcher, broker, mesh, signal: this.#context.signal });
  }

  #createIdempotencyGate(): IdempotencyGate {
    const { settings, clock } = this.#options;
    return new IdempotencyGate({
      self: settings.member,
      clock,
      signal: this.#context.signal,
      ask: askPeersAbout('idempotency', this.coordination.mesh),
    });
  }

  #createTaskRouter(): TaskRouter {
    const { settings, clock } = this.#options;
    return new TaskRouter({
      self: settings.member,
      clock,
      store: this.#platform.table,
      owners: this.poolOwners,
      ask: askPeersAbout('submit', this.coordination.mesh),
    });
  }

  #createAuditTrail(): AuditTrail {
    const { settings, clock, newId } = this.#options;
    return new AuditTrail({
      context: this.#context,
      memberId: settings.member,
      clock,
      platform: this.#platform,
      replica: this.coordination.replica,
      newId,
    });
  }

  #createFleetOwner(): FleetOwner {
    const { clock, newId } = this.#options;
    const { mesh, replica } = this.coordination;
    return new FleetOwner(this.#context, {
      clock,
      store: this.#platform.table,
      newId,
      refresh: () => replica.refresh(),
      announce: (revision) => {
        mesh.publish({ type: 'head', revision });
      },
    });
  }

  #createFleetWaits(): FleetWaitLookup {
    return new FleetWaitLookup({
      self: this.#options.settings.member,
      owner: this.fleetOwner,
      ask: askPeersAbout('why', this.coordination.mesh),
    });
  }

  #createConfiguration(): ConfigurationService {
    const { replica, writer } = this.coordination;
    return new ConfigurationService({
      replica,
      writer,
      audit: (filter, until) => this.auditTrail.query(filter, until),
      rollout: () => Ok(this.#rolloutStatus()),
    });
  }

  #rolloutStatus(): RolloutStatus {
    const { settings, clock } = this.#options;
    const { revision } = this.configuration.current();
    const { member, zone } = settings;
    const state = this.ready ? 'in-force' : 'unknown';
    return this.rollout.status({ member, zone, state, revision }, revision, clock.now());
  }
}
