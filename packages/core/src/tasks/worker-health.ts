import type { InstanceName, Millis, ZoneName } from '../types/index.js';
import type { TaskSpec } from './model.js';
import { commandKey } from './usage-estimator.js';
import { DueQueue } from './due-queue.js';
import type { WorkerTable } from './worker-table.js';

/** Failures in a row, each of another task, after which a worker is set aside. */
const FAILURES_TO_SET_ASIDE = 3;
/** Other workers on which a command must have failed, without a success, to take the blame itself. */
const WORKERS_TO_BLAME_COMMAND = 2;
/** Part of the workers of a zone that may be set aside at once. */
const MAX_PART_OF_ZONE = 0.25;
const FIRST_RETRY_MS = 30_000;
const LONGEST_RETRY_MS = 600_000;
/** Commands whose failures are remembered. */
const MAX_COMMANDS = 10_000;

interface WorkerRecord {
  failures: number;
  readonly commands: Set<string>;
  retryMs: Millis;
}

interface CommandRecord {
  /** Workers on which it failed since its last success. */
  readonly failedOn: Set<InstanceName>;
  /** A worker on which it succeeded last. */
  succeededOn: InstanceName | undefined;
}

/**
 * Tells a worker that fails everything from a task that fails everywhere. A worker is set aside after
 * a few failures in a row of different commands, or of one command that succeeds elsewhere. A failure
 * counts against the command instead once it has failed on several other workers. After a growing
 * time, a worker that was set aside gets one task at a time until one succeeds.
 */
export class WorkerHealth {
  readonly #table: WorkerTable;
  readonly #workers = new Map<InstanceName, WorkerRecord>();
  readonly #commands = new Map<string, CommandRecord>();
  readonly #aside = new Map<InstanceName, ZoneName>();
  readonly #retries = new DueQueue<InstanceName>();
  readonly #probing = new Set<InstanceName>();

  constructor(table: WorkerTable) {
    this.#table = table;
  }

  /** Workers that wait for their one task. */
  get probing(): ReadonlySet<InstanceName> {
    return this.#probing;
  }

  isSetAside(worker: InstanceName): boolean {
    return this.#aside.has(worker);
  }

  succeeded(worker: InstanceName, task: TaskSpec): void {
    const command = this.#command(task);
    command.failedOn.clear();
    command.succeededOn = worker;
    this.#workers.delete(worker);
    this.#aside.delete(worker);
    this.#probing.delete(worker);
    this.#retries.remove(worker);
    this.#table.setHold(worker, 'set-aside', false);
    this.#table.setHold(worker, 'probing', false);
  }

  failed(worker: InstanceName, task: TaskSpec, now: Millis): void {
    const command = this.#command(task);
    command.failedOn.add(worker);
    if (this.#blamesCommand(command, worker)) {
      return;
    }
    const record = this.#workers.get(worker) ?? {
      failures: 0,
      commands: new Set(),
      retryMs: FIRST_RETRY_MS,
    };
    this.#workers.set(worker, record);
    record.failures += 1;
    record.commands.add(commandKey(task));
    if (this.#probing.has(worker)) {
      record.retryMs = Math.min(LONGEST_RETRY_MS, record.retryMs * 2);
      this.#setAside(worker, record, now);
    } else if (this.#isFaulty(worker, record, command)) {
      this.#setAside(worker, record, now);
    }
  }

  /** Lets workers whose time has come take one task. */
  tick(now: Millis): void {
    const due = this.#retries;
    for (let worker = due.takeDue(now); worker !== undefined; worker = due.takeDue(now)) {
      this.#probing.add(worker);
      this.#table.setHold(worker, 'probing', true);
      this.#table.setHold(worker, 'set-aside', false);
    }
  }

  /** Forgets workers that have left the pool. */
  forgetGone(): void {
    for (const worker of [...this.#workers.keys(), ...this.#aside.keys()]) {
      if (this.#table.get(worker) === undefined) {
        this.#workers.delete(worker);
        this.#aside.delete(worker);
        this.#probing.delete(worker);
        this.#retries.remove(worker);
      }
    }
  }

  #blamesCommand(command: CommandRecord, worker: InstanceName): boolean {
    const others = command.failedOn.size - (command.failedOn.has(worker) ? 1 : 0);
    return others >= WORKERS_TO_BLAME_COMMAND;
  }

  #isFaulty(worker: InstanceName, record: WorkerRecord, command: CommandRecord): boolean {
    const succeedsElsewhere = command.succeededOn !== undefined && command.succeededOn !== worker;
    return (
      record.failures >= FAILURES_TO_SET_ASIDE && (record.commands.size > 1 || succeedsElsewhere)
    );
  }

  #setAside(worker: InstanceName, record: WorkerRecord, now: Millis): void {
    const zone = this.#table.get(worker)?.zone;
    if (zone === undefined || (!this.#aside.has(worker) && !this.#zoneAllows(zone))) {
      return;
    }
    this.#aside.set(worker, zone);
    this.#probing.delete(worker);
    this.#table.setHold(worker, 'set-aside', true);
    this.#table.setHold(worker, 'probing', false);
    this.#retries.set(worker, now + record.retryMs);
  }

  #zoneAllows(zone: ZoneName): boolean {
    const workers = this.#table.workersIn(zone);
    const aside = [...this.#aside.values()].filter((other) => other === zone).length;
    const most = workers < 2 ? 0 : Math.max(1, Math.floor(workers * MAX_PART_OF_ZONE));
    return aside < most;
  }

  #command(task: TaskSpec): CommandRecord {
    const key = commandKey(task);
    const record = this.#commands.get(key) ?? { failedOn: new Set(), succeededOn: undefined };
    this.#commands.delete(key);
    this.#commands.set(key, record);
    if (this.#commands.size > MAX_COMMANDS) {
      const [oldest = key] = this.#commands.keys();
      this.#commands.delete(oldest);
    }
    return record;
  }
}
