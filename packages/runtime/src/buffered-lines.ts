import { write, writeSync } from 'node:fs';
import type { Millis } from '@turmerichoist/core';

/** Lines are gathered for this long, so that many leave in one system call. */
const FLUSH_MS: Millis = 50;
/** More than this much unwritten text makes further lines be dropped and counted. */
const MAX_WAITING_BYTES = 256 * 1_024;

/** Writes lines to a file descriptor without ever blocking; drops and counts what is too much. */
export class BufferedLines {
  readonly #fd: number;
  #waiting: string[] = [];
  #bytes = 0;
  #dropped = 0;
  #scheduled = false;
  #writing = false;

  constructor(fd: number) {
    this.#fd = fd;
  }

  write(line: string): void {
    if (this.#bytes > MAX_WAITING_BYTES) {
      this.#dropped += 1;
      return;
    }
    this.#waiting.push(line);
    this.#bytes += line.length;
    if (!this.#scheduled) {
      this.#scheduled = true;
      setTimeout(() => {
        this.#send();
      }, FLUSH_MS);
    }
  }

  /** Writes what waits, blocking; for the end of the process. */
  flush(): void {
    if (this.#waiting.length > 0) {
      writeSync(this.#fd, this.#take());
    }
  }

  #send(): void {
    this.#scheduled = false;
    if (this.#writing || this.#waiting.length === 0) {
      return;
    }
    this.#writing = true;
    write(this.#fd, this.#take(), () => {
      this.#writing = false;
      this.#send();
    });
  }

  #take(): string {
    if (this.#dropped > 0) {
      this.#waiting.push(`{"level":"warn","text":"lines dropped","count":${this.#dropped}}`);
      this.#dropped = 0;
    }
    const text = `${this.#waiting.join('\n')}\n`;
    this.#waiting = [];
    this.#bytes = 0;
    return text;
  }
}
