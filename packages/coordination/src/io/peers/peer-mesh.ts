import { randomBytes } from 'node:crypto';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import {
  NEVER,
  Ok,
  fail,
  parseEndpoint,
  type AppError,
  type MemberId,
  type Millis,
  type Result,
} from '@turmerichoist/core';
import { Actor, every, type ActorContext } from '@turmerichoist/runtime';
import type { JsonValue } from '../../store/index.js';
import {
  HEARTBEAT_MS,
  NONCE_BYTES,
  PROTOCOL_VERSION,
  SeenBroadcasts,
  isDialer,
  isBroadcast,
  isFullMesh,
  neighbours,
  relayTargets,
  type Broadcast,
  type Heartbeat,
  type LinkRole,
  type Peer,
  type PeerMessage,
  type Relay,
  type RequestTopic,
} from '../../state/peers/index.js';
import type { PeerResponse, MeshMessage } from './mesh-messages.js';
import { PeerLink, type LinkObserver } from './peer-link.js';
import { PeerRequests } from './peer-requests.js';
import { StatusReports } from './status-reports.js';
import type { PeerMember, PeerMeshOptions } from './types.js';
import { UnauthenticatedLinks } from './unauthenticated-links.js';

/** Interval at which missing links are dialed and requests are checked for time-outs. */
const TICK_INTERVAL_MS: Millis = 100;
/** Minimum time between two attempts to dial the same member. */
const REDIAL_INTERVAL_MS: Millis = 500;
/** Accepted links that have not completed the handshake. */
const MAX_UNAUTHENTICATED_LINKS = 64;

/** Owns the peer listener and all peer links of this member. */
export class PeerMesh extends Actor<MeshMessage> {
  readonly #options: PeerMeshOptions;
  readonly #server: Server;
  readonly #observer: LinkObserver;
  readonly #links = new Map<MemberId, PeerLink>();
  readonly #dialingLinks = new Map<MemberId, PeerLink>();
  readonly #lastDialAt = new Map<MemberId, Millis>();
  readonly #reports: StatusReports;
  readonly #requests: PeerRequests;
  readonly #unauthenticated = new UnauthenticatedLinks(MAX_UNAUTHENTICATED_LINKS);
  readonly #seenBroadcasts = new SeenBroadcasts();
  #members: ReadonlyMap<MemberId, PeerMember> = new Map();
  #neighbours: ReadonlySet<MemberId> = new Set();
  #lastSeq = 0;

