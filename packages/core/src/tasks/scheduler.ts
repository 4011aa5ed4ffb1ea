import {
  WORK_CLASSES,
  type InstanceName,
  type Millis,
  type TaskId,
  type TeamName,
  type WorkClass,
} from '../types/index.js';
import { fitsIn } from './amounts.js';
import type { LeaseKeeper } from './lease-keeper.js';
import type { Resources, TaskRecord } from './model.js';
import { constraintKey } from './placement-index.js';
import type { PoolState } from './pool-state.js';
import type { RoomMaker } from './room-maker.js';
import { isWaiting } from './task-store.js';
import type { WaitReasons } from './wait-reasons.js';

/** Leases planned in one round, so that they fit in one log batch. */
const MAX_STARTS = 400;
/** Tasks for which room is made in one round. */
const MAX_CLAIMS = 50;
/**
 * Searches for room to make for other than urgent work in one round. The teams farthest below their
 * shares come first, and where they find nothing to call back, the others find nothing either.
 */
const MAX_SEARCHES = 4;
/** Waiting log events at which no more leases are planned: their checks would be out of date. */
const MAX_BACKLOG = 500;
/** Waiting tasks of a team's lane that are tried when the first does not fit. */
const LOOK_AHEAD = 4;
/** Age of a lane's first task from which the tasks behind it no longer pass it. */
const NO_PASSING_MS = 10_000;
/** Teams that found no room are tried again at least this often. */
const RETRY_MS = 500;
/** Part of the starts that goes to waiting archive work, as for requests. */
const ARCHIVE_FLOOR = 0.05;

type Served = 'started' | 'claimed' | 'blocked';

/** Sizes for which no room was found in this round, by constraints and need of accelerators. */
type Failed = Map<string, Resources[]>;

/** Starts waiting tasks: urgent first, then by share, and makes room where that is due. */
export class Scheduler {
  readonly #state: PoolState;
  readonly #keeper: LeaseKeeper;
  readonly #rooms: RoomMaker;
  readonly #waits: WaitReasons;
  #seenVersion = -1;
  #retryAt: Millis = 0;
  #archiveDebt = 0;
  #budget = 0;
  #claimBudget = 0;
  #searchBudget = 0;
  #failed: Failed = new Map();

  constructor(state: PoolState, keeper: LeaseKeeper, rooms: RoomMaker, waits: WaitReasons) {
    this.#state = state;
    this.#keeper = keeper;
    this.#rooms = rooms;
    this.#waits = waits;
  }

  run(now: Millis): void {
    const { gate, log, health } = this.#state;
    this.#rooms.tick(now);
    health.tick(now);
    if (!gate.mayStart(now) || log.backlog >= MAX_BACKLOG) {
      return;
    }
    this.#budget = MAX_STARTS;
    this.#claimBudget = MAX_CLAIMS;
    this.#searchBudget = MAX_SEARCHES;
    this.#failed = new Map();
    this.#unparkIfDue(now);
    this.#startKept(now);
    this.#probe(now);
    this.#serveArchiveFloor(now);
    for (const workClass of WORK_CLASSES) {
      this.#serve(workClass, MAX_STARTS, now);
    }
  }

