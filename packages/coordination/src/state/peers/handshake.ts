import { createHmac, timingSafeEqual } from 'node:crypto';
import type { Incarnation, MemberId } from '@turmerichoist/core';
import type { MessageOf, PeerMessage } from './messages.js';

/** Identity that each end sends when a link opens. */
export interface LinkIdentity {
  readonly member: MemberId;
  readonly incarnation: Incarnation;
  /** Highest protocol version that this end supports. */
  readonly version: number;
  /** 16 random bytes, new for each link. */
  readonly nonce: Uint8Array;
}

export type LinkRole = 'dialer' | 'acceptor';

export interface Peer {
  readonly member: MemberId;
  readonly incarnation: Incarnation;
  /** Version of all further frames on the link. */
  readonly version: number;
}

export type HandshakeDecision =
  | { readonly type: 'send'; readonly message: PeerMessage }
  | { readonly type: 'ready'; readonly peer: Peer }
  | { readonly type: 'close'; readonly reason: string };

/** Whether the peer's protocol version differs by at most one, as between adjacent builds. */
export function acceptsHandshakeVersion(own: number, theirs: number): boolean {
  return Math.abs(own - theirs) <= 1;
}

function identityText(who: LinkIdentity): string {
  const nonce = Buffer.from(who.nonce).toString('hex');
  return JSON.stringify([who.member, who.incarnation, who.version, nonce]);
}

/** Covers both identities and the role of the prover, so that a proof can't be reflected. */
function computeMac(
  secret: Uint8Array,
  role: LinkRole,
  dialer: LinkIdentity,
  acceptor: LinkIdentity,
): Uint8Array {
  const text = [role, identityText(dialer), identityText(acceptor)].join('\n');
  return createHmac('sha256', secret).update(text).digest();
}

/**
 * Mutual authentication by an HMAC-SHA-256 challenge. Both ends send `hello` with a nonce, then
 * `proof` over both nonces. A link is ready only after the peer's proof has been verified.
 */
export class Handshake {
  readonly #role: LinkRole;
  readonly #own: LinkIdentity;
  readonly #secret: Uint8Array;
  #other: LinkIdentity | undefined;

  constructor(role: LinkRole, own: LinkIdentity, secret: Uint8Array) {
    this.#role = role;
    this.#own = own;
    this.#secret = secret;
  }

  start(): readonly HandshakeDecision[] {
    return this.#role === 'dialer' ? [this.#hello()] : [];
  }

  receive(message: PeerMessage): readonly HandshakeDecision[] {
    if (message.type === 'hello' && this.#other === undefined) {
      return this.#onHello(message);
    }
    if (message.type === 'proof' && this.#other !== undefined) {
      return this.#onProof(message, this.#other);
    }
    return [{ type: 'close', reason: `unexpected ${message.type} during the handshake` }];
  }

  #hello(): HandshakeDecision {
    return { type: 'send', message: { type: 'hello', ...this.#own } };
  }

  #onHello(hello: MessageOf<'hello'>): readonly HandshakeDecision[] {
    if (hello.member === this.#own.member) {
      return [{ type: 'close', reason: 'the peer has the same member id' }];
    }
    if (!acceptsHandshakeVersion(this.#own.version, hello.version)) {
      return [{ type: 'close', reason: `unsupported protocol version ${hello.version}` }];
    }
    this.#other = hello;
    // The dialer proves first: otherwise anyone could use the acceptor to compute responses to
    // challenges.
    const own = this.#role === 'dialer' ? this.#proof(hello) : this.#hello();
    return [own];
  }

  #onProof(proof: MessageOf<'proof'>, other: LinkIdentity): readonly HandshakeDecision[] {
    const theirRole = this.#role === 'dialer' ? 'acceptor' : 'dialer';
    if (!timingSafeEqual(proof.mac, this.#mac(theirRole, other))) {
      return [{ type: 'close', reason: 'the proof does not match the shared secret' }];
    }
    const version = Math.min(this.#own.version, other.version);
    const peer = { member: other.member, incarnation: other.incarnation, version };
    const answer = this.#role === 'acceptor' ? [this.#proof(other)] : [];
    return [...answer, { type: 'ready', peer }];
  }

  #proof(other: LinkIdentity): HandshakeDecision {
    return { type: 'send', message: { type: 'proof', mac: this.#mac(this.#role, other) } };
  }

  #mac(role: LinkRole, other: LinkIdentity): Uint8Array {
    return this.#role === 'dialer'
      ? computeMac(this.#secret, role, this.#own, other)
      : computeMac(this.#secret, role, other, this.#own);
  }
}
