import type { Clock, Decider, Millis, PoolName, ZoneName } from '../types/index.js';
import { ExecutorTable, type ExecutorState } from './executor-table.js';
import { JobTable } from './job-table.js';
import { PoolLender } from './lending.js';
import { MaintenancePlanner, type WaitingInstance } from './maintenance.js';
import type {
  InstanceOrder,
  InstanceOrderOutcome,
  JobDecision,
  JobEvent,
  PoolInstance,
} from './messages.js';
import type { ExecutorId, ExecutorInfo, ExecutorReport, JobId, SchedulingConfig } from './model.js';
import { LeastWorkFirst, type JobOrder } from './ordering.js';
import { Pacing } from './pacing.js';
import { RunBook } from './run-book.js';
import { RunTable } from './run-table.js';
import { Scheduler } from './scheduler.js';
import { StandstillGuard } from './standstill-guard.js';
import { TaskDurations } from './task-durations.js';

export interface JobDeciderOptions {
  readonly clock: Clock;
  /** Lowest attempt number of this owner. */
  readonly firstAttempt: number;
  /** Own clock until which executors that do not report may run what an earlier owner started. */
  readonly unaccountedUntil: Millis;
  /** Executors at which an earlier owner may have started tasks. */
  readonly inherited?: readonly ExecutorId[];
  /** Sizes of pools as the first owner saw them, before anything was lent. */
  readonly poolSizes?: ReadonlyMap<PoolName, number>;
  /** Own clock from which instances may be ordered about. */
  readonly ordersFrom: Millis;
  /** How long ended jobs are remembered. */
  readonly rememberMs: Millis;
  readonly order?: JobOrder;
}

/** Decides for one cell: what runs where, what is written, which instances are maintained. */
export class JobDecider implements Decider<JobEvent, JobDecision> {
  readonly #options: JobDeciderOptions;
  readonly #runs = new RunTable();
  readonly #durations = new TaskDurations();
  readonly #executors: ExecutorTable;
  readonly #jobs: JobTable;
  readonly #book: RunBook;
  readonly #scheduler: Scheduler;
  readonly #maintenance: MaintenancePlanner;
  readonly #pacing: Pacing;
  readonly #lender: PoolLender;
  #config: SchedulingConfig = { queues: new Map(), pools: new Map(), teams: new Map() };
  #zonesOut: ReadonlySet<ZoneName> = new Set();
  /** Executors whose instances were ordered down, by instance, until a list shows the effect. */
  readonly #ordered = new Map<
    string,
    { readonly executor: ExecutorId; readonly answeredAt: Millis }
  >();
  /** Start times of executors whose instances were ordered down. */
  readonly #retired = new Map<ExecutorId, Millis>();
  readonly #standstill = new StandstillGuard();
  /** Every start of earlier owners has been accounted for. */
  #adoptedReleased = false;
  /** Cancelled jobs, since a cancellation may be seen before its job. */
  readonly #cancelled = new Set<JobId>();
  /** Ends up to this number are to be acknowledged, for each executor that reported. */
  readonly #acknowledge = new Map<string, number>();