  #unparkIfDue(now: Millis): void {
    const { table, queues } = this.#state;
    if (table.version !== this.#seenVersion || now >= this.#retryAt) {
      queues.unpark();
      this.#seenVersion = table.version;
      this.#retryAt = now + RETRY_MS;
    }
  }

  /** Starts tasks whose kept worker has room by now. */
  #startKept(now: Millis): void {
    for (const id of this.#rooms.claims()) {
      const record = this.#state.log.get(id);
      if (record !== undefined) {
        this.#startOn(record, this.#rooms.keptFor(id), now);
      }
    }
  }

  /** Gives one task to each worker that is tried again after failures, idempotent ones first. */
  #probe(now: Millis): void {
    const { health, table } = this.#state;
    for (const worker of health.probing) {
      const view = table.get(worker);
      if (view?.tasks === 0 && table.isOpen(worker, 'probing')) {
        const record = this.#probeTask(worker, view.capacity);
        if (record !== undefined) {
          this.#startOn(record, worker, now);
        }
      }
    }
  }

  #probeTask(worker: InstanceName, capacity: Resources): TaskRecord | undefined {
    const { queues, log, table, placement } = this.#state;
    for (const workClass of ['archive', 'normal'] as const) {
      const team = queues.firstTeam(workClass);
      const ids = team === undefined ? [] : queues.heads(workClass, team, LOOK_AHEAD).flat();
      for (const id of ids) {
        const record = log.get(id);
        const able =
          record?.task.idempotent === true &&
          !record.failedOn.includes(worker) &&
          fitsIn(placement.sizeOf(record.task), capacity) &&
          table.index.matches(worker, record.task.constraints);
        if (able) {
          return record;
        }
      }
    }
    return undefined;
  }

  #serveArchiveFloor(now: Millis): void {
    const due = Math.floor(this.#archiveDebt);
    if (due > 0) {
      this.#archiveDebt -= this.#serve('archive', due, now);
    }
    if (!this.#state.queues.hasWaiting('archive')) {
      this.#archiveDebt = 0;
    }
  }

  /** Starts up to `most` tasks of one class; returns how many. */
  #serve(workClass: WorkClass, most: number, now: Millis): number {
    const { queues } = this.#state;
    let started = 0;
    while (started < most && this.#budget > 0) {
      const team = queues.firstTeam(workClass);
      if (team === undefined) {
        break;
      }
      const served = this.#serveTeam(workClass, team, now);
      started += served === 'started' ? 1 : 0;
      if (served === 'blocked') {
        queues.park(workClass, team);
      }
    }
    return started;
  }

  #serveTeam(workClass: WorkClass, team: TeamName, now: Millis): Served {
    for (const lane of this.#state.queues.heads(workClass, team, LOOK_AHEAD)) {
      const served = this.#serveLane(lane, now);
      if (served !== 'blocked') {
        return served;
      }
    }
    return 'blocked';
  }

  #serveLane(ids: readonly TaskId[], now: Millis): Served {
    for (const [position, id] of ids.entries()) {
      const record = this.#state.log.get(id);
      if (record === undefined) {
        continue;
      }
      const served = this.#tryStart(record, position === 0, now);
      if (served !== 'blocked') {
        return served;
      }
      const since = this.#state.queues.since(record.task) ?? now;
      if (position === 0 && now - since > NO_PASSING_MS) {
        return 'blocked';
      }
    }
    return 'blocked';
  }

  #tryStart(record: TaskRecord, first: boolean, now: Millis): Served {
    const { placement, ledger } = this.#state;
    const { task } = record;
    const size = placement.sizeOf(task);
    if (!ledger.mayStart(task.team, ledger.chargeFor(task.team, task.resources, size))) {
      this.#waits.note(task.id, 'team-allowance', now);
      return 'blocked';
    }
    const worker = this.#find(record, size);
    if (worker !== undefined) {
      this.#start(record, worker, size, now);
      return 'started';
    }
    if (first) {
      return this.#makeRoom(record, size, now);
    }
    this.#waits.note(task.id, 'capacity', now);
    return 'blocked';
  }

  #makeRoom(record: TaskRecord, size: Resources, now: Millis): Served {
    const { task } = record;
    if (this.#claimBudget === 0 || !this.#maySearch(task.workClass)) {
      this.#waits.note(task.id, 'capacity', now);
      return 'blocked';
    }
    const since = this.#state.queues.since(task) ?? now;
    const worker = this.#rooms.makeRoom(record, size, since, now);
    this.#waits.note(task.id, worker === undefined ? 'capacity' : 'preemption', now);
    if (worker === undefined) {
      return 'blocked';
    }
    this.#claimBudget -= 1;
    return this.#startOn(record, worker, now) ? 'started' : 'claimed';
  }

  #maySearch(workClass: WorkClass): boolean {
    if (workClass !== 'urgent') {
      this.#searchBudget -= 1;
    }
    return workClass === 'urgent' || this.#searchBudget >= 0;
  }

  #startOn(record: TaskRecord, worker: InstanceName | undefined, now: Millis): boolean {
    const { placement, ledger, table } = this.#state;
    const { task } = record;
    if (worker === undefined || !isWaiting(record.state) || !table.isOpen(worker, 'probing')) {
      return false;
    }
    const size = placement.sizeOf(task);
    const charge = ledger.chargeFor(task.team, task.resources, size);
    if (!fitsIn(size, table.room(worker)) || !ledger.mayStart(task.team, charge)) {
      return false;
    }
    this.#rooms.drop(task.id);
    this.#start(record, worker, size, now);
    return true;
  }

  #start(record: TaskRecord, worker: InstanceName, size: Resources, now: Millis): void {
    this.#keeper.plan(record, worker, size, now);
    this.#waits.forget(record.task.id);
    this.#budget -= 1;
    if (record.task.workClass !== 'archive') {
      this.#archiveDebt += ARCHIVE_FLOOR;
    }
  }

  /** Skips the search when no smaller task with the same constraints found room in this round. */
  #find(record: TaskRecord, size: Resources): InstanceName | undefined {
    const kind = size.accelerators > 0 ? 'accelerated' : 'plain';
    const key = `${kind} ${constraintKey(record.task.constraints)}`;
    const failed = this.#failed.get(key) ?? [];
    if (failed.some((smaller) => fitsIn(smaller, size))) {
      return undefined;
    }
    const worker = this.#state.placement.find(record, size);
    if (worker === undefined && record.failedOn.length === 0) {
      this.#failed.set(key, [...failed, size]);
    }
    return worker;
  }
}
