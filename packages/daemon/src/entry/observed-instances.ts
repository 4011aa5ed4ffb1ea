import type { InstanceList, ListedInstance } from '@turmerichoist/coordination';
import type { AppError, Result } from '@turmerichoist/core';

/** An instance list that also passes each list it reads to an observer. */
export class ObservedInstanceList implements InstanceList {
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
