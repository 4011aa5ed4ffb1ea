import type { Socket } from 'node:net';
import type { Clock, Millis } from '@turmerichoist/core';
import { Actor, every, type ActorContext, type Metrics } from '@turmerichoist/runtime';
import {
  FrameDecoder,
  Handshake,
  LINK_SILENT_MS,
  LinkLiveness,
  MAX_FRAME_BYTES,
  MAX_HANDSHAKE_FRAME_BYTES,
  SendQueue,
  acceptsHandshakeVersion,
  decodeMessage,
  encodeMessage,
  type Frame,
  type HandshakeDecision,
  type Heartbeat,
  type LinkIdentity,
  type LinkRole,
  type Peer,
  type PeerMessage,
} from '../../state/peers/index.js';

/** Interval between liveness checks of a link. */
const LIVENESS_CHECK_INTERVAL_MS: Millis = 250;

export type LinkMessage =
  | { readonly type: 'send'; readonly message: PeerMessage }
  | { readonly type: 'bytes'; readonly bytes: Uint8Array }
  | { readonly type: 'drained' }
  | { readonly type: 'ended' }
  | { readonly type: 'closed'; readonly reason: string }
  | { readonly type: 'check' };

/** Receives the events of a link. */
export interface LinkObserver {
  onReady(link: PeerLink, peer: Peer): void;
  onMessage(link: PeerLink, message: PeerMessage): void;
  onClosed(link: PeerLink, reason: string): void;
}

export interface LinkOptions {
  readonly role: LinkRole;
  readonly identity: LinkIdentity;
  readonly secret: Uint8Array;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly observer: LinkObserver;
  readonly silenceTimeoutMs?: Millis;
  /** Maximum frame size once the peer is authenticated. Default `MAX_FRAME_BYTES`. */
  readonly maxFrameBytes?: number;
}

/** Owns one socket to one peer, from the handshake to the close. */
export class PeerLink extends Actor<LinkMessage> {
  readonly #socket: Socket;
  readonly #options: LinkOptions;
  readonly #handshake: Handshake;
  readonly #decoder = new FrameDecoder(MAX_HANDSHAKE_FRAME_BYTES);
  readonly #sendQueue = new SendQueue();
  readonly #liveness: LinkLiveness;
  readonly #closing: AbortController;
  #peer: Peer | undefined;
  #writeBlocked = false;

  constructor(socket: Socket, options: LinkOptions, context: ActorContext) {
    const closing = new AbortController();
    const signal = AbortSignal.any([context.signal, closing.signal]);
    super('peer-link', { ...context, signal });
    this.#closing = closing;
    this.#socket = socket;
    this.#options = options;
    this.#handshake = new Handshake(options.role, options.identity, options.secret);
    const silenceTimeoutMs = options.silenceTimeoutMs ?? LINK_SILENT_MS;
    this.#liveness = new LinkLiveness(options.clock.now(), silenceTimeoutMs);
    this.#attachSocket();
  }

  /** The authenticated peer; undefined until the handshake has completed. */
  get peer(): Peer | undefined {
    return this.#peer;
  }

  /** Send time of the peer's latest heartbeat, on the peer's clock, to be echoed to it. */
  get peerSentAt(): number | null {
    return this.#liveness.peerSentAt;
  }

  /** Aborted when the link has ended. */
  get ended(): AbortSignal {
    return this.signal;
  }

