/** Keys in order of a rank that may change at any time; ties go by the order of insertion. */
export class RankedKeys<K> {
  readonly #heap: K[] = [];
  readonly #positions = new Map<K, number>();
  readonly #ranks = new Map<K, { readonly rank: number; readonly order: number }>();
  #order = 0;

  get size(): number {
    return this.#heap.length;
  }

  has(key: K): boolean {
    return this.#positions.has(key);
  }

  /** The key of the lowest rank. */
  first(): K | undefined {
    return this.#heap[0];
  }

  set(key: K, rank: number): void {
    const known = this.#ranks.get(key);
    if (known?.rank === rank) {
      return;
    }
    this.#order += 1;
    this.#ranks.set(key, { rank, order: known?.order ?? this.#order });
    const position = this.#positions.get(key) ?? this.#append(key);
    this.#settle(key, position);
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
      this.#settle(last, position);
    }
  }

  #append(key: K): number {
    this.#heap.push(key);
    return this.#heap.length - 1;
  }

  #settle(key: K, start: number): void {
    let index = start;
    for (let parent = (index - 1) >> 1; index > 0; parent = (index - 1) >> 1) {
      const above = this.#heap[parent];
      if (above === undefined || !this.#before(key, above)) {
        break;
      }
      this.#place(above, index);
      index = parent;
    }
    for (;;) {
      const child = this.#firstChild(index);
      const below = this.#heap[child];
      if (below === undefined || !this.#before(below, key)) {
        break;
      }
      this.#place(below, index);
      index = child;
    }
    this.#place(key, index);
  }

  #firstChild(index: number): number {
    const left = 2 * index + 1;
    const a = this.#heap[left];
    const b = this.#heap[left + 1];
    return a !== undefined && b !== undefined && this.#before(b, a) ? left + 1 : left;
  }

  #place(key: K, index: number): void {
    this.#heap[index] = key;
    this.#positions.set(key, index);
  }

  #before(a: K, b: K): boolean {
    const x = this.#ranks.get(a);
    const y = this.#ranks.get(b);
    if (x === undefined || y === undefined) {
      return false;
    }
    return x.rank === y.rank ? x.order < y.order : x.rank < y.rank;
  }
}
