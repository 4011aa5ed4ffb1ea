import { ERROR_TABLE, appError, type AppError, type ErrorKind } from '@turmerichoist/core';
import { z } from 'zod';
import { MAX_RELAYED_BODY_BYTES } from './constants.js';

/** Length of the handshake nonce in bytes. */
export const NONCE_BYTES = 16;
const MAC_BYTES = 32;

const bytes = (length: number) =>
  z.custom<Uint8Array>((value) => value instanceof Uint8Array && value.length === length);
const body = z.custom<Uint8Array>(
  (value) => value instanceof Uint8Array && value.length <= MAX_RELAYED_BODY_BYTES,
);
const id = z.string().min(1).max(128);
const count = z.int().min(0);
const units = z.int().min(0).max(1_000_000_000);

/** A report about another member that a heartbeat forwards. */
const vouched = z.strictObject({
  member: id,
  /** Maximum age of the report, in milliseconds. */
  ageMs: count,
  storeReachable: z.boolean(),
});

const demandRow = z.strictObject({ queue: id, team: id, waiting: count, running: count });

/** Schemas of all message types. */
export const MESSAGE_SCHEMAS = {
  hello: z.object({
    type: z.literal('hello'),
    member: id,
    incarnation: id,
    /** Highest protocol version that the sender supports. */
    version: z.int().min(0).max(255),
    nonce: bytes(NONCE_BYTES),
  }),
  proof: z.object({
    type: z.literal('proof'),
    mac: bytes(MAC_BYTES),
  }),
  heartbeat: z.object({
    type: z.literal('heartbeat'),
    member: id,
    incarnation: id,
    /** Applied configuration revision. */
    revision: count,
    storeReachable: z.boolean(),
    /** Time for which the store has been in that state, in milliseconds. */
    storeForMs: count,
    /** Remaining time for which the sender's configuration is fresh, in milliseconds. */
    freshMs: count,
    stopping: z.boolean(),
    /** Time on the sender's clock, in milliseconds. */
    sentAt: count,
    /** `sentAt` of the latest heartbeat received on this link; this one was sent later. */
    echo: count.nullable(),
    /** Reports about the sender's zone, sent in sparse views while the store is unreachable. */
    vouched: z.array(vouched).max(1_024),
  }),
  demand: z.object({
    type: z.literal('demand'),
    rows: z.array(demandRow).max(16_384),
  }),
  want: z.object({
    type: z.literal('want'),
    wants: z.array(z.strictObject({ team: id, units })).max(4_096),
  }),
  head: z.object({ type: z.literal('head'), revision: count }),
  request: z.object({
    type: z.literal('request'),
    id: count,
    topic: z.enum(['idempotency', 'submit', 'want', 'freshness', 'config', 'why']),
    body: z.json(),
  }),
  response: z.object({
    type: z.literal('response'),
    id: count,
    ok: z.boolean(),
    body: z.json(),
  }),
  relay: z.object({
    type: z.literal('relay'),
    origin: id,
    /** Increases with each message of the origin's incarnation. */
    seq: count,
    content: z.unknown(),
  }),
  /** A call that the receiver is to send to the store for the sender. */
  'store-call': z.object({
    type: z.literal('store-call'),
    id: count,
    kind: z.enum(['read', 'write']),
    method: z.enum(['GET', 'POST', 'PUT', 'DELETE']),
    path: z.string().max(4_096),
    body: body.nullable(),
    contentType: z.string().max(128).nullable(),
    /** Time that the store may wait before it responds, in milliseconds. */
    waitMs: count.nullable(),
  }),
  'store-answer': z.object({
    type: z.literal('store-answer'),
    id: count,
    /** `refused`: the call was not sent; `unanswered`: it may have reached the store. */
    outcome: z.enum(['answered', 'refused', 'unanswered']),
    /** Status of the response; 0 without one. */
    status: count,
    body,
  }),
  /** The sender no longer waits for the answer to a call. */
  'store-cancel': z.object({ type: z.literal('store-cancel'), id: count }),
} as const;

export type MessageType = keyof typeof MESSAGE_SCHEMAS;

type ReadonlyDeep<T> = T extends Uint8Array
  ? T
  : T extends (infer I)[]
    ? readonly ReadonlyDeep<I>[]
    : T extends object
      ? { readonly [K in keyof T]: ReadonlyDeep<T[K]> }
      : T;

type Fields<T extends MessageType> = ReadonlyDeep<z.output<(typeof MESSAGE_SCHEMAS)[T]>>;

/** Messages that are sent to every member. */
export type Broadcast = Fields<'demand'> | Fields<'want'> | Fields<'head'>;

/** Wraps a broadcast in a sparse view, which members in other zones forward within their zone. */
export type Relay = Omit<Fields<'relay'>, 'content'> & { readonly content: Broadcast };

/** All messages between members. */
export type PeerMessage =
  { [T in Exclude<MessageType, 'relay'>]: Fields<T> }[Exclude<MessageType, 'relay'>] | Relay;

export type MessageOf<T extends MessageType> = Extract<PeerMessage, { type: T }>;
export type Heartbeat = MessageOf<'heartbeat'>;
export type RequestTopic = MessageOf<'request'>['topic'];
export type VouchedReport = Heartbeat['vouched'][number];

/** The status of its sender that a heartbeat carries. */
export type MemberStatus = Pick<
  Heartbeat,
  'revision' | 'storeReachable' | 'storeForMs' | 'freshMs' | 'stopping'
>;

const BROADCASTS: ReadonlySet<MessageType> = new Set(['demand', 'want', 'head']);

export function isBroadcast(message: PeerMessage): message is Broadcast {
  return BROADCASTS.has(message.type);
}

const errorSchema = z.object({
  kind: z.enum(Object.keys(ERROR_TABLE) as [ErrorKind, ...ErrorKind[]]),
  detail: z.string().optional(),
  retryAfterMs: z.number().optional(),
});

/** Decodes the error in a peer's response; unknown kinds become `internal`. */
export function decodeError(body: unknown): AppError {
  const parsed = errorSchema.safeParse(body);
  return parsed.success
    ? appError(parsed.data.kind, parsed.data.detail, parsed.data.retryAfterMs)
    : appError('internal', 'unknown error from a peer');
}
