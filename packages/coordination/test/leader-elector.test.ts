import { afterEach, beforeEach, describe, expect, test } from '@jest/globals';
import { SeededRandom, type AppError, type Result } from '@turmerichoist/core';
import { SystemClock, silentLogger, sleep } from '@turmerichoist/runtime';
import {
  CELL_LEASE_KEY,
  CELL_OWNER_KEY,
  LeaderElector,
  type LeaderEvent,
} from '../src/io/leader-elector.js';
import {
  MemoryTableStore,
  type TableState,
  type Transaction,
  type TxnOutcome,
} from '../src/store/index.js';

const AMPLE = 1;
const BULLETIN = { waiting: {} };

/** Store whose commits may be preceded by another one, or delayed. */
class InterceptedStore extends MemoryTableStore {
  /** Called before each commit. */
  before: (txn: Transaction) => void = () => undefined;
  /** Time from the effect of a commit to its response. */
  latencyOf: (txn: Transaction) => number = () => 0;

  override async commit(
    txn: Transaction,
    signal: AbortSignal,
  ): Promise<Result<TxnOutcome, AppError>> {
    this.before(txn);
    const outcome = await super.commit(txn, signal);
    await sleep(this.latencyOf(txn), signal);
    return outcome;
  }
}

function writesTo(txn: Transaction, key: string): boolean {
  return txn.writes.some((write) => write.key === key);
}

function write(state: TableState, key: string, value: object): void {
  state.commit({ txnId: '', conditions: [], writes: [{ key, value: { ...value } }] });
}

let controller: AbortController;
let store: InterceptedStore;
let events: LeaderEvent[];

function startElector(member: string, capacity = AMPLE): LeaderElector {
  let ids = 0;
  const elector = new LeaderElector(
    {
      member,
      incarnation: `${member}1`,
      capacity,
      store,
      clock: new SystemClock(),
      random: new SeededRandom(1),
      newId: () => `${member}-${(ids += 1)}`,
      listener: {
        post: (event) => {
          events.push(event);
          return true;
        },
      },
      bulletin: () => BULLETIN,
    },
    { log: silentLogger, signal: controller.signal },
  );
  elector.start();
  return elector;
}

beforeEach(() => {
  controller = new AbortController();
  store = new InterceptedStore();
  events = [];
});

afterEach(() => {
  controller.abort();
});

describe('the elector', () => {
  // A renewal leaves the owner row as it is; both members then held the lease for up to 350 ms.
  test('claims a cell whose leader has renewed its lease just before', async () => {
    const owner = { member: 'b', incarnation: 'b1', generation: 3, released: false };
    write(store.state, CELL_OWNER_KEY, owner);
    write(store.state, CELL_LEASE_KEY, { beat: 1, bulletin: BULLETIN });
    let claims = 0;
    store.before = (txn) => {
      if (writesTo(txn, CELL_OWNER_KEY)) {
        claims += 1;
        write(store.state, CELL_LEASE_KEY, { beat: 2, bulletin: BULLETIN });
      }
    };
    startElector('a');
    await sleep(2_600, controller.signal);
    expect(claims).toBe(1);
    expect(events.filter(({ type }) => type === 'elected')).toEqual([]);
  });

  test.each([
    // A part of the store may let a transaction wait for up to a second.
    ['every renewal takes 800 ms', (): number => 800],
    ['one renewal hangs', (renewal: number): number => (renewal === 3 ? 60_000 : 0)],
  ])('loses its lease although the store works, as %s', async (_name, latencyOf) => {
    let renewals = 0;
    store.latencyOf = (txn) => (writesTo(txn, CELL_LEASE_KEY) ? latencyOf((renewals += 1)) : 0);
    const elector = startElector('a');
    await sleep(1_100, controller.signal);
    const elected = events.find((event) => event.type === 'elected');
    expect(elected).toBeDefined();
    let lapses = 0;
    for (let i = 0; i < 80 && elected !== undefined; i++) {
      lapses += elector.isLeaderOf(elected.term) ? 0 : 1;
      await sleep(50, controller.signal);
    }
    expect(lapses).toBe(0);
  });

  test('keeps the cell on a small member after a large one has started', async () => {
    const small = startElector('s', 0.1);
    await sleep(2_500, controller.signal);
    const first = events.find((event) => event.type === 'elected');
    expect(first && small.isLeaderOf(first.term)).toBe(true);
    const large = startElector('l', 1.35);
    await sleep(4_500, controller.signal);
    const terms = events.filter((event) => event.type === 'elected').map(({ term }) => term);
    expect(terms).toHaveLength(2);
    expect(terms.map((term) => large.isLeaderOf(term))).toEqual([false, true]);
    expect(terms.map((term) => small.isLeaderOf(term))).toEqual([false, false]);
    expect(events.filter(({ type }) => type === 'deposed')).toHaveLength(1);
  });
});
