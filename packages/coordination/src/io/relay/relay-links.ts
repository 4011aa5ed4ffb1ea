import { randomBytes } from 'node:crypto';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import {
  Ok,
  fail,
  parseEndpoint,
  type AppError,
  type Clock,
  type Incarnation,
  type MemberId,
  type Millis,
  type Random,
  type Result,
} from '@turmerichoist/core';
import {
  Actor,
  every,
  type ActorContext,
  type Metrics,
  type Recipient,
} from '@turmerichoist/runtime';
import {
  MAX_RELAY_FRAME_BYTES,
  NONCE_BYTES,
  PROTOCOL_VERSION,
  type Heartbeat,
  type LinkRole,
  type MessageOf,
  type PeerMessage,
} from '../../state/peers/index.js';
import { RelayChoice, type RelayCandidate } from '../../state/relay/index.js';
import { PeerLink, type LinkObserver } from '../peers/peer-link.js';
import { UnauthenticatedLinks } from '../peers/unauthenticated-links.js';
import type { StorePath } from '../store/store-path.js';
import { RelayClient } from './relay-client.js';
import { relayHeartbeat, type ServingStatus } from './relay-heartbeat.js';
import type { RelayServer } from './relay-server.js';

/** Members that are asked to relay at the same time; the first one that agrees is taken. */
const ASKED_AT_ONCE = 3;
/** Time after which a search has found no relay. */
const SEEK_TIMEOUT_MS: Millis = 500;
/** Interval of heartbeats on open links, well below the lifetime of the leader's lease. */
const RELAY_HEARTBEAT_MS: Millis = 250;
/** A link that delivers no frame for this time has ended. */
const RELAY_LINK_SILENT_MS: Millis = 750;
/** Links of other members that are accepted at the same time, after the handshake. */
const MAX_ACCEPTED_LINKS = 32;
/** Accepted links that have not completed the handshake. */
const MAX_UNAUTHENTICATED_LINKS = 16;

export type RelayEvent =
  | { readonly type: 'relay-found'; readonly member: MemberId; readonly path: StorePath }
  | { readonly type: 'relay-not-found'; readonly asked: readonly MemberId[] }
  | { readonly type: 'relay-lost'; readonly member: MemberId; readonly reason: string };

export type RelayLinksMessage =
  /** Finds a relay among these members. */
  | { readonly type: 'seek'; readonly members: readonly RelayCandidate[] }
  /** Ends the link with the relay once its calls have ended. */
  | { readonly type: 'release' }
  | { readonly type: 'accepted'; readonly socket: Socket }
  | { readonly type: 'link-ready'; readonly link: PeerLink }
  | { readonly type: 'link-message'; readonly link: PeerLink; readonly message: PeerMessage }
  | { readonly type: 'link-closed'; readonly link: PeerLink; readonly reason: string }
  | { readonly type: 'beat' };

export interface RelayLinksOptions {
  readonly self: RelayCandidate & { readonly incarnation: Incarnation };
  readonly listen: { readonly host: string; readonly port: number };
  /** Shared by all members; links are authenticated with it. */
  readonly secret: Uint8Array;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly server: RelayServer;
  readonly status: () => ServingStatus;
  readonly listener: Recipient<RelayEvent>;
}

/** A search for a relay. */
interface Search {
  readonly asked: readonly MemberId[];
  readonly until: Millis;
}

/** A member that was asked to relay and has not answered. */
interface AskedMember {
  readonly member: MemberId;
  readonly link: PeerLink;
}

interface RelayInUse {
  readonly member: MemberId;
  readonly link: PeerLink;
  readonly client: RelayClient;
}

/**
 * Owns the listener for other members and the links over which store calls are relayed. Links are
 * opened when a relay is needed and closed when it no longer is; without links it does nothing.
 */
export class RelayLinks extends Actor<RelayLinksMessage> {
  readonly #options: RelayLinksOptions;
  readonly #server: Server;
  readonly #observer: LinkObserver;
  readonly #choice: RelayChoice;
  /** Links of members that relay through this one, with their calls in flight. */
  readonly #accepted = new Map<PeerLink, Map<number, AbortController>>();
  /** Links that have completed the handshake and the check whether this member relays. */
  readonly #greeted = new WeakSet<PeerLink>();
  readonly #unauthenticated = new UnauthenticatedLinks(MAX_UNAUTHENTICATED_LINKS);
  #asked: readonly AskedMember[] = [];
  #search: Search = { asked: [], until: 0 };
  #relay: RelayInUse | undefined;
  /** Links with former relays that still have calls in flight. */
  readonly #released = new Map<PeerLink, RelayClient>();
  #beating: AbortController | undefined;

