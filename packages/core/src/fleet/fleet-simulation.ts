import type { Configuration } from '../resources/index.js';
import type { InstanceName, Millis, PoolName } from '../types/index.js';
import type { FleetDecider } from './fleet-decider.js';
import type { FleetDecision, FleetEvent } from './messages.js';
import type { DisruptionDurations } from './plan-bound.js';
import { rowKey, type FleetTransaction, type RowKey, type StoredRow } from './rows.js';

export interface FleetSimulationOptions extends DisruptionDurations {
  readonly cfg: Configuration;
  readonly decider: FleetDecider;
  readonly tickMs: Millis;
  /** Wall-clock time at which the simulation starts. */
  readonly startWallMs: Millis;
  /** Time that a transaction takes to commit. */
  readonly commitMs: Millis;
  /** Drain time of an instance; `drainMs` if undefined. */
  readonly drainMsOf?: (instance: InstanceName) => Millis;
  readonly onDecision?: (decision: FleetDecision, now: Millis) => void;
}

interface ScheduledCallback {
  readonly at: Millis;
  readonly order: number;
  readonly run: () => void;
}

interface SimulatedInstance {
  readonly up: boolean;
  readonly boot: number;
  readonly failed: boolean;
}

const OWNER_EPOCH = 1;

/**
 * Runs one decider that owns every pool on a virtual clock. Instances drain and reboot in a given
 * time, and every transaction commits. Used for dry runs and measurements. Deterministic.
 */
export class FleetSimulation {
  readonly #options: FleetSimulationOptions;
  readonly #rows = new Map<RowKey, StoredRow>();
  readonly #instances = new Map<InstanceName, SimulatedInstance>();
  readonly #eventQueue: ScheduledCallback[] = [];
  #cfg: Configuration;
  #now: Millis = 0;
  #lastOrder = 0;

  constructor(options: FleetSimulationOptions) {
    this.#options = options;
    this.#cfg = options.cfg;
  }

  get now(): Millis {
    return this.#now;
  }

  get cfg(): Configuration {
    return this.#cfg;
  }

  /** Delivers the configuration, the state of every instance, and ownership of every pool. */
  start(): void {
    this.deliver({ type: 'config-changed', cfg: this.#cfg });
    for (const { name } of this.#cfg.list('instance')) {
      this.#instances.set(name, { up: true, boot: 1, failed: false });
      this.deliver({ type: 'instance-seen', instance: name, state: 'up', boot: 1 });
    }
    for (const { name } of this.#cfg.list('pool')) {
      const fence = { role: name, epoch: OWNER_EPOCH };
      this.deliver({ type: 'ownership-gained', fence, rows: [] });
    }
    this.#tick();
  }

  isUp(name: InstanceName): boolean {
    return this.#instances.get(name)?.up ?? false;
  }

  deliver(event: FleetEvent): void {
    for (const decision of this.#options.decider.handle(event, this.#now)) {
      this.#options.onDecision?.(decision, this.#now);
      this.#execute(decision);
    }
  }

  configure(cfg: Configuration): void {
    this.#cfg = cfg;
    this.deliver({ type: 'config-changed', cfg });
  }

  /** Schedules `run` at a virtual time. Callbacks with equal times run in call order. */
  at(time: Millis, run: () => void): void {
    const scheduled = { at: time, order: (this.#lastOrder += 1), run };
    let index = this.#eventQueue.length;
    while (index > 0 && isBefore(scheduled, this.#eventQueue[index - 1])) {
      index -= 1;
    }
    this.#eventQueue.splice(index, 0, scheduled);
  }

  /** Fails an instance, which comes up again with a new boot after `forMs`. */
  fail(name: InstanceName, forMs: Millis): void {
    const instance = this.#instances.get(name);
    if (instance === undefined || instance.failed) {
      return;
    }
    this.#instances.set(name, { ...instance, up: false, failed: true });
    this.#reportState(name, 'down');
    this.at(this.#now + forMs, () => {
      this.#finishBoot(name);
    });
  }

  /** Runs scheduled callbacks until `isDone` holds or the next one is later than `until`. */
  run(until: Millis, isDone: () => boolean = () => false): void {
    for (;;) {
      const next = this.#eventQueue[0];
      if (next === undefined || next.at > until || isDone()) {
        return;
      }
      this.#eventQueue.shift();
      this.#now = next.at;
      next.run();
    }
  }

  #tick(): void {
    this.deliver({ type: 'tick', wallMs: this.#options.startWallMs + this.#now });
    this.at(this.#now + this.#options.tickMs, () => {
      this.#tick();
    });
  }

  #execute(decision: FleetDecision): void {
    switch (decision.type) {
      case 'change-budget':
      case 'record-progress':
      case 'move-instances':
        this.#scheduleAfter(this.#options.commitMs, () => {
          this.#commit(decision.txn);
        });
        return;
      case 'drain':
        this.#drain(decision.instance, decision.fence.role);
        return;
      case 'reboot':
        this.#reboot(decision.instance);
        return;
      case 'cordon':
      case 'wait':
        return;
    }
  }

  #drain(instance: InstanceName, role: PoolName): void {
    const drainMs = this.#options.drainMsOf?.(instance) ?? this.#options.drainMs;
    this.#scheduleAfter(drainMs, () => {
      const fence = { role, epoch: OWNER_EPOCH };
      this.deliver({ type: 'drain-finished', instance, fence });
    });
  }

  #reboot(name: InstanceName): void {
    const instance = this.#instances.get(name);
    if (instance?.up !== true) {
      return;
    }
    this.#instances.set(name, { ...instance, up: false });
    this.#reportState(name, 'down');
    this.#scheduleAfter(this.#options.rebootMs, () => {
      if (this.#instances.get(name)?.failed === false) {
        this.#finishBoot(name);
      }
    });
  }

  #finishBoot(name: InstanceName): void {
    const boot = (this.#instances.get(name)?.boot ?? 0) + 1;
    this.#instances.set(name, { up: true, boot, failed: false });
    this.#reportState(name, 'rebooted');
  }

  #reportState(instance: InstanceName, state: 'down' | 'rebooted'): void {
    const boot = this.#instances.get(instance)?.boot ?? 0;
    this.deliver({ type: 'instance-seen', instance, state, boot });
  }

  #commit(txn: FleetTransaction): void {
    const rows = txn.writes.map((write): StoredRow => {
      const version = (this.#rows.get(rowKey(write))?.version ?? 0) + 1;
      return write.kind === 'budget' ? { ...write, version } : { ...write, version };
    });
    for (const row of rows) {
      this.#rows.set(rowKey(row), row);
    }
    this.#applyPoolChanges(txn);
    this.deliver({ type: 'transaction-committed', id: txn.id, rows });
  }

  #applyPoolChanges({ poolChanges }: FleetTransaction): void {
    const revision = this.#cfg.revision + 1;
    const changes = poolChanges.flatMap(({ instance, to }) => {
      const resource = this.#cfg.get('instance', instance);
      return resource === undefined
        ? []
        : [{ ...resource, version: revision, spec: { ...resource.spec, pool: to } }];
    });
    if (changes.length > 0) {
      const puts = changes.map((resource) => ({ op: 'put', resource }) as const);
      this.configure(this.#cfg.with(revision, puts));
    }
  }

  #scheduleAfter(delay: Millis, run: () => void): void {
    this.at(this.#now + delay, run);
  }
}

function isBefore(a: ScheduledCallback, b: ScheduledCallback | undefined): boolean {
  return b !== undefined && (a.at < b.at || (a.at === b.at && a.order < b.order));
}
