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
  Ok,
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
import { FleetOwner, FleetWhy, isFleetKind } from '../fleet/index.js';
import { HttpServer } from '../http/index.js';
import { IdempotencyGate } from '../idempotency/index.js';
import { RequestPath } from '../requests/index.js';
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

const NEVER: Millis = Number.NEGATIVE_INFINITY;

export interface EntryOptions {
  readonly settings: Settings;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly clock: Clock;
  readonly random: Random;
  readonly newId: () => string;
}

/** One entry: everything that `turmerichoistd` runs. */
export class Entry implements CoordinationListener {
  readonly options: EntryOptions;
  readonly coordination: Coordination;
  readonly server: HttpServer;
  readonly path: RequestPath;
  readonly #stop = new AbortController();
  readonly #platform: Platform;
  readonly #access: ConfigurationService;
  readonly #demand: DemandReporter;
  readonly #gate: IdempotencyGate;
  readonly #owners: PoolOwners;
  readonly #router: TaskRouter;
  readonly #audit: AuditTrail;
  readonly #fleet: FleetOwner;
  readonly #fleetWhy: FleetWhy;
  readonly #rollout = new RolloutTracker();
  #freshUntil: Millis = NEVER;
  /** Nothing is sent to a worker after this. While no one can write, no other owner can act. */
  #ownerUntil: Millis = NEVER;
  #sessionUntil: Millis = NEVER;
  #unitsReturned: () => void = () => undefined;

