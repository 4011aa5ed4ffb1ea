/** Count, mean and maximum of the samples of one period. */
export interface WindowSummary {
  readonly count: number;
  readonly mean: number;
  readonly max: number;
}

/** Summarizes samples by period, in constant space. */
export class WindowStats {
  #count = 0;
  #sum = 0;
  #max = 0;

  add(value: number): void {
    this.#count += 1;
    this.#sum += value;
    this.#max = Math.max(this.#max, value);
  }

  /** Returns the summary of the samples since the last call and starts a new period. */
  take(): WindowSummary {
    const mean = this.#count === 0 ? 0 : Math.round((this.#sum / this.#count) * 10) / 10;
    const summary = { count: this.#count, mean, max: Math.round(this.#max) };
    this.#count = 0;
    this.#sum = 0;
    this.#max = 0;
    return summary;
  }
}
