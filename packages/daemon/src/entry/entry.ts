import { setMaxListeners } from 'node:events';
import type {
  AuditRecord,
  Broadcast,
  JsonValue,
  ListedInstance,
  MemberWatchEvent,
  OwnershipEvent,
  PeerReport,
  RequestTopic,
  ViewMember,
} from '@turmerichoist/coordination';
import {
  fail,
  NEVER,
  Ok,
  parseEndpoint,
  RequestDecider,
  type AppError,
  type Clock,
  type Configuration,
  type MemberId,
  type Millis,
  type PoolName,
  type Random,
  type Result,
  type TeamName,
} from '@turmerichoist/core';
import type { Logger, Metrics } from '@turmerichoist/runtime';
import { OperatorApi, Operators, type RolloutStatus } from '../api/index.js';
import { FleetOwner, FleetWaitLookup, isFleetKind } from '../fleet/index.js';
import { HttpServer } from '../http/index.js';
import { IdempotencyGate } from '../idempotency/index.js';
import { askPeersAbout } from '../peers/index.js';
import { RequestPipeline } from '../requests/index.js';
import type { Settings } from '../settings/index.js';
import { PoolOwners, poolRole, TaskApi, TaskRouter, type TaskCommand } from '../tasks/index.js';
import { AUDIT_ROLE, AuditTrail } from './audit-trail.js';
import { ConfigurationService } from './configuration-service.js';
import { Coordination } from './coordination.js';
import type { CoordinationListener } from './coordination-listener.js';
import { DemandReporter } from './demand-reporter.js';
import { connectPlatform, type Platform } from './platform.js';
import { RolloutTracker } from './rollout.js';
import { stopEntry } from './stop.js';

export interface EntryOptions {
  readonly settings: Settings;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly clock: Clock;
  readonly random: Random;
  readonly newId: () => string;
}

/** One entry: all components that `turmerichoistd` runs. */
export class Entry implements CoordinationListener {
  readonly options: EntryOptions;
  readonly coordination: Coordination;
  readonly server: HttpServer;
  readonly pipeline: RequestPipeline;
  readonly #stopController = new AbortController();
  readonly #platform: Platform;
  readonly #configuration: ConfigurationService;
  readonly #demandReporter: DemandReporter;
  readonly #idempotencyGate: IdempotencyGate;
  readonly #poolOwners: PoolOwners;
  readonly #taskRouter: TaskRouter;
  readonly #auditTrail: AuditTrail;
  readonly #fleetOwner: FleetOwner;
  readonly #fleetWaits: FleetWaitLookup;
  readonly #rollout = new RolloutTracker();
  #freshUntil: Millis = NEVER;
  /**
   * No order is sent to a worker after this time. It exceeds the session during a store outage,
   * when no other entry can become owner, since none can write.
   */
  #ownerUntil: Millis = NEVER;
  #sessionUntil: Millis = NEVER;
  #resolveUnitsReturned: () => void = () => undefined;

