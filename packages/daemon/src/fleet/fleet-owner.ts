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
import { poolRole, ROLE_PREFIX } from '../tasks/index.js';
import { FleetLinks } from './fleet-links.js';
import { FleetRows, type FleetRowsOptions } from './fleet-rows.js';

const TICK_MS: Millis = 250;
/** Period of the reports that are asked of each instance. */
const POLL_MS: Millis = 1_000;
/** Instances that no decision here depends on now are left out of all polls but each fifth. */
const FAR_POLL_EVERY = 5;
/** Period at which the rows that other owners write are read. */
const ROWS_MS: Millis = 1_000;
/** Pause before a failed read of rows is tried again. */
const READ_RETRY_MS: Millis = 500;

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

/** Runs the fleet decisions of all pools that this entry owns. */
export class FleetOwner extends Actor<FleetOwnerMessage> {
  readonly #clock: Clock;
  readonly #rows: FleetRows;
  readonly #links: FleetLinks;
  readonly #guard = new RoleGuard();
  readonly #decider = new FleetDecider({ poolPlanner: new ProportionalBorrowing() });
  /** Pools whose rows were read under the epoch held. */
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
    every(POLL_MS, this.signal, () => this.post({ type: 'poll' }));
    every(ROWS_MS, this.signal, () => this.post({ type: 'read-rows' }));
  }

  /** What something waits for, if its pool is owned here. Errors: `not-found`. */
  why(kind: WaitSubject['kind'], name: string): Result<JsonValue, AppError> {
    const wait = this.#decider.why(kind, name);
    const row = kind === 'plan' ? this.#decider.planRow(name) : undefined;
    if (wait === undefined && !this.#leads(kind, name)) {
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
        this.#claim(message.holding);
        return;
      case 'lost':
        this.#lose(message);
        return;
      case 'gained':
        this.#gain(message.holding, message.rows);
        return;
      case 'freshness':
        this.#configUntil = message.configUntil;
        this.#guard.handle({ type: 'session', validUntil: message.ownerUntil });
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
    this.#cordoned = cordonedIn(cfg);
    for (const instance of without(this.#cordoned, before)) {
      this.#decide({ type: 'operator-drain', instance, on: true });
    }
    for (const instance of without(before, this.#cordoned)) {
      this.#decide({ type: 'operator-drain', instance, on: false });
    }
  }

  /** Reads the rows beside the mailbox. The role may be lost meanwhile. */
  #claim(holding: Holding): void {
    this.#guard.handle({ type: 'owned', holding });
    if (holding.role.startsWith(ROLE_PREFIX)) {
      void this.#readForGain(holding);
    }
  }

  async #readForGain(holding: Holding): Promise<void> {
    while (!this.signal.aborted) {
      const rows = await this.#rows.readAll(this.signal);
      if (rows.isOk()) {
        this.post({ type: 'gained', holding, rows: rows.value });
        return;
      }
      this.log.warn('cannot read the fleet rows', { error: rows.error.kind });
      await sleep(READ_RETRY_MS, this.signal);
    }
  }

  #gain(holding: Holding, rows: readonly StoredRow[]): void {
    const fence = { role: poolOf(holding.role), epoch: holding.epoch };
    if (this.#holding(fence).isErr()) {
      // Lost meanwhile, or the session lapsed: then a later event says whether it is held.
      this.#retryGain(holding);
      return;
    }
    this.#owned.add(fence.role);
    this.#decide({ type: 'ownership-gained', fence, rows });
    this.#requestDrains(fence.role, rows);
    this.log.info('fleet of pool owned', { pool: fence.role, epoch: fence.epoch });
  }

  /** A role that is still held is gained when the session and the configuration are valid again. */
  #retryGain(holding: Holding): void {
    const held = this.#guard.check(holding.role, Number.NEGATIVE_INFINITY);
    if (held.isOk() && held.value.epoch === holding.epoch) {
      void sleep(READ_RETRY_MS, this.signal).then(() => this.#readForGain(holding));
    }
  }

  /** Brings the operators' drains on record in line with the configuration. */
  #requestDrains(pool: PoolName, rows: readonly StoredRow[]): void {
    const row = rows.find(({ kind, name }) => kind === 'budget' && name === pool);
    const recorded = new Set(row?.kind === 'budget' ? row.value.requested : []);
    const wanted = new Set(
      [...this.#cordoned].filter((name) => this.#cfg.get('instance', name)?.spec.pool === pool),
    );
    for (const instance of without(wanted, recorded)) {
      this.#decide({ type: 'operator-drain', instance, on: true });
    }
    for (const instance of without(recorded, wanted)) {
      this.#decide({ type: 'operator-drain', instance, on: false });
    }
  }

  #lose(event: Extract<OwnershipEvent, { type: 'lost' }>): void {
    this.#guard.handle(event);
    const pool = poolOf(event.role);
    if (this.#owned.delete(pool)) {
      this.#decide({ type: 'ownership-lost', role: pool });
      this.log.info('fleet of pool no longer owned', { pool });
    }
  }

  /**
   * The polls of a node multiply with the number of entries that own pools, so most of them are left
   * to the owner of its pool. None stops, because a plan counts reboots from the boot last seen.
   */
  #poll(): void {
    if (this.#owned.size === 0) {
      return;
    }
    this.#polls += 1;
    const all = this.#polls % FAR_POLL_EVERY === 1 || this.#leadsPlan();
    this.#links.poll((name) => all || this.#isNear(name));
  }

  #isNear(name: InstanceName): boolean {
    const pool = this.#cfg.get('instance', name)?.spec.pool ?? '';
    return this.#owned.has(pool) || this.#cfg.get('pool', pool)?.spec.spare === true;
  }

  /** Whether a plan that is led here has instances left, which may be of any pool. */
  #leadsPlan(): boolean {
    return this.#cfg.list('plan').some(({ name }) => {
      const row = this.#decider.planRow(name);
      return row !== undefined && this.#owned.has(row.role) && row.remaining.length > 0;
    });
  }

  /** Without a valid session nothing could be done, so nothing is decided either. */
  #tick(): void {
    const now = this.#clock.now();
    const valid = [...this.#owned].some((pool) => this.#guard.check(poolRole(pool), now).isOk());
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
      await this.#settle(txn);
      return;
    }
    await this.#conflicted(txn);
  }

  /**
   * Commits again until the outcome is known. The conditions allow it to take effect only once, and
   * when they fail, the rows show whether the first attempt did.
   */
  async #settle(txn: FleetTransaction): Promise<void> {
    do {
      await sleep(READ_RETRY_MS, this.signal);
      if (this.signal.aborted) {
        return;
      }
    } while (this.#isPaused(txn.fence));
    await this.#commit(txn);
  }

  async #conflicted(txn: FleetTransaction): Promise<void> {
    while (!this.signal.aborted) {
      const rows = await this.#rows.readFor(txn, this.signal);
      if (rows.isOk()) {
        this.post({ type: 'transaction-conflicted', id: txn.id, rows: rows.value });
        return;
      }
      await sleep(READ_RETRY_MS, this.signal);
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

  /** The holding under which a fence may act now. Errors: `not-owner`, `session-lapsed`. */
  #holding({ role, epoch }: OwnerFence): Result<Holding, AppError> {
    const now = this.#clock.now();
    if (now >= this.#configUntil) {
      return fail('session-lapsed', 'the configuration is not fresh');
    }
    return this.#guard
      .check(poolRole(role), now)
      .andThen((holding) => (holding.epoch === epoch ? Ok(holding) : fail('not-owner', role)));
  }

  /** Whether the role is still held, but may not be used now. */
  #isPaused(fence: OwnerFence): boolean {
    const holding = this.#holding(fence);
    return holding.isErr() && holding.error.kind === 'session-lapsed';
  }

  #leads(kind: WaitSubject['kind'], name: string): boolean {
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

function poolOf(role: string): PoolName {
  return role.slice(ROLE_PREFIX.length);
}

function without(
  names: ReadonlySet<InstanceName>,
  others: ReadonlySet<InstanceName>,
): readonly InstanceName[] {
  return [...names].filter((name) => !others.has(name));
}

function cordonedIn(cfg: Configuration): ReadonlySet<InstanceName> {
  const cordoned = cfg.list('instance').filter(({ spec }) => spec.cordoned);
  return new Set(cordoned.map(({ name }) => name));
}
