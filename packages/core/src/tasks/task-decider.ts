import { appError } from '../errors/index.js';
import type { Configuration } from '../resources/index.js';
import type { Decider, Millis, PoolName, RequestId, TaskId, TeamName } from '../types/index.js';
import { Explain, type TaskExplanation, type TeamExplanation } from './explain.js';
import { LeaseKeeper } from './lease-keeper.js';
import type { TaskDecision, TaskEvent } from './messages.js';
import type { Resources } from './model.js';
import { OverloadGuard } from './overload-guard.js';
import { createPoolState, type PoolState } from './pool-state.js';
import { ReportHandler } from './report-handler.js';
import { RoomMaker } from './room-maker.js';
import { Scheduler } from './scheduler.js';
import { StopOrders } from './stop-orders.js';
import { Submissions } from './submissions.js';
import type { LogEffect } from './task-log.js';
import { isWaiting } from './task-store.js';
import { WaitReasons } from './wait-reasons.js';

type Gained = Extract<TaskEvent, { type: 'ownership-gained' }>;
type OwnedEvent = Exclude<TaskEvent, { type: 'ownership-gained' | 'ownership-lost' }>;

/** The parts that act on an owned pool. */
interface Owned {
  readonly state: PoolState;
  readonly keeper: LeaseKeeper;
  readonly reports: ReportHandler;
  readonly submissions: Submissions;
  readonly scheduler: Scheduler;
  readonly explain: Explain;
}

function createOwned(pool: PoolName, { epoch, log, nextBatch }: Gained): Owned {
  const state = createPoolState(pool, epoch, log, nextBatch);
  const waits = new WaitReasons(state.out);
  const keeper = new LeaseKeeper(state);
  const stops = new StopOrders(state, keeper);
  const rooms = new RoomMaker(state, stops);
  const guard = new OverloadGuard(state, stops);
  return {
    state,
    keeper,
    reports: new ReportHandler(state, keeper, stops, guard),
    submissions: new Submissions(state, stops, waits),
    scheduler: new Scheduler(state, keeper, rooms, waits),
    explain: new Explain(state, waits),
  };
}

/**
 * Decides for the tasks of one pool, on behalf of the pool's owner. Times in events are readings of
 * the owner's monotonic clock. Without ownership every submission is refused with `not-owner`.
 */
export class TaskDecider implements Decider<TaskEvent, TaskDecision> {
  readonly #pool: PoolName;
  #cfg: Configuration | undefined;
  #allowances: ReadonlyMap<TeamName, Resources> = new Map();
  #freshness = { configUntil: -Infinity, ownerUntil: -Infinity };
  #owned: Owned | undefined;

  constructor(pool: PoolName) {
    this.#pool = pool;
  }

  handle(event: TaskEvent, now: Millis): readonly TaskDecision[] {
    if (event.type === 'ownership-gained') {
      return this.#gain(event, now);
    }
    if (event.type === 'ownership-lost') {
      return this.#lose();
    }
    this.#remember(event);
    if (this.#owned === undefined) {
      return refusals(event);
    }
    if ('epoch' in event && event.epoch !== this.#owned.state.gate.epoch) {
      return [];
    }
    return this.#handleOwned(this.#owned, event, now);
  }

  /** What a task is doing, or what it waits for and since when; undefined if there is none. */
  whyTask(id: TaskId, now: Millis): TaskExplanation | undefined {
    return this.#owned?.explain.task(id, now);
  }

  /** What a team uses, may use and waits for; undefined without ownership. */
  whyTeam(team: TeamName, now: Millis): TeamExplanation | undefined {
    return this.#owned?.explain.team(team, now);
  }

  /** What each team counts against its allowance, which is in use until its leases have ended. */
  charges(): ReadonlyMap<TeamName, Resources> {
    return this.#owned?.state.ledger.charges() ?? new Map();
  }

