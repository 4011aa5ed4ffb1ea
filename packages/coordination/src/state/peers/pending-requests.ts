import type { MemberId, Millis } from '@turmerichoist/core';

export interface PendingRequest<W> {
  readonly id: number;
  readonly member: MemberId;
  readonly deadline: Millis;
  /** Whoever waits for the answer. */
  readonly waiter: W;
}

/** Requests to peers that have no answer yet. */
export class PendingRequests<W> {
  readonly #pending = new Map<number, PendingRequest<W>>();
  #nextId = 1;

  add(member: MemberId, deadline: Millis, waiter: W): PendingRequest<W> {
    const request = { id: this.#nextId, member, deadline, waiter };
    this.#nextId += 1;
    this.#pending.set(request.id, request);
    return request;
  }

  /** Takes the request that an answer belongs to. Answers of another member count for nothing. */
  answered(id: number, member: MemberId): PendingRequest<W> | undefined {
    const request = this.#pending.get(id);
    if (request?.member !== member) {
      return undefined;
    }
    this.#pending.delete(id);
    return request;
  }

  /** Takes the requests whose deadline has passed. */
  expired(now: Millis): readonly PendingRequest<W>[] {
    return this.#take((request) => request.deadline <= now);
  }

  /** Takes the requests to a member whose link ended. */
  lost(member: MemberId): readonly PendingRequest<W>[] {
    return this.#take((request) => request.member === member);
  }

  #take(matches: (request: PendingRequest<W>) => boolean): readonly PendingRequest<W>[] {
    const taken = [...this.#pending.values()].filter(matches);
    for (const { id } of taken) {
      this.#pending.delete(id);
    }
    return taken;
  }
}
