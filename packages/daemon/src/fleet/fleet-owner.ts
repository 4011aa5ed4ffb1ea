import {
  fencingCondition,
  RoleGuard,
  type Holding,
  type JsonValue,
  type OwnershipEvent,
} from '@turmerichoist/coordination';
import {
  Configuration,
  FleetDecider,
  Ok,
  ProportionalBorrowing,
  fail,
  type AppError,
  type Clock,
  type FleetDecision,
  type FleetEvent,
  type FleetTransaction,
  type InstanceName,
  type Millis,
  type OwnerFence,
  type PoolName,
  type Result,
  type StoredRow,
  type WaitSubject,
} from '@turmerichoist/core';
import { Actor, every, sleep, type ActorContext } from '@turmerichoist/runtime';
import { poolRole, POOL_ROLE_PREFIX } from '../tasks/index.js';
import { FleetLinks } from './fleet-links.js';
import { FleetRows, type FleetRowsOptions } from './fleet-rows.js';

const TICK_MS: Millis = 250;
/** Period at which instances are polled for their reports. */
const POLL_PERIOD_MS: Millis = 1_000;
/**
 * Every fifth poll covers all instances. The others omit those that no decision here depends on.
 */
const FULL_POLL_EVERY = 5;
/** Period at which rows that other owners write are read. */
const ROWS_PERIOD_MS: Millis = 1_000;
/** Delay before a failed read of rows is retried. */
const READ_RETRY_DELAY_MS: Millis = 500;

export type FleetOwnerMessage =
  | OwnershipEvent
  | Extract<
      FleetEvent,
      {
        type:
          | 'config-changed'
          | 'instance-seen'
          | 'drain-finished'
          | 'demand'
          | 'transaction-committed'
          | 'transaction-conflicted'
          | 'transaction-unknown'
          | 'rows-read';
      }
    >
  | { readonly type: 'freshness'; readonly configUntil: Millis; readonly ownerUntil: Millis }
  | { readonly type: 'poll' }
  | { readonly type: 'read-rows' }
  | { readonly type: 'tick' }
  | {
      readonly type: 'gained';
      readonly holding: Holding;
      readonly rows: readonly StoredRow[];
    };

export interface FleetOwnerOptions extends FleetRowsOptions {
  readonly clock: Clock;
}

/** Runs the fleet decider for all pools that this entry owns. */
export class FleetOwner extends Actor<FleetOwnerMessage> {
  readonly #clock: Clock;
  readonly #rows: FleetRows;
  readonly #links: FleetLinks;
  readonly #roleGuard = new RoleGuard();
  readonly #decider = new FleetDecider({ poolPlanner: new ProportionalBorrowing() });
  /** Pools whose rows were read under the current epoch. */
  readonly #owned = new Set<PoolName>();
  #cordoned: ReadonlySet<InstanceName> = new Set();
  #cfg = Configuration.empty;
  #configUntil: Millis = Number.NEGATIVE_INFINITY;
  #reading = false;
  #polls = 0;

  constructor(context: ActorContext, options: FleetOwnerOptions) {
    super('fleet', context);
    this.#clock = options.clock;
    this.#rows = new FleetRows(options);
    this.#links = new FleetLinks(this, (fence) => this.#holding(fence).isOk(), this.signal);
  }

  /** Starts the timers. */
  start(): void {
    every(TICK_MS, this.signal, () => this.post({ type: 'tick' }));
    every(POLL_PERIOD_MS, this.signal, () => this.post({ type: 'poll' }));
    every(ROWS_PERIOD_MS, this.signal, () => this.post({ type: 'read-rows' }));
  }

