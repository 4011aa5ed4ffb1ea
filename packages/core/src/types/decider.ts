import type { Millis } from './clock.js';

/**
 * Interface of all decision modules: takes an event and a clock reading, returns decisions.
 * Deciders perform no I/O, so recorded events can be replayed through them.
 */
export interface Decider<E, D> {
  handle(event: E, now: Millis): readonly D[];
}
