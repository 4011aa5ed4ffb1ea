import type { MessageType, PeerMessage } from './messages.js';

export type Fields = Readonly<Record<'type', unknown> & Record<string, unknown>>;

/** Converts messages to and from CBOR-encodable values in one protocol version. */
export interface PayloadFormat {
  pack(message: PeerMessage): unknown;
  /** The message as an object, or undefined when the value is not in this format. */
  unpack(value: unknown): Fields | undefined;
}

function isObject(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && 'type' in value;
}

/** Version 1: a map with named fields. */
export class NamedFields implements PayloadFormat {
  pack(message: PeerMessage): unknown {
    return message;
  }

  unpack(value: unknown): Fields | undefined {
    return isObject(value) ? value : undefined;
  }
}

interface MessageLayout {
  readonly type: MessageType;
  readonly fields: readonly string[];
  /** Fields that hold a list of rows, with the field names of one row. */
  readonly rows?: Readonly<Record<string, readonly string[]>>;
}

const STATUS_FIELDS = ['revision', 'storeReachable', 'storeForMs', 'freshMs', 'stopping'] as const;

/**
 * The index here is the type code on the wire, and so is the order of `fields`. Only append to
 * both.
 */
const MESSAGE_LAYOUTS: readonly MessageLayout[] = [
  {
    type: 'heartbeat',
    fields: ['member', 'incarnation', ...STATUS_FIELDS, 'sentAt', 'echo', 'vouched'],
    rows: { vouched: ['member', 'ageMs', 'storeReachable'] },
  },
  {
    type: 'demand',
    fields: ['rows'],
    rows: { rows: ['queue', 'team', 'waiting', 'running'] },
  },
  { type: 'want', fields: ['wants'], rows: { wants: ['team', 'units'] } },
  { type: 'head', fields: ['revision'] },
  { type: 'request', fields: ['id', 'topic', 'body'] },
  { type: 'response', fields: ['id', 'ok', 'body'] },
  { type: 'relay', fields: ['origin', 'seq', 'content'] },
  {
    type: 'store-call',
    fields: ['id', 'kind', 'method', 'path', 'body', 'contentType', 'waitMs'],
  },
  { type: 'store-answer', fields: ['id', 'outcome', 'status', 'body'] },
  { type: 'store-cancel', fields: ['id'] },
];

const TYPE_CODES: ReadonlyMap<MessageType, number> = new Map(
  MESSAGE_LAYOUTS.map(({ type }, i) => [type, i]),
);

function toPositions(
  fields: readonly string[],
  object: Readonly<Record<string, unknown>>,
): unknown[] {
  return fields.map((field) => object[field]);
}

/** Ignores surplus positions, which a later build may have appended. */
function toObject(fields: readonly string[], positions: readonly unknown[]): object {
  return Object.fromEntries(fields.map((field, i) => [field, positions[i]]));
}

function mapRows(rows: unknown, convert: (row: unknown) => unknown): unknown {
  return Array.isArray(rows) ? rows.map(convert) : rows;
}

/** Version 2: an array of the type code and then the fields by position. */
export class PositionalFields implements PayloadFormat {
  pack(message: PeerMessage): unknown {
    const code = TYPE_CODES.get(message.type) ?? MESSAGE_LAYOUTS.length;
    const layout = MESSAGE_LAYOUTS[code];
    const values = layout?.fields.map((field) =>
      this.#packField(layout, field, (message as unknown as Fields)[field]),
    );
    return [code, ...(values ?? [])];
  }

  unpack(value: unknown): Fields | undefined {
    if (!Array.isArray(value)) {
      return undefined;
    }
    const [code, ...positions] = value as readonly unknown[];
    if (typeof code !== 'number') {
      return undefined;
    }
    const layout = MESSAGE_LAYOUTS[code];
    if (layout === undefined) {
      return { type: `code ${code}` };
    }
    const fields = layout.fields.map((field, i) => [
      field,
      this.#unpackField(layout, field, positions[i]),
    ]);
    return { type: layout.type, ...(Object.fromEntries(fields) as object) };
  }

  #packField(layout: MessageLayout, field: string, value: unknown): unknown {
    if (layout.type === 'relay' && field === 'content') {
      return this.pack(value as PeerMessage);
    }
    const row = layout.rows?.[field];
    return row === undefined ? value : mapRows(value, (item) => toPositions(row, item as Fields));
  }

  #unpackField(layout: MessageLayout, field: string, value: unknown): unknown {
    if (layout.type === 'relay' && field === 'content') {
      return this.unpack(value);
    }
    const row = layout.rows?.[field];
    return row === undefined
      ? value
      : mapRows(value, (item) => (Array.isArray(item) ? toObject(row, item) : item));
  }
}
