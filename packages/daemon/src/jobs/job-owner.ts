import {
  JobDecider,
  type AcceptedJob,
  type Clock,
  type ExecutorInfo,
  type JobDecision,
  type JobEvent,
  type JobProgress,
  type MaintenanceWave,
  type Millis,
} from '@turmerichoist/core';
import {
  OWNER_KEY,
  watchTable,
  type ChangeFeed,
  type JsonValue,
  type LeaderTerm,
  type RowChange,
  type TableStore,
} from '@turmerichoist/coordination';
import { Actor, every, type ActorContext, type Metrics } from '@turmerichoist/runtime';
import type { Bulletin } from './bulletin.js';
import { ExecutorLinks } from './executor-links.js';
import type { ExecutorConnector, InstanceFleet, OperatorView, RowDecoder } from './ports.js';
import { ProgressWriter, type PendingAcknowledgement } from './progress-writer.js';

const TICK_MS: Millis = 100;
/** Term of the leases of everything that runs, extended with each look at an executor. */
export const RUN_LEASE_MS: Millis = 4_500;
/** Longest time for which an earlier owner's starts may still run unseen. */
const UNACCOUNTED_MS: Millis = 5_200;
/** Covers orders to instances that were on their way when an earlier process of this member ended. */
const ORDER_SETTLE_MS: Millis = 1_500;
/** Attempt numbers of one owner; the next owner starts with the next block. */
const ATTEMPTS_PER_TERM = 1_000;
const FEED_WAIT_MS: Millis = 10_000;
const JOBS_PAUSE_MS: Millis = 4;
const EXECUTORS_PAUSE_MS: Millis = 200;
/** Period of the list of instances while maintenance is under way, and otherwise. */
const INSTANCES_POLL_MS: Millis = 500;
const IDLE_INSTANCES_POLL_MS: Millis = 1_000;
/** Ended jobs are remembered so that late reports find them. */
const REMEMBER_MS: Millis = 60_000;

export interface JobOwnerOptions {
  readonly term: LeaderTerm;
  /** Whether this member still leads; checked right before each act. */
  readonly mayAct: () => boolean;
  readonly cell: TableStore & ChangeFeed;
  /** Store of progress, which settles unknown outcomes one transaction after the other. */
  readonly progress: TableStore;
  /** Tables that the platform and its operators share. */
  readonly shared: TableStore & ChangeFeed;
  readonly connector: ExecutorConnector;
  readonly fleet: InstanceFleet;
  readonly decoder: RowDecoder;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly newId: () => string;
  /** Longest lease that executors accept. */
  readonly maxLeaseMs: Millis;
  /** Time during which two holders may not both order instances about. */
  readonly orderHandoverMs: Millis;
  readonly onSuperseded: () => void;
  /** What the former leader published last. */
  readonly inherited: Bulletin;
}

/** Leads one cell for one term: feeds the decider and carries out what it decides. */
export class JobOwner extends Actor<JobEvent> {
  readonly #options: JobOwnerOptions;
  readonly #decider: JobDecider;
  readonly #writer: ProgressWriter;
  readonly #links: ExecutorLinks;
  /** Own clock from which instances may be ordered about. */
  readonly #ordersAllowedAt: Millis;
  readonly #executors = new Map<string, ExecutorInfo>();
  readonly #progress = new Map<string, JobProgress>();
  readonly #waves = new Map<
    number,
    { readonly begun: readonly string[]; readonly completed: boolean }
  >();
  #polledAt: Millis = -Infinity;
  #polling = false;
  #loaded = false;
  /** Progress and waves have been read from the store. */
  #restored = false;
  #view: OperatorView | undefined;

