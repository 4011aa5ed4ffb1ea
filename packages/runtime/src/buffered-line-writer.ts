import { write, writeSync } from 'node:fs';
import type { Millis } from '@turmerichoist/core';

/** Lines are batched for this long, so that many are written in one system call. */
const FLUSH_DELAY_MS: Millis = 50;
/** While more than this is buffered, further lines are dropped and counted. */
const MAX_BUFFERED_CHARS = 256 * 1_024;

/**
 * Writes lines to a file descriptor without blocking. Drops lines while the buffer is full and
 * reports their number in a line of its own.
 */
export class BufferedLineWriter {
  readonly #fd: number;
  #buffered: string[] = [];
  #bufferedChars = 0;
  #droppedLines = 0;
  #scheduled = false;
  #writing = false;

  constructor(fd: number) {
    this.#fd = fd;
  }

  write(line: string): void {
    if (this.#bufferedChars > MAX_BUFFERED_CHARS) {
      this.#droppedLines += 1;
      return;
    }
    this.#buffered.push(line);
    this.#bufferedChars += line.length;
    if (!this.#scheduled) {
      this.#scheduled = true;
      setTimeout(() => {
        this.#writeBuffered();
      }, FLUSH_DELAY_MS);
    }
  }

  /** Writes the buffered lines synchronously. Meant for process exit. */
  flush(): void {
    if (this.#buffered.length > 0) {
      writeSync(this.#fd, this.#takeBuffered());
    }
  }

  #writeBuffered(): void {
    this.#scheduled = false;
    if (this.#writing || this.#buffered.length === 0) {
      return;
    }
    this.#writing = true;
    write(this.#fd, this.#takeBuffered(), () => {
      this.#writing = false;
      this.#writeBuffered();
    });
  }

  #takeBuffered(): string {
    if (this.#droppedLines > 0) {
      this.#buffered.push(`{"level":"warn","text":"lines dropped","count":${this.#droppedLines}}`);
      this.#droppedLines = 0;
    }
    const text = `${this.#buffered.join('\n')}\n`;
    this.#buffered = [];
    this.#bufferedChars = 0;
    return text;
  }
}
