import { afterEach, beforeEach, describe, expect, test } from '@jest/globals';
import { sleep } from '@turmerichoist/runtime';
import { TableState } from '../src/store/index.js';
import type { StoreMode } from './support/member-store.js';
import { RelayMember } from './support/relay-member.js';
import { SilencingProxy, waitUntil } from './peers-support.js';

// Each test is named after the failure that it guards against. Members have their own ways to a
// shared store, over real sockets.

/** Time for which a member must have been in touch before it relays. */
const SERVING_AFTER_MS = 700;
const { signal } = new AbortController();
let state: TableState;
let members: RelayMember[];

async function open(ids: readonly string[]): Promise<readonly RelayMember[]> {
  members = ids.map((id) => new RelayMember(id, state));
  await Promise.all(members.map((member) => member.open()));
  return members;
}

/** Calls the store from time to time, as each member does. */
async function poll(member: RelayMember): Promise<void> {
  while (!member.signal.aborted) {
    await member.store.read(['a'], member.signal);
    await sleep(50, member.signal);
  }
}

async function openPolling(
  ids: readonly string[],
  relaying: readonly string[] = ids,
): Promise<readonly RelayMember[]> {
  const opened = await open(ids);
  opened.forEach((member) => void poll(member));
  opened
    .filter(({ member }) => relaying.includes(member))
    .forEach((member) => {
      member.relayThrough(opened);
    });
  await sleep(SERVING_AFTER_MS, signal);
  return opened;
}

beforeEach(() => {
  state = new TableState();
});

afterEach(() => {
  members.forEach((member) => {
    member.stop();
  });
});

const modes: readonly StoreMode[] = ['silent', 'busy', 'many', 'reset'];

describe('a leader that the store turns away', () => {
  test.each(modes)('loses its lease although others are served: %s', async (mode) => {
    const [leader, follower] = (await open(['a', 'b'])) as [RelayMember, RelayMember];
    leader.startElector();
    leader.relayThrough(members);
    await waitUntil(() => leader.leads, 3_000);
    follower.startElector();
    follower.relayThrough(members);
    await sleep(SERVING_AFTER_MS, signal);
    const { term } = leader;
    leader.front.mode = mode;
    let lapses = 0;
    for (let i = 0; i < 120; i++) {
      lapses += leader.leads && leader.term === term ? 0 : 1;
      await sleep(25, signal);
    }
    expect([lapses, follower.leads]).toEqual([0, false]);
    leader.front.mode = 'answers';
    await waitUntil(() => leader.routes.at(-1) === 'direct', 4_000);
    expect(leader.leads).toBe(true);
  });
});

test.each(modes)('an entry accepts nothing while the store turns it away: %s', async (mode) => {
  const [cut] = (await openPolling(['a', 'b', 'c'])) as [RelayMember];
  cut.front.mode = mode;
  await waitUntil(() => cut.router.number > 0, 1_500);
  expect((await cut.put('jobs/1')).isOk()).toBe(true);
  expect(cut.contact.state).toBe('in-touch');
  expect(state.read(['jobs/1'])).toHaveLength(1);
});

test('a write that a relay did not answer counts as not done', async () => {
  const [cut, relay] = (await openPolling(['a', 'b'])) as [RelayMember, RelayMember];
  cut.front.mode = 'silent';
  await waitUntil(() => cut.routes.at(-1) === 'relayed', 1_500);
  relay.front.mode = 'lossy';
  const write = cut.put('jobs/1');
  await waitUntil(() => state.read(['jobs/1']).length === 1, 1_000);
  relay.stop();
  expect((await write).unwrapErr().kind).toBe('outcome-unknown');
});

test('calls go through members that are not in touch, or round in circles', async () => {
  const opened = await openPolling(['a', 'b', 'c']);
  opened.forEach((member) => {
    member.front.mode = 'busy';
  });
  await sleep(1_500, signal);
  expect(opened.map(({ router }) => router.number)).toEqual([0, 0, 0]);
  expect(opened.map(({ router }) => router.server.served)).toEqual([0, 0, 0]);
});

test('a member without a relay stays cut off when one gets in touch', async () => {
  const [cut, other] = (await openPolling(['a', 'b'])) as [RelayMember, RelayMember];
  cut.front.mode = 'silent';
  other.front.mode = 'silent';
  await sleep(1_500, signal);
  other.front.mode = 'answers';
  await waitUntil(() => cut.routes.at(-1) === 'relayed', 5_000);
  expect((await cut.put('jobs/1')).isOk()).toBe(true);
});

test('a member whose relay ends is cut off until the store serves it again', async () => {
  const opened = await openPolling(['a', 'b', 'c']);
  const [cut, ...others] = opened as [RelayMember, RelayMember, RelayMember];
  cut.front.mode = 'silent';
  await waitUntil(() => cut.routes.at(-1) === 'relayed', 1_500);
  await cut.put('jobs/1');
  const relay = others.find(({ router }) => router.server.served > 0);
  relay?.stop();
  await waitUntil(() => cut.routes.length >= 3 && cut.routes.at(-1) === 'relayed', 2_500);
  expect((await cut.put('jobs/2')).isOk()).toBe(true);
});

test('a member waits for a relay whose link has gone silent', async () => {
  const opened = await open(['a', 'b', 'c']);
  const [cut, relay, other] = opened as [RelayMember, RelayMember, RelayMember];
  const proxy = new SilencingProxy();
  relay.candidate = { ...relay.candidate, address: await proxy.start(relay.candidate.address) };
  opened.forEach((member) => void poll(member));
  opened.forEach((member) => {
    member.relayThrough(member === cut ? [relay] : []);
  });
  await sleep(SERVING_AFTER_MS, signal);
  cut.front.mode = 'silent';
  await waitUntil(() => cut.routes.at(-1) === 'relayed', 1_500);
  cut.relays = [other];
  proxy.silence('both');
  await waitUntil(() => cut.routes.length >= 3 && cut.routes.at(-1) === 'relayed', 1_500);
  expect((await cut.put('jobs/1')).isOk()).toBe(true);
  proxy.stop();
});

test('a relay is taken that the store has begun to turn away, too', async () => {
  const opened = await openPolling(['a', 'b', 'c']);
  const [cut, also, served] = opened as [RelayMember, RelayMember, RelayMember];
  also.front.mode = 'silent';
  expect(also.router.status.serving).toBe(true);
  expect(await also.router.server.check()).toBe(false);
  cut.front.mode = 'silent';
  await waitUntil(() => cut.routes.at(-1) === 'relayed', 1_500);
  expect((await cut.put('jobs/1')).isOk()).toBe(true);
  expect(served.router.server.served).toBeGreaterThan(0);
  expect(also.router.server.served).toBe(0);
});

test('a refusal of the store at the relay is repeated through other members', async () => {
  const [cut, relay, third] = (await openPolling(['a', 'b', 'c'])) as [
    RelayMember,
    RelayMember,
    RelayMember,
  ];
  cut.front.mode = 'many';
  await waitUntil(() => cut.routes.at(-1) === 'relayed', 1_500);
  relay.front.mode = 'many';
  third.front.mode = 'many';
  expect((await cut.put('jobs/1')).unwrapErr().kind).toBe('store-unavailable');
  expect(state.read(['jobs/1'])).toEqual([]);
});

test('members open links with each other while the store serves all of them', async () => {
  const opened = await openPolling(['a', 'b', 'c']);
  await sleep(500, signal);
  expect(opened.flatMap(({ routes }) => routes)).toEqual([]);
  expect(opened.map(({ router }) => router.server.served)).toEqual([0, 0, 0]);
});
