import type { ExecutorInfo } from '@turmerichoist/core';
import type { RowChange } from '@turmerichoist/coordination';
import type { RowCodec } from './ports.js';

/** The executors that are registered in the platform's table. */
export class ExecutorRegistry {
  readonly #codec: RowCodec;
  readonly #executors = new Map<string, ExecutorInfo>();

  constructor(codec: RowCodec) {
    this.#codec = codec;
  }

  /** Applies changes of the table. Returns all executors, or undefined if none has changed. */
  apply(rows: readonly RowChange[], snapshot: boolean): readonly ExecutorInfo[] | undefined {
    const before = JSON.stringify([...this.#executors]);
    if (snapshot) {
      this.#executors.clear();
    }
    for (const row of rows) {
      const info = row.value === undefined ? undefined : this.#codec.executor(row);
      if (info !== undefined) {
        this.#executors.set(row.key, info);
      } else {
        this.#executors.delete(row.key);
      }
    }
    const changed = JSON.stringify([...this.#executors]) !== before;
    return changed ? [...this.#executors.values()] : undefined;
  }
}