  constructor(options: JobOwnerOptions, context: ActorContext) {
    super('owner', context);
    this.#options = options;
    const { clock, term, orderHandoverMs } = options;
    const now = clock.now();
    const first = term.generation === 0;
    // Orders of an earlier process of this member come from the same holder.
    const sameHolder = term.succeedsSelf && options.inherited.mayOrder;
    this.#ordersAllowedAt = first ? now : now + (sameHolder ? ORDER_SETTLE_MS : orderHandoverMs);
    const sizes = Object.entries(options.inherited.poolSizes);
    this.#decider = new JobDecider({
      clock,
      firstAttempt: term.generation * ATTEMPTS_PER_TERM + 1,
      recoveryEndsAt: first ? now : now + UNACCOUNTED_MS,
      inheritedExecutors: options.inherited.executors,
      ...(sizes.length === 0 ? {} : { poolSizes: new Map(sizes) }),
      ordersAllowedAt: this.#ordersAllowedAt,
      endedJobRetentionMs: REMEMBER_MS,
    });
    const { connector, mayAct, maxLeaseMs } = options;
    const leaseMs = Math.min(RUN_LEASE_MS, maxLeaseMs);
    this.#links = new ExecutorLinks(
      { connector, fencingToken: term.epoch, clock, leaseMs, mayAct, owner: this },
      context,
    );
    this.#writer = new ProgressWriter(
      {
        store: options.progress,
        ownerKey: OWNER_KEY,
        epoch: term.epoch,
        newId: options.newId,
        metrics: options.metrics,
        onAcknowledged: (one) => {
          this.#acknowledged(one);
        },
        onSuperseded: options.onSuperseded,
      },
      context,
    );
  }

  get bulletin(): Bulletin {
    return {
      waiting: Object.fromEntries(this.#decider.waiting),
      executors: this.#decider.executorIds,
      poolSizes: Object.fromEntries(this.#decider.poolSizes ?? []),
      mayOrder: this.#options.clock.now() >= this.#ordersAllowedAt,
    };
  }

  /** Loads what the store has and begins to decide. */
  async start(view: OperatorView): Promise<void> {
    const { cell, term } = this.#options;
    const startedAt = this.#options.clock.now();
    for (const table of ['progress', 'waves']) {
      const rows = await this.#load(cell, table);
      rows.forEach(({ key, value }) => {
        this.#restore(key, value);
      });
    }
    if (this.signal.aborted) {
      return;
    }
    this.#restored = true;
    this.setView(this.#view ?? view);
    this.#watch(cell, 'jobs', JOBS_PAUSE_MS, (rows, snapshot) => {
      this.#onJobs(rows, snapshot);
    });
    every(TICK_MS, this.signal, () => {
      this.post({ type: 'tick' });
      this.#pollInstances();
    });
    this.log.info('owner started', {
      epoch: term.epoch,
      generation: term.generation,
      loadMs: Math.round(this.#options.clock.now() - startedAt),
    });
  }

  /** A view that comes while the rows are being loaded is used once they are. */
  setView(view: OperatorView): void {
    this.#view = view;
    if (!this.#restored) {
      return;
    }
    const { config, zonesOut, waves } = view;
    if (config !== undefined) {
      this.post({ type: 'config', config: config.scheduling });
    }
    this.post({ type: 'zones-out', zones: zonesOut });
    this.post({ type: 'waves', waves: waves.map((wave) => this.#wave(wave)) });
  }

  protected receive(event: JobEvent): void {
    const decisions = this.#decider.handle(event, this.#options.clock.now());
    if (event.type === 'executors' || event.type === 'tick') {
      this.#links.sync(this.#decider.executors);
    }
    decisions.forEach((decision) => {
      this.#carryOut(decision);
    });
  }

  #wave(wave: OperatorView['waves'][number]): MaintenanceWave {
    const stored = this.#waves.get(wave.number);
    return {
      ...wave,
      begun: stored?.begun ?? [],
      completed: stored?.completed ?? false,
    };
  }

  async #load(store: ChangeFeed, table: string): Promise<readonly RowChange[]> {
    while (!this.signal.aborted) {
      const read = await store.snapshot(table, this.signal);
      if (read.isOk()) {
        return read.value.rows;
      }
      this.log.warn('table not loaded yet', { table, error: read.error.kind });
    }
    return [];
  }

  #restore(key: string, value: JsonValue | undefined): void {
    const [table, name = ''] = key.split('/');
    if (table === 'progress') {
      this.#progress.set(name, value as unknown as JobProgress);
    } else {
      const wave = value as { begun: readonly string[]; completed: boolean };
      this.#waves.set(Number(name), wave);
    }
  }

  #watch(
    feed: ChangeFeed,
    table: string,
    pauseMs: Millis,
    onChanges: (rows: readonly RowChange[], snapshot: boolean) => void,
  ): void {
    const { clock } = this.#options;
    void watchTable({
      feed,
      table,
      clock,
      log: this.log,
      waitMs: FEED_WAIT_MS,
      pauseMs,
      onChanges,
      signal: this.signal,
    });
  }

  #onJobs(rows: readonly RowChange[], snapshot: boolean): void {
    const jobs = rows.flatMap(({ value }) => {
      const accepted = value as unknown as AcceptedJob | undefined;
      if (accepted === undefined) {
        return [];
      }
      const progress = this.#progress.get(accepted.id);
      return [{ accepted, ...(progress === undefined ? {} : { progress }) }];
    });
    const first = snapshot && !this.#loaded;
    this.#loaded = true;
    const adopted = first && this.#options.term.generation > 0;
    this.post({ type: 'jobs', jobs, adopted });
    if (first) {
      const { cell, shared, decoder } = this.#options;
      this.#watch(cell, 'cancels', JOBS_PAUSE_MS, (changes) => {
        const ids = changes.map(({ key }) => key.slice(key.indexOf('/') + 1));
        this.post({ type: 'cancelled', ids });
      });
      this.#watch(shared, decoder.executorTable, EXECUTORS_PAUSE_MS, (changes, whole) => {
        this.#onExecutors(changes, whole);
      });
    }
  }

  #onExecutors(rows: readonly RowChange[], snapshot: boolean): void {
    const before = JSON.stringify([...this.#executors]);
    if (snapshot) {
      this.#executors.clear();
    }
    for (const row of rows) {
      const info = row.value === undefined ? undefined : this.#options.decoder.executor(row);
      if (info !== undefined) {
        this.#executors.set(row.key, info);
      } else {
        this.#executors.delete(row.key);
      }
    }
    if (JSON.stringify([...this.#executors]) !== before) {
      this.post({ type: 'executors', executors: [...this.#executors.values()] });
    }
  }

  #carryOut(decision: JobDecision): void {
    const { metrics } = this.#options;
    metrics.count(`owner.${decision.type}`);
    switch (decision.type) {
      case 'start': {
        const { executor, task, attempt, payload, checkpoint } = decision;
        const order = { task, attempt, payload, checkpoint };
        this.#links.post(executor, { type: 'start', order });
        return;
      }
      case 'stop': {
        const { executor, task, attempt, why } = decision;
        this.log.info('stop ordered', { executor, job: task.jobId, task, attempt, why });
        this.#links.post(executor, { type: 'stop', task, attempt });
        return;
      }
      case 'pace': {
        const { executor, task, attempt, percent } = decision;
        this.log.info('pace ordered', { executor, job: task.jobId, task, attempt, percent });
        this.#links.post(executor, { type: 'pace', task, attempt, percent });
        return;
      }
      case 'persist': {
        const { job, progress } = decision;
        if (progress.endedWallMs > 0) {
          this.log.info('job ended', { job, state: progress.state });
        }
        this.#writer.post({ type: 'persist', job, progress });
        return;
      }
      case 'acknowledge': {
        const { executor, startedWallMs, through } = decision;
        const acknowledgement = { executor, startedWallMs, through };
        this.#writer.post({ type: 'acknowledge', acknowledgement });
        return;
      }
      case 'order':
        void this.#order(decision);
        return;
      case 'wave-status':
        void this.#writeWave(decision);
        return;
      case 'superseded':
        this.#options.onSuperseded();
    }
  }

  #acknowledged({ executor, startedWallMs, through }: PendingAcknowledgement): void {
    this.#links.post(executor, { type: 'acknowledged', startedWallMs, through });
  }

  async #order({ order }: Extract<JobDecision, { type: 'order' }>): Promise<void> {
    const { fleet, term, mayAct } = this.#options;
    const outcome = mayAct() ? await fleet.order(order, term.epoch, this.signal) : 'busy';
    this.log.info('instance ordered', { ...order, outcome, epoch: term.epoch });
    this.post({ type: 'order-answer', order, outcome });
    this.#polledAt = -Infinity;
  }

  async #writeWave(status: Extract<JobDecision, { type: 'wave-status' }>): Promise<void> {
    const { progress, shared, decoder, newId, term } = this.#options;
    const { wave, state, begun } = status;
    const value = { begun, completed: state === 'completed' };
    const row = decoder.waveStatus(wave, state);
    const conditions = [{ key: OWNER_KEY, version: term.epoch }];
    const writes = [{ key: `waves/${wave}`, value }];
    const kept = await progress.commit({ txnId: newId(), conditions, writes }, this.signal);
    const shown = await shared.commit(
      { txnId: newId(), conditions: [], writes: [row] },
      this.signal,
    );
    this.log.info('wave status', {
      wave,
      state,
      begun: begun.length,
      kept: kept.isOk(),
      shown: shown.isOk(),
    });
  }

  #pollInstances(): void {
    const now = this.#options.clock.now();
    const period = this.#decider.maintaining ? INSTANCES_POLL_MS : IDLE_INSTANCES_POLL_MS;
    if (this.#polling || now - this.#polledAt < period) {
      return;
    }
    this.#polling = true;
    this.#polledAt = now;
    void this.#options.fleet.list(this.signal).then((listed) => {
      this.#polling = false;
      if (listed.isOk()) {
        this.post({ type: 'instances', instances: listed.value, requestedAt: now });
      }
      const waiting = this.#decider.waitingInstances;
      if (waiting.length > 0) {
        this.log.info('maintenance waits', { waiting });
      }
    });
  }
}
