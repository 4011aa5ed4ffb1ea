import type { Recipient } from '@turmerichoist/runtime';

/** Creates a recipient that calls a function synchronously with each message. */
export function recipient<M>(receive: (message: M) => void): Recipient<M> {
  return {
    post: (message) => {
      receive(message);
      return true;
    },
  };
}
