import type { Holding, JsonValue, OwnershipEvent } from '@turmerichoist/coordination';
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
  type InstanceName,
  type Millis,
  type PoolName,
  type Result,
  type StoredRow,
  type WaitSubject,
} from '@turmerichoist/core';
import { Actor, every, sleep, type ActorContext } from '@turmerichoist/runtime';
import { POOL_ROLE_PREFIX } from '../tasks/index.js';
import { FleetGuard } from './fleet-guard.js';
import { FleetLinks } from './fleet-links.js';
import type { FleetOwnerMessage } from './fleet-messages.js';
import { FleetRows, type FleetRowsOptions } from './fleet-rows.js';
import { FleetTransactions } from './fleet-transactions.js';
import { OperatorDrains } from './operator-drains.js';

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

export interface FleetOwnerOptions extends FleetRowsOptions {
  readonly clock: Clock;
}

/** Runs the fleet decider for all pools that this entry owns. */
export class FleetOwner extends Actor<FleetOwnerMessage> {
  readonly #clock: Clock;
  readonly #rows: FleetRows;
  readonly #links: FleetLinks;
  readonly #guard: FleetGuard;
  readonly #transactions: FleetTransactions;
  readonly #operatorDrains = new OperatorDrains();
  readonly #decider = new FleetDecider({ poolPlanner: new ProportionalBorrowing() });
  /** Pools whose rows were read under the current epoch. */
  readonly #owned = new Set<PoolName>();
  #cfg = Configuration.empty;
  #reading = false;
  #polls = 0;

  constructor(context: ActorContext, options: FleetOwnerOptions) {
    super('fleet', context);
    this.#clock = options.clock;
    this.#rows = new FleetRows(options);
    this.#guard = new FleetGuard(options.clock);
    this.#transactions = new FleetTransactions(this, this.#rows, this.#guard, this.signal);
    this.#links = new FleetLinks(this, (fence) => this.#guard.holding(fence).isOk(), this.signal);
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
        this.#onOwned(message);
        return;
      case 'lost':
        this.#onLost(message);
        return;
      case 'gained':
        this.#takeOver(message.holding, message.rows);
        return;
      case 'freshness':
        this.#guard.onFreshness(message.configUntil, message.ownerUntil);
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
    for (const drain of this.#operatorDrains.configure(cfg)) {
      this.#decide(drain);
    }
  }

  /** Starts an asynchronous read of the rows. The role may be lost while it runs. */
  #onOwned(event: Extract<OwnershipEvent, { type: 'owned' }>): void {
    this.#guard.onOwnership(event);
    const { holding } = event;
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
    if (this.#guard.holding(fence).isErr()) {
      // The role was lost, or the session lapsed and a later event tells whether the role is still
      // held.
      this.#retryTakeOver(holding);
      return;
    }
    this.#owned.add(fence.role);
    this.#decide({ type: 'ownership-gained', fence, rows });
    for (const drain of this.#operatorDrains.sync(fence.role, rows, this.#cfg)) {
      this.#decide(drain);
    }
    this.log.info('fleet of pool owned', { pool: fence.role, epoch: fence.epoch });
  }

  /** Retries while the role is held, until the session and the configuration are valid again. */
  #retryTakeOver(holding: Holding): void {
    if (this.#guard.isHeld(holding)) {
      void sleep(READ_RETRY_DELAY_MS, this.signal).then(() => this.#loadRows(holding));
    }
  }

  #onLost(event: Extract<OwnershipEvent, { type: 'lost' }>): void {
    this.#guard.onOwnership(event);
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
    if (this.#guard.canActOnAny(this.#owned)) {
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
        void this.#transactions.commit(decision.txn);
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
