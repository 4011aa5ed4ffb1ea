import type { Configuration, UpstreamSpec } from '../resources/index.js';
import type { Millis, PoolName, UpstreamName } from '../types/index.js';
import { Executor, type ExecutorPlace } from './executor.js';
import type { AttemptResult, LoadReport } from './messages.js';

/** Largest part of a pool that may be ejected, so that a wave of bad requests can't empty it. */
export const MAX_EJECTED_PART = 0.5;

/** The executors of all pools. */
export class ExecutorTable {
  readonly #executors = new Map<UpstreamName, Executor>();
  #pools: ReadonlyMap<PoolName, readonly Executor[]> = new Map();

  configure(cfg: Configuration): void {
    for (const executor of this.#executors.values()) {
      executor.place = undefined;
    }
    for (const upstream of cfg.list('upstream')) {
      this.#executor(upstream.name).place = placeOf(upstream.spec, cfg);
    }
    this.#forgetRemoved();
    this.#pools = this.#groupByPool();
  }

  setSignal(name: UpstreamName, signal: Executor['signal']): void {
    this.#executor(name).signal = signal;
  }

  /** Executors of the pool that the configuration names. */
  ofPool(pool: PoolName): readonly Executor[] {
    return this.#pools.get(pool) ?? [];
  }

  /** Slots of all executors of the pool that are in service. */
  slots(pool: PoolName): number {
    return this.ofPool(pool).reduce((sum, each) => sum + (each.inService ? each.slots : 0), 0);
  }

  started(name: UpstreamName): void {
    this.#executor(name).outstanding += 1;
  }

  /** `blameless` attempts say nothing about the executor, for example when the caller left. */
  ended(name: UpstreamName, result: AttemptResult['type'], blameless: boolean, now: Millis): void {
    const executor = this.#executor(name);
    executor.outstanding -= 1;
    if (!blameless) {
      this.#judge(executor, result, now);
    }
  }

  report(name: UpstreamName, load: LoadReport, now: Millis): void {
    this.#executor(name).report(load, now);
  }

  #judge(executor: Executor, result: AttemptResult['type'], now: Millis): void {
    if (result === 'answered') {
      executor.health.succeeded();
      return;
    }
    if (result === 'refused' || result === 'not-sent') {
      executor.health.refused(now);
    }
    if (result !== 'refused') {
      executor.health.failed(now, this.#mayEjectOneMore(executor));
    }
  }

  #mayEjectOneMore(executor: Executor): boolean {
    const pool = this.ofPool(executor.place?.pool ?? '');
    const ejected = pool.filter((each) => each.health.ejected).length;
    return ejected + 1 <= pool.length * MAX_EJECTED_PART;
  }

  #executor(name: UpstreamName): Executor {
    const known = this.#executors.get(name);
    if (known !== undefined) {
      return known;
    }
    const executor = new Executor(name);
    this.#executors.set(name, executor);
    return executor;
  }

  #forgetRemoved(): void {
    for (const [name, executor] of this.#executors) {
      if (executor.place === undefined && executor.outstanding === 0) {
        this.#executors.delete(name);
      }
    }
  }

  #groupByPool(): ReadonlyMap<PoolName, readonly Executor[]> {
    const pools = new Map<PoolName, Executor[]>();
    const byName = [...this.#executors.values()].sort((a, b) => (a.name < b.name ? -1 : 1));
    for (const executor of byName) {
      if (executor.place !== undefined) {
        const pool = pools.get(executor.place.pool) ?? [];
        pool.push(executor);
        pools.set(executor.place.pool, pool);
      }
    }
    for (const pool of pools.values()) {
      pool.forEach((executor, at) => {
        executor.phase = at / pool.length;
      });
    }
    return pools;
  }
}

function placeOf(spec: UpstreamSpec, cfg: Configuration): ExecutorPlace {
  const zoneIn = cfg.spec('zone', spec.zone)?.state !== 'out';
  const { pool, zone, slots } = spec;
  return { pool, zone, slots, inService: !spec.leaving && zoneIn };
}
