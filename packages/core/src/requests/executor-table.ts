import type { Configuration, UpstreamSpec } from '../resources/index.js';
import type { Millis, PoolName, UpstreamName } from '../types/index.js';
import { Executor, type ExecutorConfig } from './executor.js';
import type { AttemptResult, LoadReport } from './messages.js';

/**
 * Maximum fraction of a pool that may be ejected, so that a burst of bad requests cannot empty it.
 */
const MAX_EJECTED_RATIO = 0.5;

/** The known executors, grouped by pool. */
export class ExecutorTable {
  readonly #executors = new Map<UpstreamName, Executor>();
  #pools: ReadonlyMap<PoolName, readonly Executor[]> = new Map();

  configure(cfg: Configuration): void {
    for (const executor of this.#executors.values()) {
      executor.config = undefined;
    }
    for (const upstream of cfg.list('upstream')) {
      this.#getOrCreate(upstream.name).config = executorConfig(upstream.spec, cfg);
    }
    this.#deleteRemoved();
    this.#pools = this.#groupByPool();
  }

  setReportedState(name: UpstreamName, state: Executor['reportedState']): void {
    this.#getOrCreate(name).reportedState = state;
  }

  /** Configured executors of the pool, sorted by name. */
  inPool(pool: PoolName): readonly Executor[] {
    return this.#pools.get(pool) ?? [];
  }

  /** Total slots of the executors of the pool that are in service. */
  slotsInService(pool: PoolName): number {
    return this.inPool(pool).reduce((sum, each) => sum + (each.inService ? each.slots : 0), 0);
  }

  attemptStarted(name: UpstreamName): void {
    this.#getOrCreate(name).outstanding += 1;
  }

  /** `inconclusive` attempts do not affect health, for example when the caller disconnected. */
  attemptEnded(
    name: UpstreamName,
    result: AttemptResult['type'],
    inconclusive: boolean,
    now: Millis,
  ): void {
    const executor = this.#getOrCreate(name);
    executor.outstanding -= 1;
    if (!inconclusive && result !== 'silent') {
      this.#updateHealth(executor, result, now);
    }
  }

  recordLoad(name: UpstreamName, load: LoadReport, now: Millis): void {
    this.#getOrCreate(name).recordLoad(load, now);
  }

  #updateHealth(executor: Executor, result: AttemptResult['type'], now: Millis): void {
    if (result === 'answered') {
      executor.health.recordSuccess();
      return;
    }
    if (result === 'refused' || result === 'not-sent') {
      executor.health.recordRefusal(now);
    }
    if (result !== 'refused') {
      executor.health.recordFailure(now, this.#canEjectOneMore(executor));
    }
  }

  #canEjectOneMore(executor: Executor): boolean {
    const pool = this.inPool(executor.config?.pool ?? '');
    const ejected = pool.filter((each) => each.health.isEjected).length;
    return ejected + 1 <= pool.length * MAX_EJECTED_RATIO;
  }

  #getOrCreate(name: UpstreamName): Executor {
    const existing = this.#executors.get(name);
    if (existing !== undefined) {
      return existing;
    }
    const executor = new Executor(name);
    this.#executors.set(name, executor);
    return executor;
  }

  #deleteRemoved(): void {
    for (const [name, executor] of this.#executors) {
      if (executor.config === undefined && executor.outstanding === 0) {
        this.#executors.delete(name);
      }
    }
  }

  #groupByPool(): ReadonlyMap<PoolName, readonly Executor[]> {
    const pools = new Map<PoolName, Executor[]>();
    const byName = [...this.#executors.values()].sort((a, b) => (a.name < b.name ? -1 : 1));
    for (const executor of byName) {
      if (executor.config !== undefined) {
        const pool = pools.get(executor.config.pool) ?? [];
        pool.push(executor);
        pools.set(executor.config.pool, pool);
      }
    }
    for (const pool of pools.values()) {
      pool.forEach((executor, at) => {
        executor.roundingPhase = at / pool.length;
      });
    }
    return pools;
  }
}

function executorConfig(spec: UpstreamSpec, cfg: Configuration): ExecutorConfig {
  const zoneIn = cfg.spec('zone', spec.zone)?.state !== 'out';
  const { pool, zone, slots } = spec;
  return { pool, zone, slots, inService: !spec.leaving && zoneIn };
}