  /** Explains what a plan, instance or pool waits for, if it is owned here. Errors: `not-found`. */
  why(kind: WaitSubject['kind'], name: string): Result<JsonValue, AppError> {
    const wait = this.#decider.why(kind, name);
    const row = kind === 'plan' ? this.#decider.planRow(name) : undefined;
    if (wait === undefined && !this.#owns(kind, name)) {
      return fail('not-found', `${kind}/${name}`);
    }
    const waits =
      wait === undefined
        ? { waitsFor: null }
        : { waitsFor: { ...wait.reason }, forMs: Math.floor(this.#clock.now() - wait.since) };
    const progress =
      row === undefined
        ? {}
        : { progress: { total: row.total, remaining: row.remaining.length, wave: row.wave } };
    return Ok({ kind, name, ...waits, ...progress });
  }

  protected receive(message: FleetOwnerMessage): void {
    switch (message.type) {
      case 'owned':
        this.#onOwned(message.holding);
        return;
      case 'lost':
        this.#onLost(message);
        return;
      case 'gained':
        this.#takeOver(message.holding, message.rows);
        return;
      case 'freshness':
        this.#configUntil = message.configUntil;
        this.#roleGuard.handle({ type: 'session', validUntil: message.ownerUntil });
        return;
      case 'poll':
        this.#poll();
        return;
      case 'read-rows':
        void this.#readRows();
        return;
      case 'tick':
        this.#tick();
        return;
      case 'config-changed':
        this.#configure(message.cfg);
        return;
      default:
        this.#decide(message);
    }
  }

  #configure(cfg: Configuration): void {
    this.#cfg = cfg;
    this.#links.configure(cfg);
    this.#decide({ type: 'config-changed', cfg });
    const before = this.#cordoned;
    this.#cordoned = cordonedInstances(cfg);
    for (const instance of difference(this.#cordoned, before)) {
      this.#decide({ type: 'operator-drain', instance, on: true });
    }
    for (const instance of difference(before, this.#cordoned)) {
      this.#decide({ type: 'operator-drain', instance, on: false });
    }
  }

  /** Starts an asynchronous read of the rows. The role may be lost while it runs. */
  #onOwned(holding: Holding): void {
    this.#roleGuard.handle({ type: 'owned', holding });
    if (holding.role.startsWith(POOL_ROLE_PREFIX)) {
      void this.#loadRows(holding);
    }
  }

  async #loadRows(holding: Holding): Promise<void> {
    while (!this.signal.aborted) {
      const rows = await this.#rows.readAll(this.signal);
      if (rows.isOk()) {
        this.post({ type: 'gained', holding, rows: rows.value });
        return;
      }
      this.log.warn('cannot read the fleet rows', { error: rows.error.kind });
      await sleep(READ_RETRY_DELAY_MS, this.signal);
    }
  }

  #takeOver(holding: Holding, rows: readonly StoredRow[]): void {
    const fence = { role: poolOfRole(holding.role), epoch: holding.epoch };
    if (this.#holding(fence).isErr()) {
      // The role was lost, or the session lapsed and a later event tells whether the role is still
      // held.
      this.#retryTakeOver(holding);
      return;
    }
    this.#owned.add(fence.role);
    this.#decide({ type: 'ownership-gained', fence, rows });
    this.#syncOperatorDrains(fence.role, rows);
    this.log.info('fleet of pool owned', { pool: fence.role, epoch: fence.epoch });
  }

  /** Retries while the role is held, until the session and the configuration are valid again. */
  #retryTakeOver(holding: Holding): void {
    const held = this.#roleGuard.check(holding.role, Number.NEGATIVE_INFINITY);
    if (held.isOk() && held.value.epoch === holding.epoch) {
      void sleep(READ_RETRY_DELAY_MS, this.signal).then(() => this.#loadRows(holding));
    }
  }

  /** Aligns the operator drains in the budget row with the cordons in the configuration. */
  #syncOperatorDrains(pool: PoolName, rows: readonly StoredRow[]): void {
    const row = rows.find(({ kind, name }) => kind === 'budget' && name === pool);
    const recorded = new Set(row?.kind === 'budget' ? row.value.requested : []);
    const wanted = new Set(
      [...this.#cordoned].filter((name) => this.#cfg.get('instance', name)?.spec.pool === pool),
    );
    for (const instance of difference(wanted, recorded)) {
      this.#decide({ type: 'operator-drain', instance, on: true });
    }
    for (const instance of difference(recorded, wanted)) {
      this.#decide({ type: 'operator-drain', instance, on: false });
    }
  }

