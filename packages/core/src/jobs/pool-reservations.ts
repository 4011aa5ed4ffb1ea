import { maxResources, NO_RESOURCES } from '../tasks/resource-arithmetic.js';
import type { Resources } from '../tasks/model.js';
import type { Millis, PoolName } from '../types/index.js';
import type { CellTables } from './cell-tables.js';
import type { ExecutorState } from './executor-table.js';
import type { Job, ReadyStep } from './job.js';
import { LargeTaskWaits, type LargeTaskWait } from './large-task-waits.js';
import type { ExecutorId, JobId } from './model.js';
import { latenessOf, objectiveAt } from './ordering.js';
import type { PlacementRound } from './placement.js';
import { PoolStarts } from './pool-starts.js';
import type { ReadyJobs } from './ready-jobs.js';
import type {
  Reservation,
  ReservationChange,
  ReservationEndReason,
  ReservationRules,
} from './reservations.js';
import { ReservedCapacity } from './reserved-capacity.js';
import { RunEnds } from './run-ends.js';
import type { TaskNeed } from './start-group.js';
import type { StepProgress } from './step-progress.js';

/** Fraction of a pool's executors that may be reserved; one of them may be in any pool. */
export const RESERVED_SHARE = 0.1;
/**
 * Age at which a reservation is released, and longest time ahead for which one is made. A job of
 * tasks of 1 s with the usual latency objectives has lost its value after 8 s.
 */
export const RESERVATION_TIMEOUT_MS: Millis = 5_000;
/**
 * Period at which a pool's waits and reservations are reviewed. A review looks at all waiting groups,
 * and rounds of a busy pool follow each other within milliseconds.
 */
export const REVIEW_PERIOD_MS: Millis = 100;
/** A task is large if it needs this many times the mean of what the pool starts. */
const LARGE_FACTOR = 2;
/** Waiting tasks for which one review looks for an executor; each one costs a look at all runs. */
const MAX_ATTEMPTS = 8;

type Made = Omit<Extract<ReservationChange, { change: 'made' }>, 'change' | 'active'>;
type Ended = Omit<Extract<ReservationChange, { change: 'ended' }>, 'change' | 'active'>;

export interface ReservationObserver {
  readonly onMade: (made: Made) => void;
  readonly onEnded: (ended: Ended) => void;
}

/** What a review looks at. */
interface Review {
  readonly round: PlacementRound;
  readonly ready: ReadyJobs;
  readonly rules: ReservationRules;
  readonly now: Millis;
}

/**
 * Reservations of one pool, each of an executor for one job. A round calls `begin`, then `onStarted`
 * for each start, then `review`.
 */
export class PoolReservations {
  readonly #pool: PoolName;
  readonly #tables: CellTables;
  readonly #observer: ReservationObserver;
  readonly #waits = new LargeTaskWaits();
  readonly #starts = new PoolStarts();
  /** Oldest first. */
  readonly #byExecutor = new Map<ExecutorId, Reservation>();
  readonly #byJob = new Map<JobId, Reservation>();
  #capacity = ReservedCapacity.NONE;
  #limit = 0;
  /** Maximum of each resource over the capacities of executors, as of the latest review. */
  #largest: Resources = NO_RESOURCES;
  #reviewing = false;
  #nextReviewAt: Millis = -Infinity;

  constructor(pool: PoolName, tables: CellTables, observer: ReservationObserver) {
    this.#pool = pool;
    this.#tables = tables;
    this.#observer = observer;
  }

