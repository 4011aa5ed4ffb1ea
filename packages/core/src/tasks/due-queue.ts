import type { Millis } from '../types/index.js';

interface Entry<K> {
  readonly key: K;
  readonly at: Millis;
}

/**
 * Min-heap of keys by due time. Each key has at most one time; setting it again replaces the time.
 * Replaced and removed entries stay in the heap and are skipped when they reach the top.
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

  /** Sets the due time of a key unless it already has one. */
  setIfAbsent(key: K, at: Millis): void {
    if (!this.#times.has(key)) {
      this.set(key, at);
    }
  }

  remove(key: K): void {
    this.#times.delete(key);
  }

  /** Removes and returns one key that is due. */
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
