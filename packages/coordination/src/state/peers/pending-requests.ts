import type { MemberId, Millis } from '@turmerichoist/core';

export interface PendingRequest<W> {
  readonly id: number;
  readonly member: MemberId;
  readonly deadline: Millis;
  /** Receives the outcome of the request. */
  readonly waiter: W;
}

/** Requests to peers that have not been answered yet. */
export class PendingRequests<W> {
  readonly #pending = new Map<number, PendingRequest<W>>();
  #nextId = 1;

  add(member: MemberId, deadline: Millis, waiter: W): PendingRequest<W> {
    const request = { id: this.#nextId, member, deadline, waiter };
    this.#nextId += 1;
    this.#pending.set(request.id, request);
    return request;
  }

  /**
   * Removes and returns the request that a response answers, unless it was sent to another member.
   */
  answered(id: number, member: MemberId): PendingRequest<W> | undefined {
    const request = this.#pending.get(id);
    if (request?.member !== member) {
      return undefined;
    }
    this.#pending.delete(id);
    return request;
  }

  /** Removes and returns the requests whose deadline has passed. */
  expired(now: Millis): readonly PendingRequest<W>[] {
    return this.#take((request) => request.deadline <= now);
  }

  /** Removes and returns the requests to a member whose link was lost. */
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
