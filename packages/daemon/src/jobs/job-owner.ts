import type { Clock, JobDecider, JobEvent, MemberId, Millis } from '@turmerichoist/core';
import {
  CELL_OWNER_KEY,
  FEED_WAIT_MS,
  watchTable,
  type ChangeFeed,
  type LeaderTerm,
  type RowChange,
  type TableStore,
  type TableWatchOptions,
} from '@turmerichoist/coordination';
import {
  Actor,
  every,
  type ActorContext,
  type LogFields,
  type Metrics,
} from '@turmerichoist/runtime';
import { decodeAcceptedJob } from './accepted-jobs.js';
import type { Bulletin } from './bulletin.js';
import { watchCancellations } from './cancellations.js';
import { CountInputs, type CountInput } from './count-inputs.js';
import { DecisionDispatcher } from './decision-dispatcher.js';
import { leaseBoundMs } from './executor-link.js';
import { ExecutorLinks } from './executor-links.js';
import { ExecutorRegistry } from './executor-registry.js';
import { GatedFeed } from './gated-feed.js';
import { InstanceControl } from './instance-control.js';
import { createOwnerDecider } from './owner-decider.js';
import { OwnerLoad } from './owner-load.js';
import type { ExecutorConnector, InstanceFleet, OperatorView, RowCodec } from './ports.js';
import type { PendingAcknowledgement } from './progress-queue.js';
import { ProgressWriter } from './progress-writer.js';
import { ReportGate } from './report-gate.js';
import { RoundPacer } from './round-pacer.js';
import { StoredProgress } from './stored-progress.js';
import { TakeoverTimes } from './takeover-times.js';
import { WaveStatusWriter } from './wave-status-writer.js';

const TICK_MS: Millis = 100;
/** Term of the leases under which executors run tasks, extended with each poll. */
export const RUN_LEASE_MS: Millis = 4_500;
/** Short, as the published counts of waiting jobs are as old as the latest read of the jobs. */
const JOBS_WAIT_MS: Millis = 500;
/** Batches jobs that arrive close together, at up to a hundred a second, into fewer reads and events. */
const JOBS_PAUSE_MS: Millis = 20;
const EXECUTORS_PAUSE_MS: Millis = 200;

export interface JobOwnerOptions {
  /** Name of this member. */
  readonly member: MemberId;
  readonly term: LeaderTerm;
  /** Whether this member holds the leader lease now; checked directly before each action. */
  readonly mayAct: () => boolean;
  readonly cell: TableStore & ChangeFeed;
  /** Accepted jobs and cancellations. */
  readonly intake: ChangeFeed;
  /** Store for progress, which resolves unknown outcomes and commits one transaction at a time. */
  readonly progress: TableStore;
  /** Store for the progress of waves, with a transaction log of its own. */
  readonly waves: TableStore;
  /** Store for announced orders, with a transaction log of its own. */
  readonly orders: TableStore;
  /** Tables that the platform and its operators share. */
  readonly shared: TableStore & ChangeFeed;
  readonly connector: ExecutorConnector;
  readonly fleet: InstanceFleet;
  readonly rowCodec: RowCodec;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly newId: () => string;
  /** Longest lease that executors accept. */
  readonly maxLeaseMs: Millis;
  /** Time for which orders of two holders to one instance conflict. */
  readonly orderHandoverMs: Millis;
  readonly onSuperseded: () => void;
  /** Last bulletin of the previous leader. */
  readonly inheritedBulletin: Bulletin;
}