  constructor(options: JobDeciderOptions) {
    this.#options = options;
    this.#jobs = new JobTable(options);
    this.#executors = new ExecutorTable(this.#runs);
    const parts = {
      jobs: this.#jobs,
      runs: this.#runs,
      executors: this.#executors,
      durations: this.#durations,
    };
    this.#book = new RunBook(parts, () => options.clock.wall());
    this.#scheduler = new Scheduler({
      ...parts,
      order: options.order ?? new LeastWorkFirst(this.#durations),
    });
    this.#maintenance = new MaintenancePlanner({ ...parts, book: this.#book }, options.ordersFrom);
    this.#pacing = new Pacing(this.#runs);
    this.#lender = new PoolLender(parts, options.ordersFrom, options.poolSizes);
  }

  /** Jobs of each queue for which no task has started. */
  get waiting(): ReadonlyMap<string, number> {
    return this.#jobs.waitingByQueue();
  }

  /** Whether maintenance is under way, so that the list of instances should be fresh. */
  get maintaining(): boolean {
    return this.#maintenance.active;
  }

  /** Sizes of pools before anything was lent, for the next owner. */
  get poolSizes(): ReadonlyMap<PoolName, number> | undefined {
    return this.#lender.firstSizes;
  }

  /** Executors that may run something, for the next owner. */
  get executorIds(): readonly ExecutorId[] {
    const known = [...this.#executors.all()].map(({ info }) => info.id);
    const inherited = this.#adoptedReleased ? [] : (this.#options.inherited ?? []);
    return [...new Set([...known, ...inherited])];
  }

  /** Instances whose maintenance waits, with the reason. */
  get waitingInstances(): readonly WaitingInstance[] {
    return this.#maintenance.waiting;
  }

  /** Executors that may still run something and must be looked at. */
  get executors(): readonly ExecutorInfo[] {
    return [...this.#executors.all()].map(({ info }) => info);
  }

  handle(event: JobEvent, now: Millis): readonly JobDecision[] {
    const extra = this.#apply(event, now);
    const changes = this.#book.takeChanges();
    const starts = this.#scheduleAll(now);
    return [
      ...changes.decisions,
      ...extra,
      ...starts,
      ...this.#persists(changes.changed),
      ...this.#acknowledgements(),
    ];
  }

  #apply(event: JobEvent, now: Millis): readonly JobDecision[] {
    switch (event.type) {
      case 'config':
        this.#config = event.config;
        this.#jobs.configure(event.config);
        return [];
      case 'zones-out':
        this.#zonesOut = event.zones;
        return [];
      case 'executors':
        this.#setExecutors(event.executors, now);
        return [];
      case 'jobs':
        event.jobs.forEach((job) => this.#jobs.add(job, event.adopted, now));
        return this.#cancel(
          event.jobs.map(({ accepted }) => accepted.id).filter((id) => this.#cancelled.has(id)),
          now,
        );
      case 'cancelled':
        return this.#cancel(event.ids, now);
      case 'report':
        return this.#report(event.report, event.leaseEndsAt, now);
      case 'lease':
        this.#executors.update(event.executor, { leaseEndsAt: event.leaseEndsAt });
        return [];
      case 'silent':
        this.#executors.update(event.executor, { leaseEndsAt: event.leaseEndsAt });
        this.#executors.unanswered(event.executor, now);
        return [];
      case 'start-answer': {
        const run = this.#book.current(event.task, event.attempt, event.executor);
        if (run !== undefined) {
          this.#book.startAnswered(run, event.outcome, now);
        }
        return [];
      }
      case 'stop-answer': {
        const run = this.#book.current(event.task, event.attempt, event.executor);
        if (run !== undefined) {
          this.#book.stopAnswered(run, event.answered, now);
        }
        return [];
      }
      case 'fenced':
        return [{ type: 'superseded' }];
      case 'instances':
        this.#settleOrders(event.instances, event.askedAt);
        this.#maintenance.setInstances(event.instances, event.askedAt);
        this.#lender.setInstances(event.instances, event.askedAt);
        return [];
      case 'waves':
        this.#maintenance.setWaves(event.waves);
        return [];
      case 'order-answer':
        return this.#orderAnswered(event.order, event.outcome, now);
      case 'tick':
        return this.#tick(now);
    }
  }

  #setExecutors(listed: readonly ExecutorInfo[], now: Millis): void {
    const ids = new Set(listed.map(({ id }) => id));
    for (const info of listed.filter((one) => !this.#isRetired(one))) {
      const state = this.#executors.get(info.id);
      if (state === undefined) {
        this.#executors.add(info, now);
      } else if (state.info.bornWallMs < info.bornWallMs) {
        this.#newLife(state, info, now);
      } else {
        // The list may be behind what the executor itself has reported of its new life.
        const { bornWallMs } = state.info;
        this.#executors.update(info.id, { info: { ...info, bornWallMs }, listed: true });
      }
    }
    for (const { info } of [...this.#executors.all()]) {
      if (!ids.has(info.id)) {
        this.#executors.update(info.id, { listed: false });
      }
    }
  }

  /** Whether this life of the executor has been ended by order; the list lags behind. */
  #isRetired({ id, bornWallMs }: ExecutorInfo): boolean {
    return this.#retired.get(id) === bornWallMs;
  }

  #newLife({ leaseEndsAt }: ExecutorState, info: ExecutorInfo, now: Millis): void {
    this.#book.newLife(info.id, now);
    this.#acknowledge.delete(info.id);
    this.#executors.add(info, now);
    this.#executors.update(info.id, { leaseEndsAt });
  }

  #cancel(ids: readonly JobId[], now: Millis): readonly JobDecision[] {
    return ids.flatMap((id) => {
      this.#cancelled.add(id);
      const job = this.#jobs.get(id);
      if (job?.cancel(this.#options.clock.wall()) !== true) {
        return [];
      }
      this.#jobs.closed(job);
      this.#book.stopJob(job, 'cancelled', now);
      return [{ type: 'persist', job: id, progress: job.progress() } as const];
    });
  }

  #report(report: ExecutorReport, leaseEndsAt: Millis, now: Millis): readonly JobDecision[] {
    const known = this.#executors.get(report.executor);
    if (known === undefined) {
      return [];
    }
    if (known.info.bornWallMs !== report.bornWallMs) {
      this.#newLife(known, { ...known.info, bornWallMs: report.bornWallMs }, now);
    }
    const state = this.#executors.get(report.executor);
    if (state === undefined || (state.lastReportAt ?? -Infinity) > report.sentAt) {
      return [];
    }
    this.#book.report(state, report, now);
    const endsSeen = Math.max(state.endsSeen, ...report.ended.map(({ seq }) => seq));
    if (report.ended.length > 0) {
      this.#acknowledge.set(report.executor, endsSeen);
    }
    this.#executors.update(report.executor, {
      accounted: true,
      lastReportAt: report.sentAt,
      leaseEndsAt,
      endsSeen,
    });
    return this.#pacing.reported(report.executor, now);
  }

  #orderAnswered(
    order: InstanceOrder,
    outcome: InstanceOrderOutcome,
    now: Millis,
  ): readonly JobDecision[] {
    const orderedBy = order.type === 'move' ? this.#lender : this.#maintenance;
    const executor = orderedBy.orderedExecutor(order.instance);
    if (outcome === 'done' && executor !== undefined) {
      this.#executors.update(executor, { ending: true });
      this.#ordered.set(order.instance, { executor, answeredAt: now });
    }
    this.#lender.answered(order, outcome);
    return this.#maintenance.answered(order, outcome, now);
  }

  /**
   * An order that an earlier owner had carried out already is answered like one that takes effect,
   * so only a list that was asked for after the answer tells whether the executor has ended.
   */
  #settleOrders(instances: readonly PoolInstance[], askedAt: Millis): void {
    for (const [name, { executor, answeredAt }] of [...this.#ordered]) {
      if (askedAt <= answeredAt) {
        continue;
      }
      this.#ordered.delete(name);
      const instance = instances.find((one) => one.name === name);
      if (instance?.state === 'up' && instance.executor === executor) {
        this.#executors.update(executor, { ending: false, cordoned: false });
      } else {
        this.#retire(executor);
      }
    }
  }

  /** The instance has gone down by order: all that ran on it has ended. */
  #retire(id: ExecutorId): void {
    const state = this.#executors.get(id);
    if (state !== undefined) {
      this.#book.loseAll(id);
      this.#retired.set(id, state.info.bornWallMs);
      this.#executors.remove(id);
      this.#acknowledge.delete(id);
    }
  }

  #tick(now: Millis): readonly JobDecision[] {
    if (this.#standstill.tick(now)) {
      [...this.#executors.all()].forEach((state) => {
        this.#checkLease(state, now);
      });
    }
    this.#book.retryStops(now);
    this.#jobs.forgetEndedBefore(this.#options.clock.wall() - this.#options.rememberMs);
    if (this.#holdAdopted(now)) {
      return [];
    }
    const maintained = this.#maintenance.plan(now);
    const reserved = (instance: string): boolean => this.#maintenance.isReserved(instance);
    return [...maintained, ...this.#lender.plan(this.#config.pools, reserved, now)];
  }

  /** Past the end of its lease an executor runs nothing, whether it can be reached or not. */
  #checkLease({ info, listed, leaseEndsAt }: ExecutorState, now: Millis): void {
    if (leaseEndsAt > now) {
      return;
    }
    this.#book.loseAll(info.id);
    if (!listed) {
      this.#executors.remove(info.id);
    }
  }

  #scheduleAll(now: Millis): readonly JobDecision[] {
    const holdAdopted = this.#holdAdopted(now);
    if (!holdAdopted) {
      this.#adoptedReleased = true;
      this.#jobs.clearAdopted();
    }
    const limits = { zonesOut: this.#zonesOut, teams: this.#config.teams, holdAdopted };
    return this.#jobs.pools.flatMap((pool) => this.#scheduler.schedule(pool, limits, now));
  }

  /** Whether an earlier owner's starts may be at executors that have not reported yet. */
  #holdAdopted(now: Millis): boolean {
    if (this.#adoptedReleased || now >= this.#options.unaccountedUntil) {
      return false;
    }
    // An executor that the platform does not list now may still run what it was given.
    const inherited = this.#options.inherited ?? [];
    return (
      inherited.some((id) => this.#executors.get(id)?.accounted !== true) ||
      [...this.#executors.all()].some(({ accounted }) => !accounted)
    );
  }

  #persists(changed: ReadonlySet<JobId>): readonly JobDecision[] {
    return [...changed].flatMap((id) => {
      const job = this.#jobs.get(id);
      return job === undefined
        ? []
        : [{ type: 'persist', job: id, progress: job.progress() } as const];
    });
  }

  #acknowledgements(): readonly JobDecision[] {
    const decisions = [...this.#acknowledge].flatMap(([executor, through]) => {
      const bornWallMs = this.#executors.get(executor)?.info.bornWallMs;
      return bornWallMs === undefined
        ? []
        : [{ type: 'acknowledge', executor, bornWallMs, through } as const];
    });
    this.#acknowledge.clear();
    return decisions;
  }
}
