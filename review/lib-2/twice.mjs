/** The rule TWICE: no start of a task after a run of it has ended `done` and that end was noted. */
export class DoneTasks {
  #done = new Map();
  #restarted = new Set();
  /** Tasks that were started after such an end. */
  broken = new Set();
  #record;

  constructor(world) {
    this.#record = world.record;
    world.listeners.push((event) => {
      this.#onEvent(event);
    });
  }

  /** Number of tasks whose end `done` has been taken note of. */
  get noted() {
    return [...this.#done.values()].filter(Boolean).length;
  }

  #onEvent({ type, task, how }) {
    if (type === 'end' && how === 'done') {
      this.#done.set(task, this.#done.get(task) ?? false);
    } else if (type === 'acked' && how === 'done') {
      this.#done.set(task, true);
      this.#judge(task);
    } else if (type === 'start' && this.#done.has(task)) {
      this.#restarted.add(task);
      this.#judge(task);
    }
  }

  #judge(task) {
    if (this.#done.get(task) && this.#restarted.has(task) && !this.broken.has(task)) {
      this.broken.add(task);
      this.#record.line(`TWICE broken: ${task} was started after an end done that was noted`);
    }
  }
}
