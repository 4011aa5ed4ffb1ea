import type { Millis } from '@turmerichoist/core';
import type { PublishedCounts } from './bulletin.js';

/** Tells an owner which inputs of the waiting counts it has handled. Posted behind the input. */
export type CountInput =
  /** All jobs stored before `sentAt`, the monotonic time of a read's send, have been handled. */
  | { readonly type: 'jobs-applied'; readonly sentAt: Millis }
  | { readonly type: 'config-applied'; readonly revision: number };

/** Knows how old the inputs of the leader's waiting counts are. */
export class CountInputs {
  #jobsReadAt: Millis | undefined;
  #revision: number | undefined;
  #incomplete = false;

  apply(input: CountInput): void {
    if (input.type === 'jobs-applied') {
      this.#jobsReadAt = input.sentAt;
    } else {
      this.#revision = input.revision;
    }
  }

  /** Records that stored jobs were not handled, so that later counts would leave them out. */
  markIncomplete(): void {
    this.#incomplete = true;
  }

  /** Returns the counts as to be published at `now`; undefined if they would leave jobs out. */
  publish(counts: ReadonlyMap<string, number>, now: Millis): PublishedCounts | undefined {
    if (this.#jobsReadAt === undefined || this.#revision === undefined || this.#incomplete) {
      return undefined;
    }
    const ageMs = Math.ceil(now - this.#jobsReadAt);
    return { byQueue: Object.fromEntries(counts), ageMs, revision: this.#revision };
  }
}
