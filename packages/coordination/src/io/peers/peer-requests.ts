import { Err, Ok, fail, type MemberId, type Millis } from '@turmerichoist/core';
import { PendingRequests, decodeError, type MessageOf } from '../../state/peers/index.js';
import type { MeshMessage, PeerResponse } from './mesh-messages.js';
import type { PeerLink } from './peer-link.js';
import type { PeerListener } from './types.js';

/** Requests to peers that wait for a response, and the responses to the requests of peers. */
export class PeerRequests {
  readonly #listener: Pick<PeerListener, 'onRequest'>;
  readonly #pending = new PendingRequests<(response: PeerResponse) => void>();

  constructor(listener: Pick<PeerListener, 'onRequest'>) {
    this.#listener = listener;
  }

  /** Sends a request over the link to its member, or fails it when there is none. */
  send(request: Extract<MeshMessage, { type: 'request' }>, link: PeerLink | undefined): void {
    if (link === undefined) {
      request.resolve(fail('peer-unavailable', request.member));
      return;
    }
    const { id } = this.#pending.add(request.member, request.deadline, request.resolve);
    link.post({ type: 'send', message: { ...request.message, id } });
  }

  onResponse(from: MemberId, { id, ok, body }: MessageOf<'response'>): void {
    const request = this.#pending.answered(id, from);
    request?.waiter(ok ? Ok(body) : Err(decodeError(body)));
  }

  /** Fails the requests to a member whose link was lost. */
  onLinkLost(member: MemberId, reason: string): void {
    for (const { waiter } of this.#pending.lost(member)) {
      waiter(fail('peer-unavailable', `${member}: ${reason}`));
    }
  }

  /** Fails the requests whose deadline has passed. */
  expire(now: Millis): void {
    for (const { member, waiter } of this.#pending.expired(now)) {
      waiter(fail('peer-unavailable', `${member}: request timed out`));
    }
  }

  /** Handles a request of a peer and sends the response over its link. */
  async serve(link: PeerLink, from: MemberId, request: MessageOf<'request'>): Promise<void> {
    const { id, topic, body } = request;
    const answer = await this.#listener.onRequest(from, topic, body, link.ended);
    const content: unknown = answer.isOk() ? answer.value : answer.error;
    const response = { type: 'response', id, ok: answer.isOk(), body: content };
    link.post({ type: 'send', message: response as MessageOf<'response'> });
  }
}
