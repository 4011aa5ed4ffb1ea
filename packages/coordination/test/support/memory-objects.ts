import { Ok, fail, type AppError, type Result } from '@turmerichoist/core';
import type { ObjectStore } from '@turmerichoist/coordination';

/** An object store in memory. `down` makes every call fail. */
export class MemoryObjects implements ObjectStore {
  readonly objects = new Map<string, Uint8Array>();
  down = false;

  put(name: string, bytes: Uint8Array): Promise<Result<void, AppError>> {
    return this.#answer(() => {
      this.objects.set(name, bytes);
      return Ok(undefined);
    });
  }

  get(name: string): Promise<Result<Uint8Array, AppError>> {
    return this.#answer(() => {
      const bytes = this.objects.get(name);
      return bytes === undefined ? fail('not-found', name) : Ok(bytes);
    });
  }

  remove(name: string): Promise<Result<void, AppError>> {
    return this.#answer(() => {
      this.objects.delete(name);
      return Ok(undefined);
    });
  }

  list(prefix: string): Promise<Result<readonly string[], AppError>> {
    return this.#answer(() => Ok([...this.objects.keys()].filter((key) => key.startsWith(prefix))));
  }

  #answer<T>(run: () => Result<T, AppError>): Promise<Result<T, AppError>> {
    return Promise.resolve(this.down ? fail('store-unavailable') : run());
  }
}
