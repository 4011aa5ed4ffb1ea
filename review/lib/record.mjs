// The record of one run: what was sent, answered and run, with the time since its start.
import { createWriteStream } from 'node:fs';
import { performance } from 'node:perf_hooks';

export class Record {
  #out;
  #startedAt = performance.now();

  constructor(file) {
    this.#out = createWriteStream(file);
  }

  get now() {
    return Math.round(performance.now() - this.#startedAt);
  }

  write(text) {
    this.#out.write(`${String(this.now).padStart(7)} ms  ${text}\n`);
  }

  /** Writes a line to the record and to the terminal. */
  say(text) {
    this.write(text);
    console.log(text);
  }

  close() {
    return new Promise((resolve) => {
      this.#out.end(resolve);
    });
  }
}
