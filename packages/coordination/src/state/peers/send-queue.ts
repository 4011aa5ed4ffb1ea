import { SEND_QUEUE_MESSAGES } from './constants.js';
import type { PeerMessage } from './messages.js';

/** A message supersedes earlier ones with the same key; undefined if it can't be superseded. */
function supersedeKey(message: PeerMessage): string | undefined {
  switch (message.type) {
    case 'heartbeat':
    case 'head':
    case 'demand':
    case 'want':
      return message.type;
    case 'relay':
      return `relay/${message.origin}/${message.content.type}`;
    default:
      return undefined;
  }
}

/** Bounded queue of messages to one peer. When full, it first drops superseded messages. */
export class SendQueue {
  readonly #capacity: number;
  #messages: PeerMessage[] = [];
  #dropped = 0;

  constructor(capacity: number = SEND_QUEUE_MESSAGES) {
    this.#capacity = capacity;
  }

  get size(): number {
    return this.#messages.length;
  }

  /** Number of messages dropped so far. */
  get dropped(): number {
    return this.#dropped;
  }

  /** Adds a message; returns false when the queue is full and no message is superseded. */
  add(message: PeerMessage): boolean {
    if (this.#messages.length >= this.#capacity && !this.#dropSuperseded(message)) {
      this.#dropped += 1;
      return false;
    }
    this.#messages.push(message);
    return true;
  }

  take(): PeerMessage | undefined {
    return this.#messages.shift();
  }

  /** Drops the oldest message that a later one, or `next`, supersedes. */
  #dropSuperseded(next: PeerMessage): boolean {
    const later = new Set([supersedeKey(next)]);
    let victim = -1;
    for (let i = this.#messages.length - 1; i >= 0; i -= 1) {
      const message = this.#messages[i];
      const key = message === undefined ? undefined : supersedeKey(message);
      if (key !== undefined && later.has(key)) {
        victim = i;
      }
      later.add(key);
    }
    if (victim < 0) {
      return false;
    }
    this.#messages = this.#messages.filter((_, i) => i !== victim);
    this.#dropped += 1;
    return true;
  }
}