  /** Begins a round. When a review is due, releases reservations that no longer have a purpose. */
  begin(
    candidates: readonly ExecutorState[],
    rules: ReservationRules,
    now: Millis,
  ): ReservedCapacity {
    this.#reviewing = now >= this.#nextReviewAt;
    this.#limit = Math.max(1, Math.floor(candidates.length * RESERVED_SHARE));
    if (this.#reviewing) {
      this.#nextReviewAt = now + REVIEW_PERIOD_MS;
      this.#releaseObsolete(candidates, rules, now);
      this.#waits.retain(({ job }) => this.#openJob(job) !== undefined);
    }
    if (this.#reviewing || this.#largest === NO_RESOURCES) {
      this.#largest = candidates
        .map(({ info }) => info.capacity)
        .reduce(maxResources, NO_RESOURCES);
    }
    const options = { largest: this.#largest, now, backfill: this.#reviewing };
    this.#capacity = new ReservedCapacity(this.#byExecutor, options);
    return this.#capacity;
  }

  /** Records that a task was started. */
  onStarted(job: Job, { spec, need }: StepProgress, executor: ExecutorId, now: Millis): void {
    if (spec.lasting) {
      return;
    }
    const size = this.#capacity.sizeOf(need.resources);
    const active = this.#byExecutor.size;
    const expectedMs = this.#tables.durations.expectedMs(job.accepted.queue, spec.estimateMs);
    this.#starts.record({ size, expectedMs, valuable: !isWorthless(job, now) }, now);
    this.#waits.end(job.id, need.key);
    const own = this.#byJob.get(job.id);
    if (own?.needKey === need.key) {
      this.#release(own, own.executor === executor ? 'started' : 'started-elsewhere', now);
    }
    const other = this.#byExecutor.get(executor);
    if (other !== undefined && size >= this.#capacity.sizeOf(other.resources)) {
      this.#release(other, 'taken', now);
    }
    if (this.#byExecutor.size < active) {
      // Smaller tasks that this round has passed over may fit beside the one that has started.
      this.#tables.agenda.mark(this.#pool);
    }
  }

  /** Ends a round. When a review is due, tracks waits and makes reservations. */
  review(round: PlacementRound, ready: ReadyJobs, rules: ReservationRules, now: Millis): void {
    if (!this.#reviewing) {
      return;
    }
    const review = { round, ready, rules, now };
    this.#waits.retain((wait) => this.#findBlocked(wait, review) !== undefined);
    this.#trackWaits(review);
    this.#makeReservations(review);
    if (this.#waits.size + this.#byExecutor.size > 0) {
      this.#tables.agenda.wakeAt(this.#pool, this.#nextReviewAt);
    }
  }

  #trackWaits({ round, ready, rules, now }: Review): void {
    if (now - this.#starts.lastAt > REVIEW_PERIOD_MS) {
      return;
    }
    const isBlocked = (need: TaskNeed): boolean =>
      this.#isLarge(need) && !round.mayFit(need) && round.couldFit(need);
    for (const { start, job } of ready.groups()) {
      if (this.#waits.full) {
        return;
      }
      if (this.#waits.get(job.id) === undefined && rules.mayStart(start)) {
        const blocked = job.ready(now).find(({ step }) => !step.spec.gang && isBlocked(step.need));
        if (blocked !== undefined) {
          this.#waits.begin({ job: job.id, needKey: blocked.step.need.key, since: now });
        }
      }
    }
  }

