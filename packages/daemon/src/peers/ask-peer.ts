import type { JsonValue, PeerMesh, PeerResponse, RequestTopic } from '@turmerichoist/coordination';
import type { MemberId, Millis } from '@turmerichoist/core';

/**
 * Sends a request to another entry and waits for the response for at most `timeoutMs`.
 * Errors: `peer-unavailable`, or the error that the entry returned.
 */
export type AskPeer = (
  member: MemberId,
  body: JsonValue,
  timeoutMs: Millis,
  signal: AbortSignal,
) => Promise<PeerResponse>;

/** Sends requests of one topic over the peer links. */
export function askPeersAbout(topic: RequestTopic, mesh: Pick<PeerMesh, 'request'>): AskPeer {
  return (member, body, timeoutMs, signal) =>
    mesh.request(member, { topic, body }, timeoutMs, signal);
}
