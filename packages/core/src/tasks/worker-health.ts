import type { InstanceName, Millis, ZoneName } from '../types/index.js';
import type { TaskSpec } from './model.js';
import { commandKey } from './usage-estimator.js';
import { DueQueue } from './due-queue.js';
import type { WorkerTable } from './worker-table.js';

/** Consecutive failures, each of a different task, after which a worker is quarantined. */
const FAILURES_TO_QUARANTINE = 3;
/**
 * Number of other workers on which a command must have failed, without a success, to be blamed
 * itself.
 */
const WORKERS_TO_BLAME_COMMAND = 2;
/** Fraction of the workers of a zone that may be quarantined at once. */
const MAX_QUARANTINED_FRACTION = 0.25;
const MIN_PROBE_DELAY_MS = 30_000;
const MAX_PROBE_DELAY_MS = 600_000;
/** Number of commands whose failures are retained. */
const MAX_COMMANDS = 10_000;

interface WorkerRecord {
  failures: number;
  readonly commands: Set<string>;
  probeDelayMs: Millis;
}

interface CommandRecord {
  /** Workers on which it failed since its last success. */
  readonly failedOn: Set<InstanceName>;
  /** Worker of its last success. */
  succeededOn: InstanceName | undefined;
}

/**
 * Distinguishes faulty workers from faulty commands. A worker is quarantined after a few
 * consecutive failures of different commands, or of one command that succeeds elsewhere. A failure
 * is attributed to the command instead once the command has failed on several other workers. After
 * a delay that doubles with each failed probe, a quarantined worker gets one task at a time until
 * one succeeds.
 */
export class WorkerHealth {
  readonly #table: WorkerTable;
  readonly #workers = new Map<InstanceName, WorkerRecord>();
  readonly #commands = new Map<string, CommandRecord>();
  readonly #quarantined = new Map<InstanceName, ZoneName>();
  readonly #probeTimes = new DueQueue<InstanceName>();
  readonly #probing = new Set<InstanceName>();

  constructor(table: WorkerTable) {
    this.#table = table;
  }

  /** Workers due for a probe: a single task that shows whether they work again. */
  get probing(): ReadonlySet<InstanceName> {
    return this.#probing;
  }

  isQuarantined(worker: InstanceName): boolean {
    return this.#quarantined.has(worker);
  }

  succeeded(worker: InstanceName, task: TaskSpec): void {
    const command = this.#command(task);
    command.failedOn.clear();
    command.succeededOn = worker;
    this.#workers.delete(worker);
    this.#quarantined.delete(worker);
    this.#probing.delete(worker);
    this.#probeTimes.remove(worker);
    this.#table.setHold(worker, 'quarantined', false);
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
      probeDelayMs: MIN_PROBE_DELAY_MS,
    };
    this.#workers.set(worker, record);
    record.failures += 1;
    record.commands.add(commandKey(task));
    if (this.#probing.has(worker)) {
      record.probeDelayMs = Math.min(MAX_PROBE_DELAY_MS, record.probeDelayMs * 2);
      this.#quarantine(worker, record, now);
    } else if (this.#isFaulty(worker, record, command)) {
      this.#quarantine(worker, record, now);
    }
  }

  /** Lets quarantined workers take one task once their probe delay has passed. */
  tick(now: Millis): void {
    const due = this.#probeTimes;
    for (let worker = due.takeDue(now); worker !== undefined; worker = due.takeDue(now)) {
      this.#probing.add(worker);
      this.#table.setHold(worker, 'probing', true);
      this.#table.setHold(worker, 'quarantined', false);
    }
  }

  /** Removes the state of workers that have left the pool. */
  forgetRemovedWorkers(): void {
    for (const worker of [...this.#workers.keys(), ...this.#quarantined.keys()]) {
      if (this.#table.get(worker) === undefined) {
        this.#workers.delete(worker);
        this.#quarantined.delete(worker);
        this.#probing.delete(worker);
        this.#probeTimes.remove(worker);
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
      record.failures >= FAILURES_TO_QUARANTINE && (record.commands.size > 1 || succeedsElsewhere)
    );
  }

  #quarantine(worker: InstanceName, record: WorkerRecord, now: Millis): void {
    const zone = this.#table.get(worker)?.zone;
    if (zone === undefined || (!this.#quarantined.has(worker) && !this.#zoneAllows(zone))) {
      return;
    }
    this.#quarantined.set(worker, zone);
    this.#probing.delete(worker);
    this.#table.setHold(worker, 'quarantined', true);
    this.#table.setHold(worker, 'probing', false);
    this.#probeTimes.set(worker, now + record.probeDelayMs);
  }

  #zoneAllows(zone: ZoneName): boolean {
    const workers = this.#table.workersIn(zone);
    const quarantined = [...this.#quarantined.values()].filter((other) => other === zone).length;
    const limit = workers < 2 ? 0 : Math.max(1, Math.floor(workers * MAX_QUARANTINED_FRACTION));
    return quarantined < limit;
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