  constructor(options: EntryOptions) {
    this.options = options;
    const { settings, log, metrics, clock, random, newId } = options;
    const { signal } = this.#stopController;
    // Each component adds a listener to this signal, for which Node.js would warn of a leak.
    setMaxListeners(0, signal);
    const context = { log, signal };
    this.#platform = connectPlatform(settings, clock, random, signal);
    const platform = this.#platform;
    const decider = new RequestDecider({ random, self: settings.member });
    this.pipeline = new RequestPipeline({
      context,
      clock,
      decider,
      maxOpen: settings.maxWaiting,
      metrics,
    });
    this.#poolOwners = new PoolOwners(context, { clock, store: platform.table, newId });
    this.coordination = new Coordination({
      settings,
      context,
      clock,
      random,
      metrics,
      newId,
      platform,
      listener: this,
    });
    const { mesh, replica, writer, broker } = this.coordination;
    const { dispatcher } = this.pipeline;
    this.#demandReporter = new DemandReporter({ dispatcher, broker, mesh, signal });
    this.#idempotencyGate = new IdempotencyGate({
      self: settings.member,
      clock,
      signal,
      ask: askPeersAbout('idempotency', mesh),
    });
    this.pipeline.front.setIdempotencyGuard(this.#idempotencyGate);
    this.#taskRouter = new TaskRouter({
      self: settings.member,
      clock,
      store: platform.table,
      owners: this.#poolOwners,
      ask: askPeersAbout('submit', mesh),
    });
    const memberId = settings.member;
    this.#auditTrail = new AuditTrail({ context, memberId, clock, platform, replica, newId });
    this.#fleetOwner = new FleetOwner(context, {
      clock,
      store: platform.table,
      newId,
      refresh: () => replica.refresh(),
      announce: (revision) => {
        mesh.publish({ type: 'head', revision });
      },
    });
    this.#fleetWaits = new FleetWaitLookup({
      self: settings.member,
      owner: this.#fleetOwner,
      ask: askPeersAbout('why', mesh),
    });
    this.#configuration = new ConfigurationService({
      replica,
      writer,
      audit: (filter, until) => this.#auditTrail.query(filter, until),
      rollout: () => Ok(this.#rolloutStatus()),
    });
    this.server = this.#createServer(signal);
  }

  /** Starts all components. Resolves with the address for callers. Errors: `settings-invalid`. */
  async start(): Promise<Result<string, AppError>> {
    const started = await this.coordination.start();
    if (started.isErr()) {
      return started;
    }
    this.#demandReporter.start();
    this.#auditTrail.start();
    this.#fleetOwner.start();
    const { host, port } = parseEndpoint(this.options.settings.listen);
    try {
      return Ok(await this.server.listen(host, port));
    } catch (err) {
      return fail('settings-invalid', `listen: ${String(err)}`);
    }
  }

  /** Whether the configuration is confirmed, so that callers may be routed to this entry. */
  get ready(): boolean {
    return this.#freshUntil > this.options.clock.now();
  }

  /** Whether this entry owns the pool now. */
  owns(pool: PoolName): boolean {
    return this.#poolOwners.owns(pool);
  }

  /** Stops gracefully: open requests finish within the time that the settings allow. */
  async stop(): Promise<void> {
    const returned = new Promise<void>((resolve) => {
      this.#resolveUnitsReturned = resolve;
    });
    await stopEntry(this, returned);
    await this.abort();
  }

  /**
   * Stops at once, as a crash would: roles and grants are not released and open requests are
   * broken.
   */
  async abort(): Promise<void> {
    this.#stopController.abort();
    void this.server.close();
    this.server.destroy();
    await this.options.metrics.close();
  }

  onConfig(cfg: Configuration): void {
    this.pipeline.configure(cfg);
    const pools = cfg.list('pool').map(({ name }) => poolRole(name));
    this.coordination.ownership.post({ type: 'roles', roles: [AUDIT_ROLE, ...pools] });
    this.#poolOwners.post({ type: 'config-changed', cfg });
    this.#fleetOwner.post({ type: 'config-changed', cfg });
    this.#configuration.notifyListeners();
  }

  onFreshness(until: Millis): void {
    this.#freshUntil = until;
    this.pipeline.post({ type: 'freshness', until });
    this.#postFreshness();
  }

  onSession(validUntil: Millis, requestsUntil: Millis): void {
    this.#ownerUntil = requestsUntil;
    this.#sessionUntil = validUntil;
    this.#auditTrail.sessionChanged(validUntil);
    this.#postFreshness();
  }

  onInstances(instances: readonly ListedInstance[]): void {
    this.pipeline.setListedInstances(instances);
  }

  onUnits(serial: number, units: ReadonlyMap<TeamName, number>, validUntil: Millis): void {
    this.#demandReporter.grantsChanged(serial, units, validUntil);
  }

  onUnitsReturned(): void {
    this.#resolveUnitsReturned();
  }

  onView(members: readonly ViewMember[]): void {
    this.#rollout.viewChanged(members);
  }

  onMembersRead({ rows, sentAt, live }: Extract<MemberWatchEvent, { type: 'members-read' }>): void {
    this.#rollout.recordRows(rows, sentAt, live);
    this.#idempotencyGate.membersChanged(live);
    this.#fleetWaits.membersChanged(live);
    this.pipeline.post({ type: 'members-changed', members: live });
  }

  onPeerReport(report: PeerReport): void {
    this.#rollout.recordReport(report);
  }

  onBroadcast(from: MemberId, message: Broadcast): void {
    if (message.type === 'demand') {
      this.pipeline.post({ type: 'peer-demand', member: from, rows: message.rows });
    }
  }

  async onRequest(
    _from: MemberId,
    topic: RequestTopic,
    body: JsonValue,
  ): Promise<Result<JsonValue, AppError>> {
    switch (topic) {
      case 'idempotency':
        return this.#idempotencyGate.handle(body);
      case 'submit': {
        // Peers are authenticated and send only commands that their own API has validated.
        const answer = await this.#poolOwners.command(body as unknown as TaskCommand);
        return answer.map((value) => value as JsonValue);
      }
      case 'why':
        return this.#fleetWaits.handle(body);
      default:
        return fail('unknown-route', topic);
    }
  }

  onOwnership(event: OwnershipEvent): void {
    this.#poolOwners.post(event);
    this.#auditTrail.ownershipChanged(event);
    this.#fleetOwner.post(event);
  }

  onRefusal(record: AuditRecord): void {
    this.#auditTrail.refused(record);
  }

  #postFreshness(): void {
    const [configUntil, ownerUntil] = [this.#freshUntil, this.#ownerUntil];
    this.#poolOwners.post({ type: 'freshness', configUntil, ownerUntil });
    this.#fleetOwner.post({ type: 'freshness', configUntil, ownerUntil: this.#sessionUntil });
  }

  #rolloutStatus(): RolloutStatus {
    const { settings, clock } = this.options;
    const { revision } = this.#configuration.current();
    const { member, zone } = settings;
    const state = this.ready ? 'in-force' : 'unknown';
    return this.#rollout.status({ member, zone, state, revision }, revision, clock.now());
  }

  #createServer(signal: AbortSignal): HttpServer {
    const { settings, log } = this.options;
    const operators = new OperatorApi({
      access: this.#configuration,
      operators: new Operators(settings.operators),
      why: (kind, name, until) => this.#explainWait(kind, name, until),
      signal,
    });
    const tasks = new TaskApi({
      cfg: () => this.#configuration.current(),
      isConfigFresh: () => this.ready,
      route: (command, until) => this.#taskRouter.route(command, until),
      signal,
    });
    return new HttpServer({
      callers: (req, res) => this.pipeline.front.accept(req, res),
      tasks: (req, res) => tasks.handle(req, res),
      operators: (req, res) => operators.handle(req, res),
      ready: () => this.ready,
      onError: (err) => {
        log.error('request handler failed', { err: String(err) });
      },
    });
  }

  #explainWait(
    kind: string,
    name: string,
    signal: AbortSignal,
  ): Promise<Result<unknown, AppError>> {
    if (isFleetKind(kind)) {
      return this.#fleetWaits.find(kind, name, signal);
    }
    const pool = name.split(':')[0] ?? '';
    return kind === 'task'
      ? this.#taskRouter.route({ type: 'show', pool, id: name }, signal)
      : Promise.resolve(fail('not-found', `${kind}/${name}`));
  }
}
