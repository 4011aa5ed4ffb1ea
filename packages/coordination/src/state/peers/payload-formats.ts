import type { MessageType, PeerMessage } from './messages.js';

export type Fields = Readonly<Record<'type', unknown> & Record<string, unknown>>;

/** Turns messages into values for the encoder and back, in one version of the protocol. */
export interface PayloadFormat {
  pack(message: PeerMessage): unknown;
  /** The message as an object, or undefined when the value has another form. */
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

interface Layout {
  readonly type: MessageType;
  readonly fields: readonly string[];
  /** Fields that hold lists of rows, with the fields of one row. */
  readonly rows?: Readonly<Record<string, readonly string[]>>;
}

const STATUS = ['revision', 'storeReachable', 'storeForMs', 'freshMs', 'stopping'] as const;

/** Position is the type's code and, within `fields`, the field's place. Only append to them. */
const LAYOUTS: readonly Layout[] = [
  {
    type: 'heartbeat',
    fields: ['member', 'incarnation', ...STATUS, 'sentAt', 'echo', 'vouched'],
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
];

const CODES: ReadonlyMap<MessageType, number> = new Map(LAYOUTS.map(({ type }, i) => [type, i]));

function toPositions(
  fields: readonly string[],
  object: Readonly<Record<string, unknown>>,
): unknown[] {
  return fields.map((field) => object[field]);
}

/** Surplus positions, which a later build may have appended, are ignored. */
function toObject(fields: readonly string[], positions: readonly unknown[]): object {
  return Object.fromEntries(fields.map((field, i) => [field, positions[i]]));
}

function mapRows(rows: unknown, convert: (row: unknown) => unknown): unknown {
  return Array.isArray(rows) ? rows.map(convert) : rows;
}

/** Version 2: the code of the type, then the fields by position. */
export class PositionalFields implements PayloadFormat {
  pack(message: PeerMessage): unknown {
    const code = CODES.get(message.type) ?? LAYOUTS.length;
    const layout = LAYOUTS[code];
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
    const layout = LAYOUTS[code];
    if (layout === undefined) {
      return { type: `code ${code}` };
    }
    const fields = layout.fields.map((field, i) => [
      field,
      this.#unpackField(layout, field, positions[i]),
    ]);
    return { type: layout.type, ...(Object.fromEntries(fields) as object) };
  }

  #packField(layout: Layout, field: string, value: unknown): unknown {
    if (layout.type === 'relay' && field === 'content') {
      return this.pack(value as PeerMessage);
    }
    const row = layout.rows?.[field];
    return row === undefined ? value : mapRows(value, (item) => toPositions(row, item as Fields));
  }

  #unpackField(layout: Layout, field: string, value: unknown): unknown {
    if (layout.type === 'relay' && field === 'content') {
      return this.unpack(value);
    }
    const row = layout.rows?.[field];
    return row === undefined
      ? value
      : mapRows(value, (item) => (Array.isArray(item) ? toObject(row, item) : item));
  }
}