  constructor(options: RelayLinksOptions, context: ActorContext) {
    super('relay', context);
    this.#options = options;
    this.#choice = new RelayChoice(options.self, options.random);
    this.#observer = {
      onReady: (link) => this.post({ type: 'link-ready', link }),
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
  async listen(): Promise<Result<number, AppError>> {
    const { host, port } = this.#options.listen;
    return new Promise((resolve) => {
      this.#server.once('error', (err) => {
        resolve(fail('settings-invalid', `peer listener: ${err.message}`));
      });
      this.#server.listen(port, host, () => {
        resolve(Ok((this.#server.address() as AddressInfo).port));
      });
      this.signal.addEventListener('abort', () => this.#server.close(), { once: true });
    });
  }

  protected receive(message: RelayLinksMessage): void {
    switch (message.type) {
      case 'seek':
        this.#seek(message.members);
        break;
      case 'release':
        this.#release();
        break;
      case 'accepted':
        this.#accept(message.socket);
        break;
      case 'link-ready':
        void this.#onReady(message.link);
        break;
      case 'link-message':
        this.#onMessage(message.link, message.message);
        break;
      case 'link-closed':
        this.#onClosed(message.link, message.reason);
        break;
      case 'beat':
        this.#beat();
    }
  }

  #seek(members: readonly RelayCandidate[]): void {
    const now = this.#options.clock.now();
    this.#endSearch('replaced by another search');
    const chosen = this.#choice.choose(members, ASKED_AT_ONCE, now);
    this.#search = { asked: chosen.map(({ member }) => member), until: now + SEEK_TIMEOUT_MS };
    this.#asked = chosen.map(({ member, address }) => ({
      member,
      link: this.#open(connect(parseEndpoint(address)), 'dialer'),
    }));
    if (chosen.length === 0) {
      this.#reportNotFound();
    }
  }

  #reportNotFound(): void {
    this.#options.listener.post({ type: 'relay-not-found', asked: this.#search.asked });
  }

  #accept(socket: Socket): void {
    const link = this.#open(socket, 'acceptor');
    this.#accepted.set(link, new Map());
    this.#unauthenticated.add(link);
  }

  #open(socket: Socket, role: LinkRole): PeerLink {
    const { self, secret, clock, metrics } = this.#options;
    const nonce = randomBytes(NONCE_BYTES);
    const { member, incarnation } = self;
    const identity = { member, incarnation, version: PROTOCOL_VERSION, nonce };
    const limits = {
      silenceTimeoutMs: RELAY_LINK_SILENT_MS,
      maxFrameBytes: MAX_RELAY_FRAME_BYTES,
    };
    const options = { role, identity, secret, clock, metrics, observer: this.#observer, ...limits };
    this.#startBeating();
    return new PeerLink(socket, options, { log: this.log, signal: this.signal });
  }

  /** Answers the question of the member that opened the link, whether this one relays. */
  async #onReady(link: PeerLink): Promise<void> {
    if (this.#accepted.has(link)) {
      this.#unauthenticated.remove(link);
      // Links that are being closed without a handshake still have their entry and don't count.
      const authenticated = [...this.#accepted.keys()].filter(({ peer }) => peer !== undefined);
      if (authenticated.length > MAX_ACCEPTED_LINKS) {
        close(link, 'too many links');
        return;
      }
      const serving = await this.#options.server.check();
      if (!serving) {
        close(link, 'not in touch');
        return;
      }
    }
    this.#greeted.add(link);
    this.#sendHeartbeat(link);
  }

  #onMessage(link: PeerLink, message: PeerMessage): void {
    switch (message.type) {
      case 'heartbeat':
        this.#onHeartbeat(link, message);
        break;
      case 'store-call':
        void this.#serve(link, message);
        break;
      case 'store-cancel':
        this.#accepted.get(link)?.get(message.id)?.abort();
        break;
      case 'store-answer':
        this.#clientOf(link)?.onAnswer(message);
        break;
      default:
        close(link, `unexpected ${message.type}`);
    }
  }

  #onHeartbeat(link: PeerLink, { storeReachable }: Heartbeat): void {
    if (link === this.#relay?.link && !storeReachable) {
      close(link, 'not in touch');
      return;
    }
    const asked = this.#asked.find((one) => one.link === link);
    if (asked === undefined) {
      return;
    }
    if (!storeReachable) {
      close(link, 'not in touch');
      return;
    }
    this.#asked = this.#asked.filter((one) => one !== asked);
    this.#endSearch('another member relays');
    this.#use(asked);
  }

  #use({ member, link }: AskedMember): void {
    this.#release();
    const client = new RelayClient((message) => link.post({ type: 'send', message }));
    this.#relay = { member, link, client };
    this.#options.listener.post({ type: 'relay-found', member, path: client });
  }

  #release(): void {
    if (this.#relay !== undefined) {
      const { link, client } = this.#relay;
      this.#relay = undefined;
      this.#released.set(link, client);
    }
  }

  /** Closes the links of the present search without a word on the members. */
  #endSearch(reason: string): void {
    const asked = this.#asked;
    this.#asked = [];
    for (const { link } of asked) {
      close(link, reason);
    }
  }

  async #serve(link: PeerLink, call: MessageOf<'store-call'>): Promise<void> {
    const calls = this.#accepted.get(link);
    if (calls === undefined) {
      return;
    }
    const controller = new AbortController();
    calls.set(call.id, controller);
    const answer = await this.#options.server.serve(call, controller.signal);
    calls.delete(call.id);
    link.post({ type: 'send', message: answer });
  }

  #clientOf(link: PeerLink): RelayClient | undefined {
    return link === this.#relay?.link ? this.#relay.client : this.#released.get(link);
  }

  #onClosed(link: PeerLink, reason: string): void {
    this.#unauthenticated.remove(link);
    this.#endServed(link);
    this.#endAsked(link);
    this.#released.get(link)?.close();
    this.#released.delete(link);
    if (link !== this.#relay?.link) {
      return;
    }
    const { member, client } = this.#relay;
    this.#relay = undefined;
    this.#choice.onFailed(member, this.#options.clock.now());
    // The listener leaves this route before the calls on it fail, so that they are not sent on it.
    this.#options.listener.post({ type: 'relay-lost', member, reason });
    client.close();
  }

  /** Gives up the calls of a member whose link has ended. */
  #endServed(link: PeerLink): void {
    for (const controller of this.#accepted.get(link)?.values() ?? []) {
      controller.abort();
    }
    this.#accepted.delete(link);
  }

  #endAsked(link: PeerLink): void {
    const asked = this.#asked.find((one) => one.link === link);
    if (asked === undefined) {
      return;
    }
    this.#choice.onFailed(asked.member, this.#options.clock.now());
    this.#asked = this.#asked.filter((one) => one !== asked);
    if (this.#asked.length === 0) {
      this.#reportNotFound();
    }
  }

  #startBeating(): void {
    if (this.#beating === undefined) {
      this.#beating = new AbortController();
      const signal = AbortSignal.any([this.signal, this.#beating.signal]);
      every(RELAY_HEARTBEAT_MS, signal, () => this.post({ type: 'beat' }));
    }
  }

  #beat(): void {
    if (this.#asked.length > 0 && this.#options.clock.now() >= this.#search.until) {
      for (const { link } of this.#asked) {
        close(link, 'no answer in time');
      }
    }
    for (const [link, client] of this.#released) {
      if (client.pending === 0) {
        close(link, 'no longer needed');
      }
    }
    const links = this.#openLinks();
    links.forEach((link) => {
      this.#sendHeartbeat(link);
    });
    if (links.length === 0) {
      this.#beating?.abort();
      this.#beating = undefined;
    }
  }

  #openLinks(): readonly PeerLink[] {
    const asked = this.#asked.map(({ link }) => link);
    const relay = this.#relay === undefined ? [] : [this.#relay.link];
    return [...this.#accepted.keys(), ...asked, ...relay, ...this.#released.keys()];
  }

  #sendHeartbeat(link: PeerLink): void {
    if (!this.#greeted.has(link)) {
      return;
    }
    const { self, clock, status } = this.#options;
    const message = relayHeartbeat(self, status(), clock.now(), link.peerSentAt);
    link.post({ type: 'send', message });
  }
}

function close(link: PeerLink, reason: string): void {
  link.post({ type: 'closed', reason });
}
