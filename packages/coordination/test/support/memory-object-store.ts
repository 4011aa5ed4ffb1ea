import { Ok, fail, type AppError, type Result } from '@turmerichoist/core';
import type { ObjectStore } from '@turmerichoist/coordination';

/** In-memory object store. While `down` is set, every call fails. */
export class MemoryObjectStore implements ObjectStore {
  readonly objects = new Map<string, Uint8Array>();
  down = false;

  put(name: string, bytes: Uint8Array): Promise<Result<void, AppError>> {
    return this.#respond(() => {
      this.objects.set(name, bytes);
      return Ok(undefined);
    });
  }

  get(name: string): Promise<Result<Uint8Array, AppError>> {
    return this.#respond(() => {
      const bytes = this.objects.get(name);
      return bytes === undefined ? fail('not-found', name) : Ok(bytes);
    });
  }

  remove(name: string): Promise<Result<void, AppError>> {
    return this.#respond(() => {
      this.objects.delete(name);
      return Ok(undefined);
    });
  }

  list(prefix: string): Promise<Result<readonly string[], AppError>> {
    return this.#respond(() =>
      Ok([...this.objects.keys()].filter((key) => key.startsWith(prefix))),
    );
  }

  #respond<T>(run: () => Result<T, AppError>): Promise<Result<T, AppError>> {
    return Promise.resolve(this.down ? fail('store-unavailable') : run());
  }
}