  /** Keeps what a later ownership needs as well. */
  #remember(event: OwnedEvent): void {
    if (event.type === 'config-changed') {
      this.#cfg = event.cfg;
    } else if (event.type === 'allowances') {
      this.#allowances = event.teams;
    } else if (event.type === 'freshness') {
      this.#freshness = event;
    }
  }

  #gain(event: Gained, now: Millis): readonly TaskDecision[] {
    const former = this.#lose();
    const owned = createOwned(this.#pool, event);
    this.#owned = owned;
    const { state, keeper, submissions } = owned;
    state.ledger.setAllowances(this.#allowances);
    state.gate.set(this.#freshness.configUntil, this.#freshness.ownerUntil);
    this.#applyConfiguration(owned);
    for (const record of [...state.log.records()]) {
      if (record.lease !== undefined) {
        keeper.adopt(record, now);
      } else if (record.cancelRequested && isWaiting(record.state)) {
        const { id } = record.task;
        state.log.write({ type: 'ended', id, state: 'cancelled', detail: 'cancelled' });
      } else if (isWaiting(record.state)) {
        submissions.admit(record, now);
      }
    }
    return [...former, ...this.#finish(owned, now)];
  }

  #lose(): readonly TaskDecision[] {
    const owned = this.#owned;
    this.#owned = undefined;
    const open = owned?.state.log.abandon() ?? [];
    return open.flatMap(({ effect, sent }) =>
      effect.type === 'answer' ? [refusal(effect.request, sent)] : [],
    );
  }

  #handleOwned(owned: Owned, event: OwnedEvent, now: Millis): readonly TaskDecision[] {
    const { state, reports, submissions } = owned;
    switch (event.type) {
      case 'submitted':
        submissions.submit(event, now);
        break;
      case 'cancelled':
        submissions.cancel(event, now);
        break;
      case 'append-confirmed':
        this.#confirmed(owned, event.batch, now);
        break;
      case 'append-rejected':
        if (event.cause === 'not-owner') {
          return this.#lose();
        }
        state.log.retry(event.batch, now);
        break;
      case 'append-unknown':
        state.log.retry(event.batch, now);
        break;
      case 'lease-result':
        reports.leaseResults(event.worker, event.results, now);
        break;
      case 'worker-report':
        reports.report(event.report, now);
        break;
      case 'worker-unreachable':
        reports.unreachable(event.worker);
        break;
      case 'config-changed':
        this.#applyConfiguration(owned);
        submissions.checkAll(now);
        break;
      case 'allowances':
        state.ledger.setAllowances(event.teams);
        state.queues.unpark();
        break;
      case 'freshness':
        state.gate.set(event.configUntil, event.ownerUntil);
        break;
      case 'tick':
        owned.keeper.tick(now);
        owned.scheduler.run(now);
        break;
    }
    return this.#finish(owned, now);
  }

  #applyConfiguration({ state }: Owned): void {
    if (this.#cfg === undefined) {
      return;
    }
    state.table.configure(this.#cfg);
    state.ledger.configure(this.#cfg);
    state.ledger.setCapacity(state.table.usableCapacity());
    state.health.forgetGone();
    state.queues.unpark();
  }

  #confirmed(owned: Owned, batch: number, now: Millis): void {
    const effects = owned.state.log.confirm(batch);
    const leases = effects.filter((effect) => effect.type === 'send-lease');
    owned.keeper.send(leases, now);
    for (const effect of effects) {
      this.#carryOut(owned, effect, now);
    }
  }

  #carryOut({ state, submissions }: Owned, effect: LogEffect, now: Millis): void {
    if (effect.type === 'answer') {
      const { request, answer } = effect;
      state.out.push({ type: 'answer', request, answer: answer() });
    } else if (effect.type === 'send-stop') {
      submissions.stopCancelled(effect.id, now);
    }
  }

  #finish({ state }: Owned, now: Millis): readonly TaskDecision[] {
    const append = state.log.next(now);
    if (append !== undefined) {
      state.out.push(append);
    }
    return state.out.drain();
  }
}

/** Without the role, nothing that asks for an answer has been written. */
function refusals(event: OwnedEvent): readonly TaskDecision[] {
  const asks = event.type === 'submitted' || event.type === 'cancelled';
  return asks ? [refusal(event.request, false)] : [];
}

function refusal(request: RequestId, maybeWritten: boolean): TaskDecision {
  const err = appError(maybeWritten ? 'outcome-unknown' : 'not-owner');
  return { type: 'answer', request, answer: { type: 'refused', err } };
}
