import { appError } from '../errors/index.js';
import type { Configuration } from '../resources/index.js';
import type { Decider, Millis, PoolName, RequestId, TaskId, TeamName } from '../types/index.js';
import { WaitExplainer, type TaskExplanation, type TeamExplanation } from './wait-explainer.js';
import { LeaseManager } from './lease-manager.js';
import type { TaskDecision, TaskEvent } from './messages.js';
import type { Resources } from './model.js';
import { OverloadGuard } from './overload-guard.js';
import { createPoolState, type PoolState } from './pool-state.js';
import { ReportHandler } from './report-handler.js';
import { WorkerReservations } from './worker-reservations.js';
import { Scheduler } from './scheduler.js';
import { StopOrders } from './stop-orders.js';
import { SubmissionHandler } from './submission-handler.js';
import type { LogEffect } from './task-log.js';
import { isWaiting } from './task-store.js';
import { WaitReasons } from './wait-reasons.js';

type OwnershipGained = Extract<TaskEvent, { type: 'ownership-gained' }>;
type OwnedEvent = Exclude<TaskEvent, { type: 'ownership-gained' | 'ownership-lost' }>;

/** State and components of an owned pool. */
interface OwnedPool {
  readonly state: PoolState;
  readonly leaseManager: LeaseManager;
  readonly reports: ReportHandler;
  readonly submissions: SubmissionHandler;
  readonly scheduler: Scheduler;
  readonly explainer: WaitExplainer;
}

function createOwnedPool(pool: PoolName, { epoch, log, nextBatch }: OwnershipGained): OwnedPool {
  const state = createPoolState(pool, epoch, log, nextBatch);
  const waits = new WaitReasons(state.out);
  const leaseManager = new LeaseManager(state);
  const stops = new StopOrders(state, leaseManager);
  const reservations = new WorkerReservations(state, stops);
  const guard = new OverloadGuard(state, stops);
  return {
    state,
    leaseManager,
    reports: new ReportHandler(state, leaseManager, stops, guard),
    submissions: new SubmissionHandler(state, stops, waits),
    scheduler: new Scheduler(state, leaseManager, reservations, waits),
    explainer: new WaitExplainer(state, waits),
  };
}

/**
 * Schedules the tasks of one pool on behalf of the pool's owner. Times in events are readings of
 * the owner's monotonic clock. Without ownership, requests are refused with `not-owner`.
 */
export class TaskDecider implements Decider<TaskEvent, TaskDecision> {
  readonly #pool: PoolName;
  #cfg: Configuration | undefined;
  #allowances: ReadonlyMap<TeamName, Resources> = new Map();
  #freshness = { configUntil: -Infinity, ownerUntil: -Infinity };
  #owned: OwnedPool | undefined;

  constructor(pool: PoolName) {
    this.#pool = pool;
  }

  handle(event: TaskEvent, now: Millis): readonly TaskDecision[] {
    if (event.type === 'ownership-gained') {
      return this.#gainOwnership(event, now);
    }
    if (event.type === 'ownership-lost') {
      return this.#loseOwnership();
    }
    this.#retain(event);
    if (this.#owned === undefined) {
      return refusals(event);
    }
    if ('epoch' in event && event.epoch !== this.#owned.state.gate.epoch) {
      return [];
    }
    return this.#handleOwned(this.#owned, event, now);
  }

  /** Explains the state of a task; undefined if there is no such task or no ownership. */
  explainTask(id: TaskId, now: Millis): TaskExplanation | undefined {
    return this.#owned?.explainer.task(id, now);
  }

  /** Explains the usage and waits of a team; undefined without ownership. */
  explainTeam(team: TeamName, now: Millis): TeamExplanation | undefined {
    return this.#owned?.explainer.team(team, now);
  }

  /** Resources charged to each team, which remain in use until its leases have ended. */
  charges(): ReadonlyMap<TeamName, Resources> {
    return this.#owned?.state.ledger.charges() ?? new Map();
  }

