import { expect, test } from '@jest/globals';
import { Encoder } from 'cbor-x';
import fc from 'fast-check';
import {
  FrameDecoder,
  Handshake,
  LinkLiveness,
  MAX_FRAME_BYTES,
  PROTOCOL_VERSION,
  SeenBroadcasts,
  SendQueue,
  decodeMessage,
  encodeFrame,
  encodeMessage,
  neighbours,
  type DecodedMessage,
  type HandshakeDecision,
  type PeerMessage,
} from '@turmerichoist/coordination';

const RUNS = { seed: 20_261, numRuns: Number(process.env.TURMERICHOIST_RUNS ?? 1_000) };
const cbor = new Encoder({ useRecords: false, tagUint8Array: false });

const name = fc.stringMatching(/^[a-z0-9-]{1,20}$/);
const nat = fc.nat({ max: 2 ** 40 });
/** As the decoder returns them. */
const bytes = fc.uint8Array().map((value) => Buffer.from(value));
const broadcast = fc.oneof(
  fc.record({
    type: fc.constant('demand' as const),
    rows: fc.array(fc.record({ queue: name, team: name, waiting: nat, running: nat })),
  }),
  fc.record({
    type: fc.constant('want' as const),
    wants: fc.array(fc.record({ team: name, units: fc.nat({ max: 1_000 }) })),
  }),
  fc.record({ type: fc.constant('head' as const), revision: nat }),
);
const message: fc.Arbitrary<PeerMessage> = fc.oneof(
  broadcast,
  fc.record({ type: fc.constant('relay' as const), origin: name, seq: nat, content: broadcast }),
  fc.record({
    ...{ type: fc.constant('heartbeat' as const), member: name, incarnation: name },
    ...{ revision: nat, storeReachable: fc.boolean(), storeForMs: nat, freshMs: nat },
    ...{ stopping: fc.boolean(), sentAt: nat, echo: fc.option(nat) },
    vouched: fc.array(fc.record({ member: name, ageMs: nat, storeReachable: fc.boolean() })),
  }),
  fc.record({
    ...{ type: fc.constant('response' as const), id: nat, ok: fc.boolean() },
    body: fc.json().map((text) => JSON.parse(text) as never),
  }),
  fc.record({
    ...{ type: fc.constant('store-call' as const), id: nat, path: name },
    kind: fc.constantFrom('read' as const, 'write' as const),
    method: fc.constantFrom('GET' as const, 'POST' as const),
    body: fc.option(bytes),
    contentType: fc.option(name),
    waitMs: fc.option(nat),
  }),
  fc.record({
    ...{ type: fc.constant('store-answer' as const), id: nat, status: nat, body: bytes },
    outcome: fc.constantFrom('answered' as const, 'refused' as const, 'unanswered' as const),
  }),
  fc.record({ type: fc.constant('store-cancel' as const), id: nat }),
);

function decodeAll(
  stream: Uint8Array,
  cuts: readonly number[],
): readonly DecodedMessage[] | 'invalid' {
  const decoder = new FrameDecoder();
  const found: DecodedMessage[] = [];
  const ends = [...cuts.map((cut) => cut % (stream.length + 1)), stream.length];
  let at = 0;
  for (const end of ends.sort((a, b) => a - b)) {
    decoder.push(stream.subarray(at, end));
    at = end;
    for (;;) {
      const frame = decoder.next();
      if (frame.isErr()) {
        return 'invalid';
      }
      if (frame.value === undefined) {
        break;
      }
      const decoded = decodeMessage(frame.value);
      if (decoded.isErr()) {
        return 'invalid';
      }
      found.push(decoded.value);
    }
  }
  return found;
}

const versions = fc.constantFrom(PROTOCOL_VERSION - 1, PROTOCOL_VERSION);

test('messages that arrive in arbitrary chunks are neither lost nor altered', () => {
  const cuts = fc.array(fc.nat());
  fc.assert(
    fc.property(fc.array(message, { maxLength: 5 }), versions, cuts, (messages, version, at) => {
      const stream = Buffer.concat(messages.map((m) => encodeMessage(m, version).unwrap()));
      const expected = messages.map((m) => ({ type: 'message', message: m }));
      expect(decodeAll(stream, at)).toEqual(expected);
    }),
    RUNS,
  );
});

test('corrupt streams give an error and never an exception', () => {
  const damage = fc.array(fc.tuple(fc.nat(), fc.nat({ max: 255 })), { minLength: 1, maxLength: 8 });
  fc.assert(
    fc.property(message, versions, damage, fc.uint8Array(), (m, version, changes, tail) => {
      const stream = Buffer.concat([encodeMessage(m, version).unwrap(), tail]);
      for (const [at, byte] of changes) {
        stream[at % stream.length] = byte;
      }
      decodeAll(stream, []);
    }),
    RUNS,
  );
});

test('random payloads give an error or a valid message, never an exception', () => {
  const any = fc.oneof(
    fc.uint8Array({ maxLength: 64 }),
    fc.anything({ withNullPrototype: false }).map((value) => cbor.encode(value)),
  );
  fc.assert(
    fc.property(any, versions, (payload, version) => {
      const decoded = decodeMessage({ version, payload });
      expect(decoded.isOk() || decoded.error.kind === 'frame-invalid').toBe(true);
    }),
    RUNS,
  );
});

