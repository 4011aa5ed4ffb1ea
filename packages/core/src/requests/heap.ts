/** Binary min-heap: `push` and `pop` in O(log n). */
export class Heap<T> {
  readonly #before: (a: T, b: T) => boolean;
  #items: T[] = [];

  constructor(before: (a: T, b: T) => boolean) {
    this.#before = before;
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

  /** Drops every item that fails `keep`, in O(n). */
  retain(keep: (item: T) => boolean): void {
    this.#items = this.#items.filter(keep);
    for (let at = (this.#items.length >> 1) - 1; at >= 0; at -= 1) {
      this.#siftDown(at);
    }
  }

  #siftUp(from: number): void {
    let at = from;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!this.#swapIfBefore(at, parent)) {
        return;
      }
      at = parent;
    }
  }

  #siftDown(from: number): void {
    let at = from;
    for (;;) {
      const child = this.#smallerChild(at);
      if (child === undefined || !this.#swapIfBefore(child, at)) {
        return;
      }
      at = child;
    }
  }

  #smallerChild(at: number): number | undefined {
    const left = 2 * at + 1;
    const a = this.#items[left];
    const b = this.#items[left + 1];
    if (a === undefined) {
      return undefined;
    }
    return b !== undefined && this.#before(b, a) ? left + 1 : left;
  }

  #swapIfBefore(lower: number, upper: number): boolean {
    const a = this.#items[lower];
    const b = this.#items[upper];
    if (a === undefined || b === undefined || !this.#before(a, b)) {
      return false;
    }
    this.#items[lower] = b;
    this.#items[upper] = a;
    return true;
  }
}