  /** Stores inputs that a later ownership needs, too. */
  #retain(event: OwnedEvent): void {
    if (event.type === 'config-changed') {
      this.#cfg = event.cfg;
    } else if (event.type === 'allowances') {
      this.#allowances = event.teams;
    } else if (event.type === 'freshness') {
      this.#freshness = event;
    }
  }

  #gainOwnership(event: OwnershipGained, now: Millis): readonly TaskDecision[] {
    const former = this.#loseOwnership();
    const owned = createOwnedPool(this.#pool, event);
    this.#owned = owned;
    const { state, leaseManager, submissions } = owned;
    state.ledger.setAllowances(this.#allowances);
    state.gate.set(this.#freshness.configUntil, this.#freshness.ownerUntil);
    this.#applyConfiguration(owned);
    for (const record of [...state.log.records()]) {
      if (record.lease !== undefined) {
        leaseManager.adopt(record, now);
      } else if (record.cancelRequested && isWaiting(record.state)) {
        const { id } = record.task;
        state.log.write({ type: 'ended', id, state: 'cancelled', detail: 'cancelled' });
      } else if (isWaiting(record.state)) {
        submissions.admit(record, now);
      }
    }
    return [...former, ...this.#drainDecisions(owned, now)];
  }

  #loseOwnership(): readonly TaskDecision[] {
    const owned = this.#owned;
    this.#owned = undefined;
    const open = owned?.state.log.abandon() ?? [];
    return open.flatMap(({ effect, sent }) =>
      effect.type === 'answer' ? [refusal(effect.request, sent)] : [],
    );
  }

  #handleOwned(owned: OwnedPool, event: OwnedEvent, now: Millis): readonly TaskDecision[] {
    const { state, reports, submissions } = owned;
    switch (event.type) {
      case 'submitted':
        submissions.submit(event, now);
        break;
      case 'cancelled':
        submissions.cancel(event, now);
        break;
      case 'append-confirmed':
        this.#confirmBatch(owned, event.batch, now);
        break;
      case 'append-rejected':
        if (event.cause === 'not-owner') {
          return this.#loseOwnership();
        }
        state.log.retry(event.batch, now);
        break;
      case 'append-unknown':
        state.log.retry(event.batch, now);
        break;
      case 'lease-result':
        reports.handleLeaseResults(event.worker, event.results, now);
        break;
      case 'worker-report':
        reports.handleReport(event.report, now);
        break;
      case 'worker-unreachable':
        reports.markUnreachable(event.worker);
        break;
      case 'config-changed':
        this.#applyConfiguration(owned);
        submissions.recheckFeasibility(now);
        break;
      case 'allowances':
        state.ledger.setAllowances(event.teams);
        state.queues.unparkAll();
        break;
      case 'freshness':
        state.gate.set(event.configUntil, event.ownerUntil);
        break;
      case 'tick':
        owned.leaseManager.tick(now);
        owned.scheduler.run(now);
        break;
    }
    return this.#drainDecisions(owned, now);
  }

  #applyConfiguration({ state }: OwnedPool): void {
    if (this.#cfg === undefined) {
      return;
    }
    state.table.configure(this.#cfg);
    state.ledger.configure(this.#cfg);
    state.ledger.setCapacity(state.table.usableCapacity());
    state.health.forgetRemovedWorkers();
    state.queues.unparkAll();
  }

  #confirmBatch(owned: OwnedPool, batch: number, now: Millis): void {
    const effects = owned.state.log.confirm(batch);
    const leases = effects.filter((effect) => effect.type === 'send-lease');
    owned.leaseManager.send(leases, now);
    for (const effect of effects) {
      this.#runEffect(owned, effect, now);
    }
  }

  #runEffect({ state, submissions }: OwnedPool, effect: LogEffect, now: Millis): void {
    if (effect.type === 'answer') {
      const { request, answer } = effect;
      state.out.push({ type: 'answer', request, answer: answer() });
    } else if (effect.type === 'send-stop') {
      submissions.stopCancelled(effect.id, now);
    }
  }

  #drainDecisions({ state }: OwnedPool, now: Millis): readonly TaskDecision[] {
    const append = state.log.next(now);
    if (append !== undefined) {
      state.out.push(append);
    }
    return state.out.drain();
  }
}

/** Refuses a request that arrives without ownership. Nothing has been written for it. */
function refusals(event: OwnedEvent): readonly TaskDecision[] {
  const asks = event.type === 'submitted' || event.type === 'cancelled';
  return asks ? [refusal(event.request, false)] : [];
}

function refusal(request: RequestId, maybeWritten: boolean): TaskDecision {
  const err = appError(maybeWritten ? 'outcome-unknown' : 'not-owner');
  return { type: 'answer', request, answer: { type: 'refused', err } };
}
