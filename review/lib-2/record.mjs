/** Record of a case: one line for each event, with the seconds since the start of the case. */
import { appendFileSync, writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';

export class Record {
  #file;
  #startedAt = performance.now();

  constructor(file) {
    this.#file = file;
    writeFileSync(file, '');
  }

  line(text) {
    const seconds = ((performance.now() - this.#startedAt) / 1_000).toFixed(3);
    appendFileSync(this.#file, `${seconds.padStart(8)} ${text}\n`);
  }
}
