/** Indexed binary heap: keys by a rank that can be updated. Equal ranks keep insertion order. */
export class IndexedPriorityQueue<K> {
  readonly #heap: K[] = [];
  readonly #positions = new Map<K, number>();
  readonly #ranks = new Map<K, { readonly rank: number; readonly order: number }>();
  #nextOrder = 0;

  get size(): number {
    return this.#heap.length;
  }

  has(key: K): boolean {
    return this.#positions.has(key);
  }

  /** Returns the key with the lowest rank. */
  first(): K | undefined {
    return this.#heap[0];
  }

  set(key: K, rank: number): void {
    const known = this.#ranks.get(key);
    if (known?.rank === rank) {
      return;
    }
    this.#nextOrder += 1;
    this.#ranks.set(key, { rank, order: known?.order ?? this.#nextOrder });
    const position = this.#positions.get(key) ?? this.#append(key);
    this.#sift(key, position);
  }

  remove(key: K): void {
    const position = this.#positions.get(key);
    if (position === undefined) {
      return;
    }
    this.#positions.delete(key);
    this.#ranks.delete(key);
    const last = this.#heap.pop();
    if (last !== undefined && position < this.#heap.length) {
      this.#sift(last, position);
    }
  }

  #append(key: K): number {
    this.#heap.push(key);
    return this.#heap.length - 1;
  }

  #sift(key: K, start: number): void {
    let index = start;
    for (let parent = (index - 1) >> 1; index > 0; parent = (index - 1) >> 1) {
      const above = this.#heap[parent];
      if (above === undefined || !this.#precedes(key, above)) {
        break;
      }
      this.#place(above, index);
      index = parent;
    }
    for (;;) {
      const child = this.#childToCompare(index);
      const below = this.#heap[child];
      if (below === undefined || !this.#precedes(below, key)) {
        break;
      }
      this.#place(below, index);
      index = child;
    }
    this.#place(key, index);
  }

  #childToCompare(index: number): number {
    const left = 2 * index + 1;
    const a = this.#heap[left];
    const b = this.#heap[left + 1];
    return a !== undefined && b !== undefined && this.#precedes(b, a) ? left + 1 : left;
  }

  #place(key: K, index: number): void {
    this.#heap[index] = key;
    this.#positions.set(key, index);
  }

  #precedes(a: K, b: K): boolean {
    const x = this.#ranks.get(a);
    const y = this.#ranks.get(b);
    if (x === undefined || y === undefined) {
      return false;
    }
    return x.rank === y.rank ? x.order < y.order : x.rank < y.rank;
  }
}