/** Leads one cell for one term: feeds events to the decider and executes its decisions. */
export class JobOwner extends Actor<JobEvent | CountInput> {
  readonly #options: JobOwnerOptions;
  readonly #decider: JobDecider;
  readonly #writer: ProgressWriter;
  readonly #links: ExecutorLinks;
  readonly #waveStatus: WaveStatusWriter;
  readonly #instances: InstanceControl;
  readonly #load: OwnerLoad;
  readonly #registry: ExecutorRegistry;
  readonly #rounds: RoundPacer;
  readonly #stored: StoredProgress;
  readonly #reportGate = new ReportGate();
  readonly #dispatcher: DecisionDispatcher;
  readonly #takeoverTimes: TakeoverTimes;
  readonly #countInputs = new CountInputs();
  /** Whether this member held the leader lease when the latest event was handled. */
  #leading = true;
  #jobsLoaded = false;
  #view: OperatorView | undefined;
  #onConfigured: () => void = () => undefined;
  /** Resolves when a configuration is known. Without one, caps and pools would not be kept. */
  readonly #configured = new Promise<void>((resolve) => {
    this.#onConfigured = resolve;
  });

  constructor(options: JobOwnerOptions, context: ActorContext) {
    super('owner', context);
    this.#options = options;
    const { rowCodec: codec, metrics } = options;
    this.#registry = new ExecutorRegistry({ codec, log: this.log, metrics });
    const { clock, term, mayAct, member, orders, inheritedBulletin } = options;
    this.#load = new OwnerLoad(clock, metrics, this.signal);
    this.#takeoverTimes = new TakeoverTimes(clock);
    this.#stored = new StoredProgress(this.log);
    const queue = (): boolean => this.post({ type: 'schedule' });
    this.#rounds = new RoundPacer({ clock, signal: this.signal, queue });
    this.#instances = new InstanceControl(
      { ...options, holder: member, store: orders, owner: this },
      { ...context, log: this.log },
    );
    const { ordersAllowedAt } = this.#instances;
    const { connector, maxLeaseMs } = options;
    const leaseMs = Math.min(RUN_LEASE_MS, maxLeaseMs);
    const leases = { termMs: leaseBoundMs(leaseMs), longestMs: leaseBoundMs(maxLeaseMs) };
    this.#decider = createOwnerDecider({ term, clock, inheritedBulletin, ordersAllowedAt, leases });
    const fencingToken = term.epoch;
    this.#links = new ExecutorLinks(
      { connector, fencingToken, clock, leaseMs, maxLeaseMs, mayAct, metrics, owner: this },
      context,
    );
    const { shared, rowCodec, newId } = options;
    this.#waveStatus = new WaveStatusWriter(
      { cell: options.waves, shared, rowCodec, newId, epoch: term.epoch },
      context,
    );
    this.#writer = new ProgressWriter(
      {
        store: options.progress,
        ownerKey: CELL_OWNER_KEY,
        epoch: term.epoch,
        clock,
        newId: options.newId,
        metrics: options.metrics,
        onAcknowledged: (acknowledgement) => {
          this.#onAcknowledged(acknowledgement);
        },
        onSuperseded: options.onSuperseded,
      },
      context,
    );
    this.#dispatcher = new DecisionDispatcher({
      links: this.#links,
      writer: this.#writer,
      waveStatus: this.#waveStatus,
      instances: this.#instances,
      log: this.log,
      metrics,
      onSuperseded: options.onSuperseded,
    });
    // What these gauges count ends with the term.
    const onEnd = (): void => {
      metrics.gauge('reservations.active', 0);
      metrics.gauge('maintenance.deferred', 0);
    };
    this.signal.addEventListener('abort', onEnd, { once: true });
  }

  get bulletin(): Bulletin {
    const now = this.#options.clock.now();
    const waiting = this.#countInputs.publish(this.#decider.waiting, now);
    const lanes = waiting && this.#decider.workAhead;
    return {
      ...(waiting && { waiting }),
      ...(lanes && { workAhead: { lanes, ageMs: waiting.ageMs } }),
      executors: this.#decider.executorIds,
      poolSizes: Object.fromEntries(this.#decider.poolSizes ?? []),
      mayOrder: this.#instances.mayOrder,
      announcesOrders: this.#instances.announcesOrders,
    };
  }

  /** Takes the figures of this owner's load since the last call. */
  takeLoad(): LogFields {
    return {
      ...this.#load.take(this.#decider.poolLoad),
      progress: this.#writer.backlog,
      awaitedExecutors: this.#decider.awaitedExecutors,
    };
  }

  /**
   * Polls the executors, so that leases are extended at once, and loads progress, waves,
   * cancellations and jobs. Decisions begin when all of them are loaded and a configuration is known.
   */
  async start(view: OperatorView): Promise<void> {
    const { intake, term } = this.#options;
    const startedAt = this.#options.clock.now();
    this.#watchExecutors();
    void this.#instances.start();
    this.#instances.pollIfDue(this.#decider);
    const loaded = this.#loadStored();
    this.setView(view);
    const onJobs = this.#onJobs.bind(this);
    this.#watchTable(new GatedFeed(intake, loaded), 'jobs', JOBS_PAUSE_MS, onJobs, {
      waitMs: JOBS_WAIT_MS,
      onRead: (sentAt) => this.post({ type: 'jobs-applied', sentAt }),
    });
    await loaded;
    this.log.info('owner started', {
      epoch: term.epoch,
      generation: term.generation,
      loadMs: Math.round(this.#options.clock.now() - startedAt),
    });
  }

  /** Loads all that must be known before the jobs, as their tasks start when they are loaded. */
  async #loadStored(): Promise<void> {
    const { cell, intake, clock } = this.#options;
    const { log, signal } = this;
    const cancellations = watchCancellations({ intake, clock, log, owner: this, signal });
    await Promise.all([this.#stored.load(cell, signal), cancellations, this.#configured]);
    if (this.#view !== undefined) {
      this.#postView(this.#view);
    }
  }

  /** Applies the operators' requests, or defers them until the stored rows are loaded. */
  setView(view: OperatorView): void {
    this.#view = view;
    if (view.config !== undefined) {
      this.#onConfigured();
    }
    if (this.#stored.loaded) {
      this.#postView(view);
    }
  }

  #postView({ config, zonesOut, waves }: OperatorView): void {
    if (config !== undefined) {
      this.post({ type: 'config', config: config.scheduling });
      this.post({ type: 'config-applied', revision: config.revision });
    }
    this.post({ type: 'zones-out', zones: zonesOut });
    this.post({ type: 'waves', waves: waves.map((wave) => this.#stored.withStatus(wave)) });
  }

  protected receive(event: JobEvent | CountInput): void {
    if (event.type === 'jobs-applied' || event.type === 'config-applied') {
      this.#countInputs.apply(event);
      return;
    }
    if (event.type === 'schedule') {
      this.#rounds.onRound();
    }
    this.#load.onEvent(event);
    this.#takeoverTimes.onEvent(event);
    this.#checkLeadership();
    this.#reportGate.admit(event).forEach((admitted) => {
      this.#decide(admitted);
    });
  }

  #decide(event: JobEvent): void {
    const decisions = this.#decider.handle(event, this.#options.clock.now());
    if (event.type === 'executors' || event.type === 'tick') {
      this.#links.sync(this.#decider.executors);
    }
    this.#logTakeover(decisions.length > 0);
    this.#dispatcher.dispatch(decisions);
    if (this.#decider.needsRound(this.#options.clock.now())) {
      this.#rounds.request();
    }
  }

  #logTakeover(decided: boolean): void {
    const { epoch } = this.#options.term;
    const times = decided ? this.#takeoverTimes.onDecided() : undefined;
    if (times !== undefined) {
      this.log.info('first decision', { epoch, ...times });
    }
    const recovery = this.#takeoverTimes.onRecovery(this.#decider.recoverySummary);
    if (recovery !== undefined) {
      this.log.info('recovery ended', { epoch, ...recovery });
    }
  }

  /** Tells the decider when the leader lease has lapsed, and when it is valid again. */
  #checkLeadership(): void {
    const held = this.#options.mayAct();
    if (held === this.#leading) {
      return;
    }
    this.#leading = held;
    this.log.warn(held ? 'lease valid again' : 'lease lapsed', { epoch: this.#options.term.epoch });
    this.#decide({ type: 'leadership', held });
    if (held) {
      this.#links.broadcast({ type: 'resume' });
    }
  }

  #watchTable(
    feed: ChangeFeed,
    table: string,
    pauseMs: Millis,
    onChanges: (rows: readonly RowChange[], snapshot: boolean) => void,
    special: Pick<Partial<TableWatchOptions>, 'waitMs' | 'onRead'> = {},
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
      ...special,
    });
  }

  #onJobs(rows: readonly RowChange[], snapshot: boolean): void {
    this.#load.onJobsRead();
    const jobs = rows.flatMap((row) => {
      const accepted = decodeAcceptedJob(row, this.log);
      if (accepted === undefined) {
        return [];
      }
      const progress = this.#stored.ofJob(accepted.id);
      return [{ accepted, ...(progress === undefined ? {} : { progress }) }];
    });
    const first = snapshot && !this.#jobsLoaded;
    this.#jobsLoaded = true;
    const adopted = first && this.#options.term.generation > 0;
    if (!this.post({ type: 'jobs', jobs, adopted })) {
      this.#countInputs.markIncomplete();
      this.log.error('jobs not taken in, too many events are waiting', { jobs: jobs.length });
    }
    if (first) {
      this.#stored.forgetJobs();
      this.#startTicks();
    }
  }

  #startTicks(): void {
    every(TICK_MS, this.signal, () => {
      this.#load.onTickQueued();
      this.post({ type: 'tick' });
      if (this.#leading) {
        this.#instances.removeExpired();
        this.#instances.pollIfDue(this.#decider);
      }
    });
  }

  #watchExecutors(): void {
    const { shared, rowCodec } = this.#options;
    const onChanges = (changes: readonly RowChange[], snapshot: boolean): void => {
      const executors = this.#registry.apply(changes, snapshot);
      if (executors !== undefined) {
        this.post({ type: 'executors', executors });
      }
    };
    this.#watchTable(shared, rowCodec.executorTable, EXECUTORS_PAUSE_MS, onChanges);
  }

  #onAcknowledged({ executor, startedWallMs, through }: PendingAcknowledgement): void {
    this.#links.post(executor, { type: 'acknowledged', startedWallMs, through });
  }
}
