import type { TaskDecision } from './messages.js';

/** Collects the decisions made while one event is handled. */
export class Outbox {
  #decisions: TaskDecision[] = [];

  push(decision: TaskDecision): void {
    this.#decisions.push(decision);
  }

  drain(): readonly TaskDecision[] {
    const decisions = this.#decisions;
    this.#decisions = [];
    return decisions;
  }
}
