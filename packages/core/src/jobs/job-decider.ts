import type { Clock, Decider, Millis, PoolName, ZoneName } from '../types/index.js';
import { ExecutorTable, type ExecutorState } from './executor-table.js';
import { InstanceOrders, type InstanceOrdersOptions } from './instance-orders.js';
import { JobTable } from './job-table.js';
import { LeadershipGate } from './leadership-gate.js';
import { LeaseExpiry, type LeaseExpiryOptions } from './lease-expiry.js';
import type { WaitingInstance } from './maintenance-action.js';
import type { JobDecision, JobEvent } from './messages.js';
import type { ExecutorId, ExecutorInfo, JobId, SchedulingConfig } from './model.js';
import { LeastWorkFirst, type JobOrdering } from './ordering.js';
import { PaceController } from './pace-controller.js';
import { PendingAcknowledgements } from './pending-acknowledgements.js';
import { CellPoolLoadView } from './pool-load.js';
import { Recovery, type RecoveryOptions, type RecoverySummary } from './recovery.js';
import { RunReconciler } from './run-reconciler.js';
import { RunTable } from './run-table.js';
import { SchedulingAgenda } from './scheduling-agenda.js';
import { Scheduler } from './scheduler.js';
import { TaskDurations } from './task-durations.js';
import type { TeamShares } from './team-shares.js';
import { UnreportedUsage } from './unreported-usage.js';
import { WorkAhead, type WorkAheadLane } from './work-ahead.js';

export interface JobDeciderOptions
  extends RecoveryOptions, InstanceOrdersOptions, LeaseExpiryOptions {
  readonly clock: Clock;
  /** Lowest attempt number that this owner uses. */
  readonly firstAttempt: number;
  /** How long ended jobs are retained, so that late reports find them. */
  readonly endedJobRetentionMs: Millis;
  readonly order?: JobOrdering;
}

/**
 * Decides for one cell which tasks run where, what is stored, and which instances are maintained or
 * moved.
 */
export class JobDecider implements Decider<JobEvent, JobDecision> {
  /** Capacity and waiting work of the pools, for the log. */
  readonly poolLoad: CellPoolLoadView;
  readonly #workAhead: WorkAhead;
  readonly #options: JobDeciderOptions;
  readonly #runs = new RunTable();
  readonly #agenda = new SchedulingAgenda();
  readonly #durations = new TaskDurations();
  readonly #executors: ExecutorTable;
  readonly #jobs: JobTable;
  readonly #reconciler: RunReconciler;
  readonly #scheduler: Scheduler;
  readonly #instanceOrders: InstanceOrders;
  readonly #paceController: PaceController;
  #config: SchedulingConfig = { queues: new Map(), pools: new Map(), teams: new Map() };
  #zonesOut: ReadonlySet<ZoneName> = new Set();
  /** Start times of executors that were shut down with their instance. */
  readonly #retired = new Map<ExecutorId, Millis>();
  readonly #leaseExpiry: LeaseExpiry;
  readonly #recovery: Recovery;
  readonly #leadership = new LeadershipGate();
  /** Cancelled jobs. Kept because a cancellation may arrive before its job. */
  readonly #cancelled = new Set<JobId>();
  readonly #acknowledgements: PendingAcknowledgements;