  #onLost(event: Extract<OwnershipEvent, { type: 'lost' }>): void {
    this.#roleGuard.handle(event);
    const pool = poolOfRole(event.role);
    if (this.#owned.delete(pool)) {
      this.#decide({ type: 'ownership-lost', role: pool });
      this.log.info('fleet of pool no longer owned', { pool });
    }
  }

  /**
   * Each entry that owns pools polls instances, so the load on an instance grows with their number.
   * Most polls are therefore left to the owner of the instance's pool. The others poll less often
   * but never stop, because a plan counts reboots from the last boot count seen.
   */
  #poll(): void {
    if (this.#owned.size === 0) {
      return;
    }
    this.#polls += 1;
    const all = this.#polls % FULL_POLL_EVERY === 1 || this.#ownsUnfinishedPlan();
    this.#links.poll((name) => all || this.#isPolledEachTime(name));
  }

  #isPolledEachTime(name: InstanceName): boolean {
    const pool = this.#cfg.get('instance', name)?.spec.pool ?? '';
    return this.#owned.has(pool) || this.#cfg.get('pool', pool)?.spec.spare === true;
  }

  /** Whether a plan that is owned here has instances left. They may belong to any pool. */
  #ownsUnfinishedPlan(): boolean {
    return this.#cfg.list('plan').some(({ name }) => {
      const row = this.#decider.planRow(name);
      return row !== undefined && this.#owned.has(row.role) && row.remaining.length > 0;
    });
  }

  /** Skips the tick without a valid session, since no decision could be carried out. */
  #tick(): void {
    const now = this.#clock.now();
    const valid = [...this.#owned].some((pool) =>
      this.#roleGuard.check(poolRole(pool), now).isOk(),
    );
    if (valid && now < this.#configUntil) {
      this.#decide({ type: 'tick', wallMs: this.#clock.wall() });
    }
  }

  #decide(event: FleetEvent): void {
    for (const decision of this.#decider.handle(event, this.#clock.now())) {
      this.#execute(decision);
    }
  }

  #execute(decision: FleetDecision): void {
    switch (decision.type) {
      case 'change-budget':
      case 'record-progress':
      case 'move-instances':
        void this.#commit(decision.txn);
        break;
      case 'cordon':
      case 'drain':
      case 'reboot':
        this.#links.send(decision);
        break;
      case 'wait':
        this.log.debug('fleet waits', { ...decision.wait.subject, reason: decision.wait.reason });
        break;
    }
  }

  async #commit(txn: FleetTransaction): Promise<void> {
    const { id, fence } = txn;
    const holding = this.#holding(fence);
    const done = holding.isErr()
      ? holding
      : await this.#rows.commit(txn, fencingCondition(holding.value), this.signal);
    if (done.isOk() && done.value !== undefined) {
      this.post({ type: 'transaction-committed', id, rows: done.value });
      return;
    }
    if (done.isErr() && done.error.kind === 'outcome-unknown') {
      this.post({ type: 'transaction-unknown', id });
      await this.#resolveUnknownOutcome(txn);
      return;
    }
    await this.#reportConflict(txn);
  }

  /**
   * Repeats a transaction of unknown outcome until the outcome is known. Its conditions let it take
   * effect only once. If they fail, the rows show whether an earlier attempt took effect.
   */
  async #resolveUnknownOutcome(txn: FleetTransaction): Promise<void> {
    do {
      await sleep(READ_RETRY_DELAY_MS, this.signal);
      if (this.signal.aborted) {
        return;
      }
    } while (this.#isPaused(txn.fence));
    await this.#commit(txn);
  }

  async #reportConflict(txn: FleetTransaction): Promise<void> {
    while (!this.signal.aborted) {
      const rows = await this.#rows.readFor(txn, this.signal);
      if (rows.isOk()) {
        this.post({ type: 'transaction-conflicted', id: txn.id, rows: rows.value });
        return;
      }
      await sleep(READ_RETRY_DELAY_MS, this.signal);
    }
  }

  async #readRows(): Promise<void> {
    if (this.#reading || this.#owned.size === 0) {
      return;
    }
    this.#reading = true;
    const rows = await this.#rows.readAll(this.signal);
    this.#reading = false;
    if (rows.isOk()) {
      this.post({ type: 'rows-read', rows: rows.value });
    }
  }

  /** The holding that a fence is valid under now. Errors: `not-owner`, `session-lapsed`. */
  #holding({ role, epoch }: OwnerFence): Result<Holding, AppError> {
    const now = this.#clock.now();
    if (now >= this.#configUntil) {
      return fail('session-lapsed', 'the configuration is not fresh');
    }
    return this.#roleGuard
      .check(poolRole(role), now)
      .andThen((holding) => (holding.epoch === epoch ? Ok(holding) : fail('not-owner', role)));
  }

  /** Whether the role is held but can't be used now. */
  #isPaused(fence: OwnerFence): boolean {
    const holding = this.#holding(fence);
    return holding.isErr() && holding.error.kind === 'session-lapsed';
  }

  #owns(kind: WaitSubject['kind'], name: string): boolean {
    switch (kind) {
      case 'plan':
        return this.#owned.has(this.#decider.planRow(name)?.role ?? '');
      case 'instance':
        return this.#owned.has(this.#cfg.get('instance', name)?.spec.pool ?? '');
      case 'pool':
        return this.#owned.has(name);
    }
  }
}

function poolOfRole(role: string): PoolName {
  return role.slice(POOL_ROLE_PREFIX.length);
}

function difference(
  names: ReadonlySet<InstanceName>,
  others: ReadonlySet<InstanceName>,
): readonly InstanceName[] {
  return [...names].filter((name) => !others.has(name));
}

function cordonedInstances(cfg: Configuration): ReadonlySet<InstanceName> {
  const cordoned = cfg.list('instance').filter(({ spec }) => spec.cordoned);
  return new Set(cordoned.map(({ name }) => name));
}