test('a short frame that declares a huge array allocates no memory for it', () => {
  const payload = Buffer.from([0x9a, 0x06, 0x00, 0x00, 0x00, 0x01]);
  const before = process.memoryUsage().rss;
  const decoded = decodeMessage({ version: PROTOCOL_VERSION, payload });
  expect(decoded.isErr() && decoded.error.detail).toContain('Array length exceeds');
  expect(process.memoryUsage().rss - before).toBeLessThan(64 * 1_048_576);
});

test('oversized frames are rejected before their content arrives', () => {
  const decoder = new FrameDecoder();
  decoder.push(Buffer.from([0, 4, 0, 1]));
  expect(decoder.next().isErr()).toBe(true);
  expect(decoder.next().isErr()).toBe(true);
  expect(encodeFrame(1, new Uint8Array(MAX_FRAME_BYTES)).isErr()).toBe(true);
});

test('a message type added by a later build is not an error', () => {
  for (const value of [{ type: 'later', x: 1 }, [200, 1]]) {
    const version = Array.isArray(value) ? PROTOCOL_VERSION : PROTOCOL_VERSION - 1;
    const decoded = decodeMessage({ version, payload: cbor.encode(value) });
    expect(decoded.unwrap().type).toBe('unknown');
  }
});

function handshake(dialSecret: string, acceptSecret: string): readonly HandshakeDecision[] {
  const identity = (member: string) => ({
    ...{ member, incarnation: '1', version: 2 },
    nonce: new Uint8Array(16).fill(member.length),
  });
  const dialer = new Handshake('dialer', identity('a'), Buffer.from(dialSecret));
  const acceptor = new Handshake('acceptor', identity('bb'), Buffer.from(acceptSecret));
  const all: HandshakeDecision[] = [];
  let turn = dialer.start();
  let next = acceptor;
  while (turn.length > 0 && all.length < 20) {
    all.push(...turn);
    const receiver = next;
    turn = turn.flatMap((d) => (d.type === 'send' ? receiver.receive(d.message) : []));
    next = next === acceptor ? dialer : acceptor;
  }
  return all;
}

test('a link is ready at both ends only when both know the secret', () => {
  const types = (decisions: readonly HandshakeDecision[]) => decisions.map(({ type }) => type);
  expect(types(handshake('s', 's')).filter((type) => type === 'ready')).toHaveLength(2);
  expect(types(handshake('s', 't'))).not.toContain('ready');
});

test('a proof that is reflected to its sender does not open the link', () => {
  const own = { member: 'b', incarnation: '1', version: 2, nonce: new Uint8Array(16) };
  const acceptor = new Handshake('acceptor', own, Buffer.from('s'));
  const [hello] = acceptor.receive({ type: 'hello', ...own, member: 'a' });
  const victim = new Handshake('dialer', { ...own, member: 'a' }, Buffer.from('s'));
  const [proof] = hello?.type === 'send' ? victim.receive(hello.message) : [];
  const reflected = proof?.type === 'send' ? victim.receive(proof.message) : [];
  expect(reflected.map(({ type }) => type)).toEqual(['close']);
});

test('a full send queue drops superseded messages and keeps requests', () => {
  const queue = new SendQueue(3);
  const request = { type: 'request', id: 1, topic: 'submit', body: null } as const;
  queue.add({ type: 'head', revision: 1 });
  queue.add(request);
  queue.add({ type: 'head', revision: 2 });
  expect(queue.add({ type: 'head', revision: 3 })).toBe(true);
  expect(queue.add(request)).toBe(true);
  expect(queue.add(request)).toBe(false);
  const left = [queue.take(), queue.take(), queue.take()];
  expect(left).toEqual([request, { type: 'head', revision: 3 }, request]);
});

test('a link whose echoes stop advancing fails although frames arrive on it', () => {
  const liveness = new LinkLiveness(0);
  for (let now = 500; now <= 3_000; now += 500) {
    liveness.onFrame(now);
    liveness.onHeartbeat(now, 100);
  }
  expect(liveness.failure(3_050)).toBeUndefined();
  expect(liveness.failure(3_101)).toBe('the peer does not receive');
});

test('every member of a sparse view is reached within two hops, over links that both ends know', () => {
  const zones = fc.array(fc.integer({ min: 1, max: 8 }), { minLength: 2, maxLength: 8 });
  fc.assert(
    fc.property(zones, (sizes) => {
      const members = sizes.flatMap((size, z) =>
        Array.from({ length: size }, (_, i) => ({ member: `m${z}-${i}`, zone: `z${z}` })),
      );
      const links = new Map(members.map((m) => [m.member, neighbours(m, members)]));
      for (const { member } of members) {
        const near = [...(links.get(member) ?? [])];
        expect(near.every((other) => links.get(other)?.has(member))).toBe(true);
        const reached = new Set(near.flatMap((other) => [other, ...(links.get(other) ?? [])]));
        expect(members.every((m) => m.member === member || reached.has(m.member))).toBe(true);
      }
    }),
    { ...RUNS, numRuns: 100 },
  );
});

test('a broadcast that arrives over two paths is processed once', () => {
  const seen = new SeenBroadcasts();
  expect([seen.recordIfNew('a', 'want', 1), seen.recordIfNew('a', 'want', 1)]).toEqual([
    true,
    false,
  ]);
  seen.forget('a');
  expect(seen.recordIfNew('a', 'want', 0)).toBe(true);
});