  constructor(options: JobDeciderOptions) {
    this.#options = options;
    const order = options.order ?? new LeastWorkFirst(this.#durations);
    this.#jobs = new JobTable(options, this.#agenda, order);
    this.#executors = new ExecutorTable(this.#runs, this.#agenda);
    this.#recovery = new Recovery(options, this.#executors);
    this.#acknowledgements = new PendingAcknowledgements(this.#executors);
    const parts = {
      jobs: this.#jobs,
      runs: this.#runs,
      executors: this.#executors,
      durations: this.#durations,
      agenda: this.#agenda,
    };
    this.#reconciler = new RunReconciler(parts, () => options.clock.wall());
    this.#leaseExpiry = new LeaseExpiry(options, { ...parts, reconciler: this.#reconciler });
    this.#scheduler = new Scheduler(parts);
    this.#instanceOrders = new InstanceOrders({ ...parts, reconciler: this.#reconciler }, options);
    this.#paceController = new PaceController(this.#runs);
    const { lender } = this.#instanceOrders;
    const sharesOf = (pool: PoolName): TeamShares | undefined => this.teamShares(pool);
    this.poolLoad = new CellPoolLoadView(parts, lender, sharesOf);
    this.#workAhead = new WorkAhead({ tables: parts, lender, order, sharesOf });
  }

  /** Shares of a pool as of its latest round; undefined if no executor could get tasks then. */
  teamShares(pool: PoolName): TeamShares | undefined {
    return this.#scheduler.shares(pool);
  }

  /** Number of jobs by queue of which no executor is known to have begun a task. */
  get waiting(): ReadonlyMap<string, number> {
    return this.#jobs.waitingByQueue();
  }

  /**
   * When jobs would start that are submitted now, for queues that are short of capacity. Undefined
   * while runs of earlier owners are not known, as the work that waits may be running.
   */
  get workAhead(): readonly WorkAheadLane[] | undefined {
    const now = this.#options.clock.now();
    return this.#recovery.isPending(now) ? undefined : this.#workAhead.describe(this.#config, now);
  }

  /** Whether a maintenance wave is unfinished, so that instances should be listed more often. */
  get maintaining(): boolean {
    return this.#instanceOrders.maintenance.active;
  }

  /** Number of instances of each pool before any was lent, to hand over to the next owner. */
  get poolSizes(): ReadonlyMap<PoolName, number> | undefined {
    return this.#instanceOrders.lender.initialSizes;
  }

  /** Executors that may have runs, to hand over to the next owner. */
  get executorIds(): readonly ExecutorId[] {
    const now = this.#options.clock.now();
    const known = this.#executors.infos.map(({ id }) => id);
    const used = known.filter((id) => this.#mayHaveRuns(id, now));
    return [...new Set([...used, ...this.#recovery.inheritedExecutors])];
  }

  /** An executor that is registered and has never answered has got no orders of this owner. */
  #mayHaveRuns(id: ExecutorId, now: Millis): boolean {
    const state = this.#executors.get(id);
    return (
      state !== undefined &&
      (state.lastReportAt !== undefined || state.leaseEndsAt > now || this.#runs.at(id).length > 0)
    );
  }

  /** Instances that can't be maintained yet, with the reason. */
  get waitingInstances(): readonly WaitingInstance[] {
    return this.#instanceOrders.maintenance.waiting;
  }

  /** Number of executors whose runs under earlier owners are not known, so that tasks wait. */
  get awaitedExecutors(): number {
    return this.#recovery.awaitedExecutors(this.#options.clock.now());
  }

  /** What was known when the recovery ended, after which adopted tasks may start; undefined before. */
  get recoverySummary(): RecoverySummary | undefined {
    return this.#recovery.summary;
  }

  /** Executors that may have runs and must be polled. */
  get executors(): readonly ExecutorInfo[] {
    return this.#executors.infos;
  }

  /** Whether tasks may be able to start since the last round, so that a `schedule` event is due. */
  needsRound(now: Millis): boolean {
    const due = this.#agenda.isDue(now) || this.#recovery.isOver(now);
    return this.#leadership.held && due;
  }

  handle(event: JobEvent, now: Millis): readonly JobDecision[] {
    const decided = this.#apply(event, now);
    const changes = this.#reconciler.drainChanges();
    return this.#leadership.permitted([
      ...changes.decisions,
      ...decided,
      ...this.#progressWrites(changes.changedJobs),
      ...this.#acknowledgements.take(),
    ]);
  }

  #apply(event: JobEvent, now: Millis): readonly JobDecision[] {
    switch (event.type) {
      case 'config':
        this.#config = event.config;
        this.#jobs.configure(event.config);
        this.#agenda.markAll();
        return [];
      case 'zones-out':
        this.#zonesOut = event.zones;
        this.#agenda.markAll();
        return [];
      case 'executors':
        this.#setExecutors(event.executors, now);
        this.#recovery.executorsListed();
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
        return this.#report(event, now);
      case 'lease':
        this.#executors.updateContact(event.executor, { leaseEndsAt: event.leaseEndsAt }, now);
        return [];
      case 'silent':
        this.#executors.updateContact(event.executor, { leaseEndsAt: event.leaseEndsAt }, now);
        this.#executors.unanswered(event.executor, event.sentAt ?? now);
        return [];
      case 'start-answer': {
        const run = this.#reconciler.current(event.task, event.attempt, event.executor);
        if (run !== undefined) {
          this.#reconciler.startAnswered(run, event.outcome, now);
        }
        return [];
      }
      case 'stop-answer': {
        const run = this.#reconciler.current(event.task, event.attempt, event.executor);
        if (run !== undefined) {
          this.#reconciler.stopAnswered(run, event.answered, now);
        }
        return [];
      }
      case 'fenced':
        return [{ type: 'superseded' }];
      case 'leadership':
        this.#leadership.set(event.held);
        return [];
      case 'instances':
        this.#recovery.instancesListed(event.instances.filter((one) => !this.#isStandby(one.pool)));
        this.#instanceOrders
          .setInstances(event.instances, event.requestedAt)
          .forEach((executor) => {
            this.#retire(executor);
          });
        return [];
      case 'former-orders':
        this.#instanceOrders.setHeld(event.held);
        return [];
      case 'waves':
        this.#instanceOrders.maintenance.setWaves(event.waves);
        return [];
      case 'order-answer':
        return this.#instanceOrders.answered(event.order, event.outcome, now);
      case 'schedule':
        return this.#schedule(now);
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
      } else if (state.info.startedWallMs < info.startedWallMs) {
        this.#handleRestart(state, info, now);
      } else {
        // The list lags behind: the executor itself may already have reported a later start time.
        const { startedWallMs } = state.info;
        this.#executors.update(info.id, { info: { ...info, startedWallMs }, listed: true });
      }
    }
    for (const { info } of [...this.#executors.all()]) {
      if (!ids.has(info.id)) {
        this.#executors.update(info.id, { listed: false });
      }
    }
  }

  #isStandby(pool: PoolName): boolean {
    return this.#config.pools.get(pool)?.standby === true;
  }

  /** Whether a listed executor was shut down with its instance; the list lags behind. */
  #isRetired({ id, startedWallMs }: ExecutorInfo): boolean {
    return this.#retired.get(id) === startedWallMs;
  }