  constructor(options: PeerMeshOptions, context: ActorContext) {
    super('peer-mesh', context);
    this.#options = options;
    this.#reports = new StatusReports(options);
    this.#requests = new PeerRequests(options.listener);
    this.#observer = {
      onReady: (link, peer) => this.post({ type: 'link-ready', link, peer }),
      onMessage: (link, message) => this.post({ type: 'link-message', link, message }),
      onClosed: (link, reason) => this.post({ type: 'link-closed', link, reason }),
    };
    this.#server = createServer((socket) => {
      if (!this.post({ type: 'accepted', socket })) {
        socket.destroy();
      }
    });
  }

  /** Opens the listener and returns its port. Errors: `settings-invalid` when it can't be opened. */
  async start(): Promise<Result<number, AppError>> {
    const { host, port } = this.#options.listen;
    const opened = await new Promise<Result<number, AppError>>((resolve) => {
      this.#server.once('error', (err) => {
        resolve(fail('settings-invalid', `peer listener: ${err.message}`));
      });
      this.#server.listen(port, host, () => {
        resolve(Ok((this.#server.address() as AddressInfo).port));
      });
    });
    this.signal.addEventListener('abort', () => this.#server.close(), { once: true });
    every(TICK_INTERVAL_MS, this.signal, () => this.post({ type: 'tick' }));
    every(HEARTBEAT_MS, this.signal, () => this.post({ type: 'heartbeat' }));
    return opened;
  }

  /** Broadcasts a message to all members, best effort. */
  publish(message: Broadcast): void {
    this.post({ type: 'publish', message });
  }

  /**
   * Sends a request to one member and waits for the response for at most `timeoutMs`.
   * Errors: `peer-unavailable`, or the error that the member returned.
   */
  request(
    member: MemberId,
    message: { readonly topic: RequestTopic; readonly body: JsonValue },
    timeoutMs: Millis,
    signal: AbortSignal,
  ): Promise<PeerResponse> {
    const deadline = this.#options.clock.now() + timeoutMs;
    const content = { type: 'request', ...message } as const;
    return new Promise((resolvePromise) => {
      const onAbort = (): void => {
        resolve(fail('peer-unavailable', member));
      };
      const resolve = (result: PeerResponse): void => {
        signal.removeEventListener('abort', onAbort);
        this.signal.removeEventListener('abort', onAbort);
        resolvePromise(result);
      };
      signal.addEventListener('abort', onAbort, { once: true });
      this.signal.addEventListener('abort', onAbort, { once: true });
      const post = { type: 'request', member, message: content, deadline, resolve } as const;
      if (signal.aborted || !this.post(post)) {
        onAbort();
      }
    });
  }

  protected receive(message: MeshMessage): void {
    switch (message.type) {
      case 'members':
        this.#onMembers(message.members);
        break;
      case 'status':
        this.#reports.setStatus(message.status);
        break;
      case 'publish':
        this.#publish(message.message);
        break;
      case 'request':
        this.#requests.send(message, this.#links.get(message.member));
        break;
      case 'accepted':
        this.#unauthenticated.add(this.#createLink(message.socket, 'acceptor'));
        break;
      case 'link-ready':
        this.#onReady(message.link, message.peer);
        break;
      case 'link-message':
        this.#onMessage(message.link, message.message);
        break;
      case 'link-closed':
        this.#onClosed(message.link, message.reason);
        break;
      case 'heartbeat':
        this.#sendHeartbeats();
        break;
      case 'tick':
        this.#dialMissing();
        this.#requests.expire(this.#options.clock.now());
        break;
    }
  }

  #onMembers(members: readonly PeerMember[]): void {
    const self = this.#options.self;
    const others = members.filter(({ member }) => member !== self.member);
    for (const { member, incarnation } of others) {
      if (this.#members.get(member)?.incarnation !== incarnation) {
        this.#seenBroadcasts.forget(member);
      }
    }
    this.#members = new Map(others.map((other) => [other.member, other]));
    this.#neighbours = neighbours(self, others);
    for (const [member, link] of this.#links) {
      if (!this.#neighbours.has(member)) {
        link.post({ type: 'closed', reason: 'no longer a neighbour' });
      }
    }
    this.#dialMissing();
  }

  #dialMissing(): void {
    const now = this.#options.clock.now();
    for (const id of this.#neighbours) {
      const member = this.#members.get(id);
      const busy = this.#links.has(id) || this.#dialingLinks.has(id);
      const lastDialAt = this.#lastDialAt.get(id) ?? NEVER;
      if (member !== undefined && !busy && now - lastDialAt >= REDIAL_INTERVAL_MS) {
        this.#dial(member, now);
      }
    }
  }

  #dial(member: PeerMember, now: Millis): void {
    if (!isDialer(this.#options.self.member, member.member)) {
      return;
    }
    const socket = connect(parseEndpoint(member.address));
    this.#lastDialAt.set(member.member, now);
    this.#dialingLinks.set(member.member, this.#createLink(socket, 'dialer'));
  }

  #createLink(socket: Socket, role: LinkRole): PeerLink {
    const { self, secret, clock, metrics } = this.#options;
    const version = this.#options.protocolVersion ?? PROTOCOL_VERSION;
    const nonce = randomBytes(NONCE_BYTES);
    const identity = { member: self.member, incarnation: self.incarnation, version, nonce };
    const options = { role, identity, secret, clock, metrics, observer: this.#observer };
    return new PeerLink(socket, options, { log: this.log, signal: this.signal });
  }

  #onReady(link: PeerLink, peer: Peer): void {
    this.#unauthenticated.remove(link);
    const previous = this.#links.get(peer.member);
    this.#links.set(peer.member, link);
    this.#dialingLinks.delete(peer.member);
    // The newer link wins: its dialer has already seen the older one fail, even if it still looks
    // healthy at this end.
    previous?.post({ type: 'closed', reason: 'replaced by a newer link' });
    this.#sendHeartbeat(link);
    this.#options.listener.onLink(peer.member, peer.incarnation, true);
  }

  #onClosed(link: PeerLink, reason: string): void {
    this.#unauthenticated.remove(link);
    const dialed = this.#removeDialing(link);
    this.#options.metrics.count('peers.link_closed');
    const peer = link.peer;
    // Any process can open links that never authenticate, so they are not logged one by one.
    if (peer !== undefined || dialed) {
      this.log.info('peer link closed', { peer: peer?.member, reason });
    }
    if (peer === undefined || this.#links.get(peer.member) !== link) {
      return;
    }
    this.#links.delete(peer.member);
    this.#reports.forget(peer.member);
    this.#requests.onLinkLost(peer.member, reason);
    this.#options.listener.onLink(peer.member, peer.incarnation, false);
  }

  /** Returns whether the link was being dialed. */
  #removeDialing(link: PeerLink): boolean {
    const found = [...this.#dialingLinks].find(([, dialing]) => dialing === link);
    return found !== undefined && this.#dialingLinks.delete(found[0]);
  }

  #onMessage(link: PeerLink, message: PeerMessage): void {
    const from = link.peer?.member;
    if (from === undefined || this.#links.get(from) !== link) {
      return;
    }
    if (isBroadcast(message)) {
      this.#options.listener.onBroadcast(from, message);
      return;
    }
    switch (message.type) {
      case 'heartbeat':
        this.#onHeartbeat(message);
        break;
      case 'relay':
        this.#onRelay(from, message);
        break;
      case 'request':
        void this.#requests.serve(link, from, message);
        break;
      case 'response':
        this.#requests.onResponse(from, message);
        break;
      default:
        link.post({ type: 'closed', reason: `unexpected ${message.type}` });
    }
  }

  #onHeartbeat(heartbeat: Heartbeat): void {
    for (const report of this.#reports.receive(heartbeat)) {
      this.#options.listener.onReport(report);
    }
  }

  #sendHeartbeats(): void {
    for (const link of this.#links.values()) {
      this.#sendHeartbeat(link);
    }
  }

  #sendHeartbeat(link: PeerLink): void {
    const message = this.#reports.heartbeat(link.peerSentAt, this.#members);
    link.post({ type: 'send', message });
  }

  #publish(message: Broadcast): void {
    const sparse = !isFullMesh(this.#members.size + 1);
    this.#lastSeq += 1;
    const origin = this.#options.self.member;
    const sent: PeerMessage = sparse
      ? { type: 'relay', origin, seq: this.#lastSeq, content: message }
      : message;
    for (const link of this.#links.values()) {
      link.post({ type: 'send', message: sent });
    }
  }

  #onRelay(from: MemberId, relay: Relay): void {
    const self = this.#options.self;
    const known = relay.origin !== self.member && this.#members.has(relay.origin);
    if (!known || !this.#seenBroadcasts.recordIfNew(relay.origin, relay.content.type, relay.seq)) {
      return;
    }
    this.#options.listener.onBroadcast(relay.origin, relay.content);
    const members = [self, ...this.#members.values()];
    for (const member of relayTargets(self, this.#members.get(from)?.zone, members)) {
      this.#links.get(member)?.post({ type: 'send', message: relay });
    }
  }
}