  #attachSocket(): void {
    const socket = this.#socket;
    socket.setNoDelay(true);
    socket.on('data', (bytes) => this.post({ type: 'bytes', bytes }));
    socket.on('drain', () => this.post({ type: 'drained' }));
    socket.on('end', () => this.post({ type: 'ended' }));
    socket.on('error', (err) => this.post({ type: 'closed', reason: err.message }));
    socket.on('close', () => this.post({ type: 'closed', reason: 'socket closed' }));
    this.signal.addEventListener('abort', () => socket.destroy(), { once: true });
    every(LIVENESS_CHECK_INTERVAL_MS, this.signal, () => this.post({ type: 'check' }));
    const startHandshake = (): void => {
      this.#executeHandshake(this.#handshake.start());
    };
    if (socket.connecting) {
      socket.once('connect', startHandshake);
    } else {
      startHandshake();
    }
  }

  protected receive(message: LinkMessage): void {
    switch (message.type) {
      case 'send':
        this.#send(message.message);
        break;
      case 'bytes':
        this.#onBytes(message.bytes);
        break;
      case 'drained':
        this.#writeBlocked = false;
        this.#flush();
        break;
      case 'ended':
        this.#close(this.#decoder.truncated ? 'truncated frame' : 'link closed by the peer');
        break;
      case 'closed':
        this.#close(message.reason);
        break;
      case 'check':
        this.#checkLiveness();
        break;
    }
  }

  #checkLiveness(): void {
    const failure = this.#liveness.failure(this.#options.clock.now());
    if (failure !== undefined) {
      this.#close(failure);
    }
  }

  #onBytes(bytes: Uint8Array): void {
    this.#decoder.push(bytes);
    while (!this.signal.aborted) {
      const frame = this.#decoder.next();
      if (frame.isErr()) {
        this.#close(frame.error.detail ?? frame.error.kind);
        return;
      }
      if (frame.value === undefined) {
        return;
      }
      this.#onFrame(frame.value);
    }
  }

  #onFrame(frame: Frame): void {
    if (!this.#acceptsVersion(frame.version)) {
      this.#close(`unsupported protocol version ${frame.version}`);
      return;
    }
    const decoded = decodeMessage(frame);
    if (decoded.isErr()) {
      this.#close(decoded.error.detail ?? decoded.error.kind);
      return;
    }
    this.#liveness.onFrame(this.#options.clock.now());
    if (decoded.value.type === 'unknown') {
      this.#options.metrics.count('peers.unknown_type');
      return;
    }
    this.#onMessage(decoded.value.message);
  }

  #acceptsVersion(version: number): boolean {
    return this.#peer === undefined
      ? acceptsHandshakeVersion(this.#options.identity.version, version)
      : version === this.#peer.version;
  }

  #onMessage(message: PeerMessage): void {
    if (this.#peer === undefined) {
      this.#executeHandshake(this.#handshake.receive(message));
      return;
    }
    if (message.type === 'heartbeat' && !this.#onHeartbeat(message, this.#peer)) {
      return;
    }
    this.#options.observer.onMessage(this, message);
  }

  #onHeartbeat(heartbeat: Heartbeat, peer: Peer): boolean {
    if (heartbeat.member !== peer.member || heartbeat.incarnation !== peer.incarnation) {
      this.#close('heartbeat with the identity of another member');
      return false;
    }
    this.#liveness.onHeartbeat(heartbeat.sentAt, heartbeat.echo);
    return true;
  }

  #executeHandshake(decisions: readonly HandshakeDecision[]): void {
    for (const decision of decisions) {
      switch (decision.type) {
        case 'send':
          this.#send(decision.message);
          break;
        case 'ready':
          this.#peer = decision.peer;
          this.#decoder.setMaxFrameBytes(this.#options.maxFrameBytes ?? MAX_FRAME_BYTES);
          this.#options.observer.onReady(this, decision.peer);
          break;
        case 'close':
          this.#close(decision.reason);
          break;
      }
    }
  }

  #send(message: PeerMessage): void {
    if (!this.#sendQueue.add(message)) {
      this.#options.metrics.count('peers.dropped');
    }
    this.#flush();
  }

  #flush(): void {
    while (!this.#writeBlocked && !this.signal.aborted) {
      const message = this.#sendQueue.take();
      if (message === undefined) {
        return;
      }
      const version = this.#peer?.version ?? this.#options.identity.version;
      const frame = encodeMessage(message, version, this.#options.maxFrameBytes);
      if (frame.isErr()) {
        this.log.error('message exceeds the maximum frame size', { type: message.type });
        continue;
      }
      this.#options.metrics.count('peers.bytes_sent', frame.value.length);
      this.#writeBlocked = !this.#socket.write(frame.value);
    }
  }

  #close(reason: string): void {
    if (this.signal.aborted) {
      return;
    }
    this.#closing.abort();
    this.#options.observer.onClosed(this, reason);
  }
}
