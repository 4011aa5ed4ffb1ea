import type { Millis } from '../types/index.js';

interface Entry<K> {
  readonly key: K;
  readonly at: Millis;
}

/**
 * Keys in order of their due time, each with one time at most: setting a key again replaces its time.
 * Replaced entries stay in the heap and are skipped when they come up.
 */
export class DueQueue<K> {
  readonly #heap: Entry<K>[] = [];
  readonly #times = new Map<K, Millis>();

  set(key: K, at: Millis): void {
    if (this.#times.get(key) === at) {
      return;
    }
    this.#times.set(key, at);
    this.#push({ key, at });
  }

  /** Sets the time of a key that has none. */
  setIfAbsent(key: K, at: Millis): void {
    if (!this.#times.has(key)) {
      this.set(key, at);
    }
  }

  remove(key: K): void {
    this.#times.delete(key);
  }

  /** Removes and returns one key whose time has come. */
  takeDue(now: Millis): K | undefined {
    for (let top = this.#heap[0]; top !== undefined && top.at <= now; top = this.#heap[0]) {
      this.#pop();
      if (this.#times.get(top.key) === top.at) {
        this.#times.delete(top.key);
        return top.key;
      }
    }
    return undefined;
  }

  #push(entry: Entry<K>): void {
    const heap = this.#heap;
    let index = heap.length;
    heap.push(entry);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const above = heap[parent];
      if (above === undefined || above.at <= entry.at) {
        break;
      }
      heap[index] = above;
      index = parent;
    }
    heap[index] = entry;
  }

  #pop(): void {
    const heap = this.#heap;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) {
      return;
    }
    let index = 0;
    for (;;) {
      const child = this.#smallerChild(index);
      const below = heap[child];
      if (below === undefined || below.at >= last.at) {
        break;
      }
      heap[index] = below;
      index = child;
    }
    heap[index] = last;
  }

  #smallerChild(index: number): number {
    const left = 2 * index + 1;
    const a = this.#heap[left];
    const b = this.#heap[left + 1];
    return a !== undefined && b !== undefined && b.at < a.at ? left + 1 : left;
  }
}
