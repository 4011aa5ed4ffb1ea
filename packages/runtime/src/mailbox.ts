import PQueue from 'p-queue';

/** Messages that may wait in a mailbox before `post` refuses more. */
const DEFAULT_CAPACITY = 10_000;

export interface MailboxOptions<M> {
  /** Handles one message; the next one waits until the promise settles. */
  readonly receive: (message: M) => void | Promise<void>;
  /** Called when `receive` throws, which is always a fault in the program. */
  readonly onFault: (err: unknown) => void;
  readonly signal: AbortSignal;
  /** Messages that may wait. Default 10,000. */
  readonly capacity?: number;
}

/** Hands messages to one receiver, one at a time and in order. */
export class Mailbox<M> {
  readonly #queue = new PQueue({ concurrency: 1 });
  readonly #options: MailboxOptions<M>;
  readonly #capacity: number;

  constructor(options: MailboxOptions<M>) {
    this.#options = options;
    this.#capacity = options.capacity ?? DEFAULT_CAPACITY;
  }

  /** Number of messages that wait. */
  get size(): number {
    return this.#queue.size;
  }

  /** Accepts a message, or returns false when the mailbox is full or closed. */
  post(message: M): boolean {
    if (this.#options.signal.aborted || this.#queue.size >= this.#capacity) {
      return false;
    }
    void this.#queue.add(() => this.#deliver(message));
    return true;
  }

  /** Resolves when every accepted message has been handled. */
  async idle(): Promise<void> {
    await this.#queue.onIdle();
  }

  async #deliver(message: M): Promise<void> {
    if (this.#options.signal.aborted) {
      return;
    }
    try {
      await this.#options.receive(message);
    } catch (err) {
      this.#options.onFault(err);
    }
  }
}