  constructor(options: EntryOptions) {
    this.options = options;
    const { settings, log, metrics, clock, random, newId } = options;
    const { signal } = this.#stop;
    // Every part listens to this signal, which Node.js would take for a leak.
    setMaxListeners(0, signal);
    const context = { log, signal };
    this.#platform = connectPlatform(settings, clock, random, signal);
    const platform = this.#platform;
    const decisions = new RequestDecider({ random, self: settings.member });
    this.path = new RequestPath({
      context,
      clock,
      decisions,
      maxOpen: settings.maxWaiting,
      metrics,
    });
    this.#owners = new PoolOwners(context, { clock, store: platform.table, newId });
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
    const { dispatcher } = this.path;
    this.#demand = new DemandReporter({ dispatcher, broker, mesh, signal });
    this.#gate = new IdempotencyGate({
      self: settings.member,
      clock,
      signal,
      ask: (home, body, timeoutMs, until) =>
        mesh.request(home, { topic: 'idempotency', body }, timeoutMs, until),
    });
    this.path.front.guardKeys(this.#gate);
    this.#router = new TaskRouter({
      self: settings.member,
      clock,
      store: platform.table,
      owners: this.#owners,
      ask: (member, body, timeoutMs, until) =>
        mesh.request(member, { topic: 'submit', body }, timeoutMs, until),
    });
    const memberId = settings.member;
    this.#audit = new AuditTrail({ context, memberId, clock, platform, replica, newId });
    this.#fleet = new FleetOwner(context, {
      clock,
      store: platform.table,
      newId,
      refresh: () => replica.refresh(),
      announce: (revision) => {
        mesh.publish({ type: 'head', revision });
      },
    });
    this.#fleetWhy = new FleetWhy({
      self: settings.member,
      owner: this.#fleet,
      ask: (member, body, timeoutMs, until) =>
        mesh.request(member, { topic: 'why', body }, timeoutMs, until),
    });
    this.#access = new ConfigurationService({
      replica,
      writer,
      audit: (filter, until) => this.#audit.query(filter, until),
      rollout: () => Ok(this.#rolloutStatus()),
    });
    this.server = this.#createServer(signal);
  }

  /** Starts all parts. Resolves with the address for callers. Errors: `settings-invalid`. */
  async start(): Promise<Result<string, AppError>> {
    const { listen } = this.options.settings;
    const started = await this.coordination.start();
    if (started.isErr()) {
      return started;
    }
    this.#demand.start();
    this.#audit.start();
    this.#fleet.start();
    const [host = '', port = ''] = listen.split(':');
    try {
      return Ok(await this.server.listen(host, Number(port)));
    } catch (err) {
      return fail('settings-invalid', `listen: ${String(err)}`);
    }
  }

  /** Whether callers may be sent here. */
  get ready(): boolean {
    return this.#freshUntil > this.options.clock.now();
  }

  /** Whether this entry decides for the tasks of the pool now. */
  owns(pool: PoolName): boolean {
    return this.#owners.owns(pool);
  }

  /** Stops without cutting a request, as far as the settings give it time. */
  async stop(): Promise<void> {
    const returned = new Promise<void>((resolve) => {
      this.#unitsReturned = resolve;
    });
    await stopEntry(this, returned);
    await this.abort();
  }

  /** Ends at once, as a crash would: nothing is given back and open requests break. */
  async abort(): Promise<void> {
    this.#stop.abort();
    void this.server.close();
    this.server.destroy();
    await this.options.metrics.close();
  }

  onConfig(cfg: Configuration): void {
    this.path.configure(cfg);
    const pools = cfg.list('pool').map(({ name }) => poolRole(name));
    this.coordination.ownership.post({ type: 'roles', roles: [AUDIT_ROLE, ...pools] });
    this.#owners.post({ type: 'config-changed', cfg });
    this.#fleet.post({ type: 'config-changed', cfg });
    this.#access.changed();
  }

  onFreshness(until: Millis): void {
    this.#freshUntil = until;
    this.path.tell({ type: 'freshness', until });
    this.#tellOwners();
  }

  onSession(validUntil: Millis, requestsUntil: Millis): void {
    this.#ownerUntil = requestsUntil;
    this.#sessionUntil = validUntil;
    this.#audit.sessionChanged(validUntil);
    this.#tellOwners();
  }

  onInstances(instances: readonly ListedInstance[]): void {
    this.path.instancesListed(instances);
  }

  onUnits(serial: number, units: ReadonlyMap<TeamName, number>, validUntil: Millis): void {
    this.#demand.grantsChanged(serial, units, validUntil);
  }

  onUnitsReturned(): void {
    this.#unitsReturned();
  }

  onView(members: readonly ViewMember[]): void {
    this.#rollout.viewChanged(members);
  }

  onMembersRead({ rows, sentAt, live }: Extract<MemberWatchEvent, { type: 'members-read' }>): void {
    this.#rollout.rowsRead(rows, sentAt, live);
    this.#gate.membersChanged(live);
    this.#fleetWhy.membersChanged(live);
    this.path.tell({ type: 'members-changed', members: live });
  }

  onPeerReport(report: PeerReport): void {
    this.#rollout.reported(report);
  }

  onBroadcast(from: MemberId, message: Broadcast): void {
    if (message.type === 'demand') {
      this.path.tell({ type: 'peer-demand', member: from, rows: message.rows });
    }
  }

  async onRequest(
    _from: MemberId,
    topic: RequestTopic,
    body: JsonValue,
  ): Promise<Result<JsonValue, AppError>> {
    switch (topic) {
      case 'idempotency':
        return this.#gate.handle(body);
      case 'submit': {
        // Entries are authenticated and send only what their own API has checked.
        const answer = await this.#owners.command(body as unknown as TaskCommand);
        return answer.map((value) => value as JsonValue);
      }
      case 'why':
        return this.#fleetWhy.handle(body);
      default:
        return fail('unknown-route', topic);
    }
  }

  onOwnership(event: OwnershipEvent): void {
    this.#owners.post(event);
    this.#audit.ownershipChanged(event);
    this.#fleet.post(event);
  }

  onRefusal(record: AuditRecord): void {
    this.#audit.refused(record);
  }

  #tellOwners(): void {
    const [configUntil, ownerUntil] = [this.#freshUntil, this.#ownerUntil];
    this.#owners.post({ type: 'freshness', configUntil, ownerUntil });
    this.#fleet.post({ type: 'freshness', configUntil, ownerUntil: this.#sessionUntil });
  }

  #rolloutStatus(): RolloutStatus {
    const { settings, clock } = this.options;
    const { revision } = this.#access.current();
    const { member, zone } = settings;
    const state = this.ready ? 'in-force' : 'unknown';
    return this.#rollout.status({ member, zone, state, revision }, revision, clock.now());
  }

  #createServer(signal: AbortSignal): HttpServer {
    const { settings, log } = this.options;
    const operators = new OperatorApi({
      access: this.#access,
      operators: new Operators(settings.operators),
      why: (kind, name, until) => this.#why(kind, name, until),
      signal,
    });
    const tasks = new TaskApi({
      cfg: () => this.#access.current(),
      fresh: () => this.ready,
      route: (command, until) => this.#router.route(command, until),
      signal,
    });
    return new HttpServer({
      callers: (req, res) => this.path.front.accept(req, res),
      tasks: (req, res) => tasks.handle(req, res),
      operators: (req, res) => operators.handle(req, res),
      ready: () => this.ready,
      onFault: (err) => {
        log.error('request handler failed', { err: String(err) });
      },
    });
  }

  #why(kind: string, name: string, signal: AbortSignal): Promise<Result<unknown, AppError>> {
    if (isFleetKind(kind)) {
      return this.#fleetWhy.find(kind, name, signal);
    }
    const pool = name.split(':')[0] ?? '';
    return kind === 'task'
      ? this.#router.route({ type: 'show', pool, id: name }, signal)
      : Promise.resolve(fail('not-found', `${kind}/${name}`));
  }
}
