import type { Millis } from './clock.js';

/**
 * Form of every decision module: an event and a clock reading in, decisions out.
 * A decider does no input or output, so recorded events can drive it as well as live ones.
 */
export interface Decider<E, D> {
  handle(event: E, now: Millis): readonly D[];
}