  #handleRestart(former: ExecutorState, info: ExecutorInfo, now: Millis): void {
    const { leaseEndsAt } = former;
    this.#reconciler.handleRestart(former, now);
    this.#acknowledgements.drop(info.id);
    this.#executors.add(info, now);
    this.#executors.updateContact(info.id, { leaseEndsAt }, now);
  }

  #cancel(ids: readonly JobId[], now: Millis): readonly JobDecision[] {
    return ids.flatMap((id) => {
      this.#cancelled.add(id);
      const job = this.#jobs.get(id);
      if (job?.cancel(this.#options.clock.wall()) !== true) {
        return [];
      }
      this.#jobs.markClosed(job);
      this.#reconciler.stopJob(job, 'cancelled', now);
      return [{ type: 'persist', job: id, progress: job.progress() } as const];
    });
  }

  #report(event: Extract<JobEvent, { type: 'report' }>, now: Millis): readonly JobDecision[] {
    const { report, leaseEndsAt, receivedAt: lastReceivedAt = report.sentAt } = event;
    const known = this.#executors.get(report.executor);
    // A report that was overtaken may even be of the process that ran before a restart.
    if (known === undefined || (known.lastReportAt ?? -Infinity) > report.sentAt) {
      return [];
    }
    if (known.info.startedWallMs !== report.startedWallMs) {
      this.#handleRestart(known, { ...known.info, startedWallMs: report.startedWallMs }, now);
    }
    const state = this.#executors.get(report.executor);
    if (state === undefined) {
      return [];
    }
    if (state.lastReportAt === undefined) {
      // What earlier owners left on it is known now.
      this.#agenda.allUsageDecreased();
    }
    const runsKnown = state.runsKnown || report.moreEnded !== true;
    this.#recovery.reported(report.executor, runsKnown);
    this.#reconciler.report(state, report, now);
    const lastEndSeq = Math.max(state.lastEndSeq, ...report.ended.map(({ seq }) => seq));
    if (report.ended.length > 0) {
      this.#acknowledgements.set(report.executor, lastEndSeq);
    }
    this.#executors.updateContact(
      report.executor,
      { runsKnown, lastReportAt: report.sentAt, lastReceivedAt, leaseEndsAt, lastEndSeq },
      now,
    );
    return this.#leadership.held ? this.#paceController.onReport(report.executor, now) : [];
  }

  /** Removes an executor that was shut down with its instance, and all its runs. */
  #retire(id: ExecutorId): void {
    const state = this.#executors.get(id);
    if (state !== undefined) {
      this.#reconciler.dropAll(id);
      this.#retired.set(id, state.info.startedWallMs);
      this.#executors.remove(id);
      this.#acknowledgements.drop(id);
    }
  }

  #tick(now: Millis): readonly JobDecision[] {
    this.#leaseExpiry.tick(now);
    this.#jobs.removeOutdated();
    if (!this.#leadership.held) {
      return [];
    }
    if (this.#recovery.isPending(now)) {
      // Executors may also cease to be awaited without a report.
      this.#agenda.allUsageDecreased();
    }
    // What can start now must not count as waiting when instances are lent.
    const starts = this.#schedule(now);
    this.#reconciler.retryStops(now);
    const recovering = this.#recovery.isPending(now);
    const { pools } = this.#config;
    return [...starts, ...this.#instanceOrders.plan(pools, this.#zonesOut, recovering, now)];
  }

  /** Runs the rounds that are due. Pools stay due while the leader lease is not valid. */
  #schedule(now: Millis): readonly JobDecision[] {
    if (!this.#leadership.held) {
      return [];
    }
    if (this.#recovery.completeIfOver(now)) {
      this.#jobs.clearAdopted();
      this.#agenda.markAll();
    }
    const due = this.#agenda.takeDue(this.#jobs.pools, now);
    if (due.length === 0) {
      return [];
    }
    const holdAdopted = this.#recovery.isPending(now);
    const limits = {
      zonesOut: this.#zonesOut,
      teams: this.#config.teams,
      holdAdopted,
      unreported: holdAdopted ? this.#unreportedUsage(now) : UnreportedUsage.NONE,
    };
    return due.flatMap((pool) => this.#scheduler.schedule(pool, limits, now));
  }

  #unreportedUsage(now: Millis): UnreportedUsage {
    const capacity = this.#recovery.unreportedCapacity(now);
    return new UnreportedUsage(this.#jobs.inheritedDemand(now), capacity);
  }

  #progressWrites(changed: ReadonlySet<JobId>): readonly JobDecision[] {
    return [...changed].flatMap((id) => {
      const job = this.#jobs.get(id);
      return job === undefined
        ? []
        : [{ type: 'persist', job: id, progress: job.progress() } as const];
    });
  }
}
