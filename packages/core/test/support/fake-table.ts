import type {
  Millis,
  SeededRandom,
  TaskDecision,
  TaskEvent,
  TaskLogEvent,
} from '@turmerichoist/core';
import type { Member } from './fake-member.js';

export type StoreMode = 'up' | 'down' | 'loses-answers' | 'slow';

type Append = Extract<TaskDecision, { type: 'append' }>;

/** In-memory store rows of one pool: its owner and its task log. */
export class FakeTable {
  readonly batches: (readonly TaskLogEvent[])[] = [];
  /** Time at which the cancellation of each task became durable. */
  readonly cancelledAt = new Map<string, Millis>();
  owner: { member: string; epoch: number; beatAt: Millis };
  mode: StoreMode = 'up';
  readonly #random: SeededRandom;

  constructor(random: SeededRandom, beatAt: Millis) {
    this.#random = random;
    this.owner = { member: '', epoch: 0, beatAt };
  }

  events(): readonly TaskLogEvent[] {
    return this.batches.flat();
  }

  /** Writes one batch, conditional on the owner's epoch. The reply may be lost. */
  write(member: Member, { epoch, batch, events }: Append, now: Millis): TaskEvent {
    if (member.partitioned || this.mode === 'down') {
      return { type: 'append-rejected', epoch, batch, cause: 'unavailable' };
    }
    if (this.owner.member !== member.name || this.owner.epoch !== epoch) {
      return { type: 'append-rejected', epoch, batch, cause: 'not-owner' };
    }
    const lost = this.mode === 'loses-answers' && this.#random.nextInt(2) === 0;
    if (lost && this.#random.nextInt(2) === 0) {
      return { type: 'append-unknown', epoch, batch };
    }
    if (this.batches[batch] === undefined) {
      this.batches[batch] = events;
      this.#recordCancelled(events, now);
    }
    return { type: lost ? 'append-unknown' : 'append-confirmed', epoch, batch };
  }

  #recordCancelled(events: readonly TaskLogEvent[], now: Millis): void {
    for (const event of events) {
      if (event.type === 'ended' && event.state === 'cancelled') {
        this.cancelledAt.set(event.id, now);
      }
    }
  }
}
