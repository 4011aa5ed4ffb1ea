import { Encoder, setSizeLimits } from 'cbor-x';
import { Ok, fail, type AppError, type Result } from '@turmerichoist/core';
import {
  MESSAGE_SCHEMAS,
  isBroadcast,
  type MessageType,
  type PeerMessage,
  type Relay,
} from './messages.js';
import {
  NamedFields,
  PositionalFields,
  type Fields,
  type PayloadFormat,
} from './payload-formats.js';
import { encodeFrame, type Frame } from './frames.js';

// A header of a few bytes can declare any size; without a limit the decoder could allocate
// gigabytes.
const MAX_ITEMS = 65_536;
setSizeLimits({ maxArraySize: MAX_ITEMS, maxMapSize: MAX_ITEMS, maxObjectSize: MAX_ITEMS });

const cbor = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

/** A decoded frame. Types that this build does not know are not an error. */
export type DecodedMessage =
  | { readonly type: 'message'; readonly message: PeerMessage }
  | { readonly type: 'unknown'; readonly name: string };

const namedFields = new NamedFields();
const FORMATS: ReadonlyMap<number, PayloadFormat> = new Map<number, PayloadFormat>([
  [1, namedFields],
  [2, new PositionalFields()],
]);

/** Encoded the same in all protocol versions, so that both ends can negotiate one. */
const HANDSHAKE_TYPES: ReadonlySet<MessageType> = new Set(['hello', 'proof']);

function payloadFormatOf(version: number): PayloadFormat {
  return FORMATS.get(version) ?? namedFields;
}

/** Encodes a message as a frame. Errors: `frame-invalid` when it is too long. */
export function encodeMessage(
  message: PeerMessage,
  version: number,
  maxFrameBytes?: number,
): Result<Uint8Array, AppError> {
  const format = HANDSHAKE_TYPES.has(message.type) ? namedFields : payloadFormatOf(version);
  return encodeFrame(version, cbor.encode(format.pack(message)), maxFrameBytes);
}

function decodePayload(payload: Uint8Array): Result<unknown, AppError> {
  try {
    return Ok(cbor.decode(payload) as unknown);
  } catch (err) {
    return fail('frame-invalid', String(err));
  }
}

/** Checks the fields of a message. Errors: `frame-invalid`. */
function parseMessage(fields: Fields | undefined): Result<DecodedMessage, AppError> {
  const name = fields?.type;
  if (fields === undefined || typeof name !== 'string') {
    return fail('frame-invalid', 'message without a type');
  }
  if (!Object.hasOwn(MESSAGE_SCHEMAS, name)) {
    return Ok({ type: 'unknown', name });
  }
  const parsed = MESSAGE_SCHEMAS[name as MessageType].safeParse(fields);
  if (!parsed.success) {
    return fail('frame-invalid', `invalid ${name}`);
  }
  return parsed.data.type === 'relay'
    ? parseRelay(parsed.data)
    : Ok({ type: 'message', message: parsed.data });
}

function parseRelay(
  relay: Omit<Relay, 'content'> & { content: unknown },
): Result<DecodedMessage, AppError> {
  const content = parseMessage(namedFields.unpack(relay.content));
  if (content.isErr() || content.value.type === 'unknown') {
    return content;
  }
  const inner = content.value.message;
  return isBroadcast(inner)
    ? Ok({ type: 'message', message: { ...relay, content: inner } })
    : fail('frame-invalid', `relay of ${inner.type}`);
}

/** Decodes the payload of a frame. Errors: `frame-invalid`. */
export function decodeMessage(frame: Frame): Result<DecodedMessage, AppError> {
  const decoded = decodePayload(frame.payload);
  if (decoded.isErr()) {
    return decoded;
  }
  return parseMessage(
    namedFields.unpack(decoded.value) ?? payloadFormatOf(frame.version).unpack(decoded.value),
  );
}
