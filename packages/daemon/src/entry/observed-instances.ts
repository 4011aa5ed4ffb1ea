import type { InstanceList, ListedInstance } from '@turmerichoist/coordination';
import type { AppError, Result } from '@turmerichoist/core';

/** Passes each list that is read on to an observer as well. */
export class ObservedInstances implements InstanceList {
  readonly #list: InstanceList;
  readonly #observe: (instances: readonly ListedInstance[]) => void;

  constructor(list: InstanceList, observe: (instances: readonly ListedInstance[]) => void) {
    this.#list = list;
    this.#observe = observe;
  }

  async instances(signal: AbortSignal): Promise<Result<readonly ListedInstance[], AppError>> {
    const read = await this.#list.instances(signal);
    if (read.isOk()) {
      this.#observe(read.value);
    }
    return read;
  }
}
