import { Mailbox } from './mailbox.js';
import type { Logger } from './logger.js';

export interface ActorContext {
  readonly log: Logger;
  /** Stops the actor: no message is handled after it is aborted. */
  readonly signal: AbortSignal;
  /** Maximum number of queued messages. Defaults to that of `Mailbox`. */
  readonly capacity?: number;
}

/** Accepts messages of the union type `M`. `post` returns false when a message is refused. */
export interface Recipient<M> {
  post(message: M): boolean;
}

/**
 * Base class of a task that owns its state and its sockets and handles one message at a time.
 * Other actors communicate with it only through `post`.
 */
export abstract class Actor<M> implements Recipient<M> {
  protected readonly log: Logger;
  protected readonly signal: AbortSignal;
  readonly #mailbox: Mailbox<M>;

  protected constructor(name: string, context: ActorContext) {
    this.log = context.log.child(name);
    this.signal = context.signal;
    this.#mailbox = new Mailbox<M>({
      receive: (message) => this.receive(message),
      onError: (err) => {
        this.log.error('message handler failed', { err: String(err) });
      },
      signal: context.signal,
      ...(context.capacity === undefined ? {} : { capacity: context.capacity }),
    });
  }

  post(message: M): boolean {
    return this.#mailbox.post(message);
  }

  /** Resolves when every accepted message has been handled. */
  async idle(): Promise<void> {
    await this.#mailbox.idle();
  }

  protected abstract receive(message: M): void | Promise<void>;
}
