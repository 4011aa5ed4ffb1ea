/** Binary min-heap: `push` and `pop` in O(log n). */
export class Heap<T> {
  readonly #comesBefore: (a: T, b: T) => boolean;
  #items: T[] = [];

  constructor(comesBefore: (a: T, b: T) => boolean) {
    this.#comesBefore = comesBefore;
  }

  get size(): number {
    return this.#items.length;
  }

  peek(): T | undefined {
    return this.#items[0];
  }

  push(item: T): void {
    this.#items.push(item);
    this.#siftUp(this.#items.length - 1);
  }

  pop(): T | undefined {
    const top = this.#items[0];
    const last = this.#items.pop();
    if (this.#items.length > 0 && last !== undefined) {
      this.#items[0] = last;
      this.#siftDown(0);
    }
    return top;
  }

  /** Removes every item for which `keep` returns false, in O(n). */
  retain(keep: (item: T) => boolean): void {
    this.#items = this.#items.filter(keep);
    for (let index = (this.#items.length >> 1) - 1; index >= 0; index -= 1) {
      this.#siftDown(index);
    }
  }

  #siftUp(from: number): void {
    let index = from;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.#swapIfBefore(index, parent)) {
        return;
      }
      index = parent;
    }
  }

  #siftDown(from: number): void {
    let index = from;
    for (;;) {
      const child = this.#smallerChild(index);
      if (child === undefined || !this.#swapIfBefore(child, index)) {
        return;
      }
      index = child;
    }
  }

  #smallerChild(index: number): number | undefined {
    const left = 2 * index + 1;
    const a = this.#items[left];
    const b = this.#items[left + 1];
    if (a === undefined) {
      return undefined;
    }
    return b !== undefined && this.#comesBefore(b, a) ? left + 1 : left;
  }

  #swapIfBefore(lower: number, upper: number): boolean {
    const a = this.#items[lower];
    const b = this.#items[upper];
    if (a === undefined || b === undefined || !this.#comesBefore(a, b)) {
      return false;
    }
    this.#items[lower] = b;
    this.#items[upper] = a;
    return true;
  }
}