  #isLarge({ lasting, resources }: TaskNeed): boolean {
    return !lasting && this.#capacity.sizeOf(resources) >= LARGE_FACTOR * this.#starts.meanSize;
  }

  /** The step that a wait is for, if its tasks still do not fit. */
  #findBlocked({ job, needKey }: LargeTaskWait, { round, now }: Review): ReadyStep | undefined {
    const ready = this.#openJob(job)?.ready(now) ?? [];
    const found = ready.find(({ step }) => step.need.key === needKey);
    return found === undefined || round.mayFit(found.step.need) ? undefined : found;
  }

  #openJob(id: JobId): Job | undefined {
    const job = this.#tables.jobs.get(id);
    return job?.open === true && job.policy.pool === this.#pool ? job : undefined;
  }

  #makeReservations(review: Review): void {
    const { ready, now } = review;
    const starved = this.#starvedJobs(review);
    const ends = new RunEnds(this.#tables, now);
    let attempts = 0;
    for (const job of starved.length === 0 ? [] : ready.inServiceOrder(starved, now)) {
      if (this.#byExecutor.size >= this.#limit || attempts >= MAX_ATTEMPTS) {
        return;
      }
      attempts += 1;
      this.#tryReserve(job, ends, review);
    }
  }

  /** Jobs whose large task has waited longer than a mean task while smaller ones started. */
  #starvedJobs({ ready, rules, now }: Review): readonly Job[] {
    if (this.#byExecutor.size >= this.#limit) {
      return [];
    }
    const { meanMs, lastAt, lastValuableAt } = this.#starts;
    const starved = this.#waits.all
      .filter(({ job, since }) => !this.#byJob.has(job) && now - since > meanMs && lastAt > since)
      .map(({ job, since }) => ({ job: this.#openJob(job), since }))
      // A job without value is served after all others.
      .flatMap(({ job, since }) =>
        job === undefined || (isWorthless(job, now) && lastValuableAt > since) ? [] : [job],
      );
    const below = starved.filter(({ accepted }) => rules.belowShare(accepted.team));
    if (below.length === starved.length) {
      return starved;
    }
    return this.#teamBelowShareWaits(ready, rules) ? below : starved;
  }

  #teamBelowShareWaits(ready: ReadyJobs, rules: ReservationRules): boolean {
    for (const { start, job } of ready.groups()) {
      if (!job.lasting && rules.mayStart(start) && rules.belowShare(job.accepted.team)) {
        return true;
      }
    }
    return false;
  }

  #tryReserve(job: Job, ends: RunEnds, review: Review): void {
    const { round, rules, now } = review;
    const wait = this.#waits.get(job.id);
    const blocked = wait && this.#findBlocked(wait, review);
    if (wait === undefined || blocked === undefined) {
      return;
    }
    const { spec, need } = blocked.step;
    const found = rules.withinCap(job, spec.resources)
      ? earliestRoom(round.unreserved(spec, rules.stepRuns(job, blocked)), need, ends)
      : undefined;
    if (found === undefined || found.at - now > RESERVATION_TIMEOUT_MS) {
      // Others get the attempts of the next reviews.
      this.#waits.begin({ ...wait, since: now });
      return;
    }
    const reservation = {
      executor: found.state.info.id,
      pool: this.#pool,
      job: job.id,
      team: job.accepted.team,
      needKey: need.key,
      resources: need.resources,
      availableAt: found.at,
      madeAt: now,
    };
    this.#byExecutor.set(reservation.executor, reservation);
    this.#byJob.set(job.id, reservation);
    this.#observer.onMade({
      reservation,
      waitedMs: now - wait.since,
      meanTaskMs: this.#starts.meanMs,
      reportAgeMs: now - found.state.lastReceivedAt,
    });
  }

  #releaseObsolete(
    candidates: readonly ExecutorState[],
    rules: ReservationRules,
    now: Millis,
  ): void {
    if (this.#byExecutor.size === 0) {
      return;
    }
    const usable = new Set(candidates.map(({ info }) => info.id));
    for (const reservation of [...this.#byExecutor.values()]) {
      const reason = this.#endReason(reservation, usable, rules, now);
      if (reason !== undefined) {
        this.#release(reservation, reason, now);
      }
    }
    [...this.#byExecutor.values()].slice(this.#limit).forEach((reservation) => {
      this.#release(reservation, 'pool-shrunk', now);
    });
  }

  #endReason(
    { executor, job: id, needKey, madeAt }: Reservation,
    usable: ReadonlySet<ExecutorId>,
    rules: ReservationRules,
    now: Millis,
  ): ReservationEndReason | undefined {
    const job = this.#openJob(id);
    if (job === undefined) {
      return 'job-ended';
    }
    if (!usable.has(executor)) {
      return this.#whyUnusable(executor, now);
    }
    const waiting = job.ready(now).find(({ step }) => step.need.key === needKey);
    if (waiting === undefined) {
      return 'started-elsewhere';
    }
    if (!rules.withinCap(job, waiting.step.spec.resources)) {
      return 'over-cap';
    }
    if (now - madeAt >= RESERVATION_TIMEOUT_MS) {
      this.#waits.begin({ job: id, needKey, since: now });
      return 'timed-out';
    }
    return undefined;
  }

  #whyUnusable(executor: ExecutorId, now: Millis): ReservationEndReason {
    const { executors } = this.#tables;
    const state = executors.get(executor);
    if (state?.listed !== true || state.info.pool !== this.#pool) {
      return 'executor-left';
    }
    if (state.cordoned || state.info.draining) {
      return 'executor-cordoned';
    }
    if (state.backoffUntil > now) {
      return 'executor-backing-off';
    }
    return executors.isSchedulable(state, now) ? 'zone-out' : 'executor-silent';
  }

  #release(reservation: Reservation, reason: ReservationEndReason, now: Millis): void {
    this.#byExecutor.delete(reservation.executor);
    this.#byJob.delete(reservation.job);
    this.#observer.onEnded({ reservation, reason, heldMs: now - reservation.madeAt });
  }
}

/** Whether a job is too late to have any value. One without a latency objective never is. */
function isWorthless(job: Job, now: Millis): boolean {
  return objectiveAt(job) > job.times.firstDueAt && latenessOf(job, now) === 'worthless';
}

/** The executor on which a task is expected to find room first. */
function earliestRoom(
  states: readonly ExecutorState[],
  need: TaskNeed,
  ends: RunEnds,
): { readonly state: ExecutorState; readonly at: Millis } | undefined {
  let best: { readonly state: ExecutorState; readonly at: Millis } | undefined;
  for (const state of states) {
    const at = ends.roomAt(state, need.resources);
    if (at < (best?.at ?? Infinity)) {
      best = { state, at };
    }
  }
  return best;
}
