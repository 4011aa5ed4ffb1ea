import type { Recipient } from '@turmerichoist/runtime';

/** A recipient that hands each message to a function at once. */
export function recipient<M>(receive: (message: M) => void): Recipient<M> {
  return {
    post: (message) => {
      receive(message);
      return true;
    },
  };
}
