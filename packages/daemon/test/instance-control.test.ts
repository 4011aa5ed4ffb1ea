import { afterEach, beforeEach, describe, expect, test } from '@jest/globals';
import { CELL_OWNER_KEY, MemoryTableStore } from '@turmerichoist/coordination';
import { ManualClock, type JobEvent } from '@turmerichoist/core';
import { NoMetrics, silentLogger, sleep } from '@turmerichoist/runtime';
import { withoutCounts, type Bulletin } from '../src/jobs/bulletin.js';
import {
  InstanceControl,
  ORDER_CONCURRENCY,
  type InstanceControlOptions,
} from '../src/jobs/instance-control.js';
import { ANNOUNCED_ORDERS_KEY } from '../src/jobs/order-announcer.js';

// Each test is named after the failure that it guards against.

const HANDOVER_MS = 3_000;
const ELECTED_AT = 10_000;
const SETTLE_MS = 1_500;
const ANNOUNCING: Bulletin = {
  executors: [],
  poolSizes: {},
  mayOrder: true,
  announcesOrders: true,
};
/** Bulletin of a version that announces no orders. */
const EARLIER_VERSION: Bulletin = { executors: [], poolSizes: {}, mayOrder: true };

/** Store that runs a step before each commit. */
class SteppedStore extends MemoryTableStore {
  commits = 0;
  before: () => Promise<void> = () => Promise.resolve();

  override async commit(...args: Parameters<MemoryTableStore['commit']>) {
    this.commits += 1;
    await this.before();
    return super.commit(...args);
  }
}

let controller: AbortController;
let clock: ManualClock;
let store: SteppedStore;
let leading: boolean;
/** Orders that reached the platform, each with the instances that the store named then. */
let sent: { readonly instance: string; readonly announced: readonly string[] }[];
let events: JobEvent[];

beforeEach(() => {
  controller = new AbortController();
  clock = new ManualClock(ELECTED_AT);
  store = new SteppedStore();
  store.state.commit({
    txnId: '',
    conditions: [],
    writes: [{ key: CELL_OWNER_KEY, value: { member: 'b' } }],
  });
  leading = true;
  sent = [];
  events = [];
});

afterEach(() => {
  controller.abort();
});

function announced(): readonly string[] {
  const [row] = store.state.read([ANNOUNCED_ORDERS_KEY]);
  return (row?.value as { readonly own: readonly string[] } | undefined)?.own ?? [];
}

function newControl(over: Partial<InstanceControlOptions> = {}): InstanceControl {
  let ids = 0;
  return new InstanceControl(
    {
      fleet: {
        list: () => Promise.reject(new Error('not listed')),
        order: ({ instance }) => {
          sent.push({ instance, announced: announced() });
          return Promise.resolve('done');
        },
      },
      term: { epoch: 1, generation: 4, succeedsSelf: false },
      holder: 'b',
      store,
      inheritedBulletin: ANNOUNCING,
      orderHandoverMs: HANDOVER_MS,
      mayAct: () => leading,
      clock,
      metrics: new NoMetrics(),
      newId: () => `txn-${(ids += 1)}`,
      owner: {
        post: (event) => {
          events.push(event);
          return true;
        },
      },
      ...over,
    },
    { log: silentLogger, signal: controller.signal },
  );
}

function move(instance: string) {
  return { type: 'move', instance, pool: 'p1' } as const;
}

function answers(): readonly string[] {
  return events.flatMap((event) => (event.type === 'order-answer' ? [event.outcome] : []));
}

describe('an order is sent', () => {
  test('before the store names its instance, or with a transaction for each order', async () => {
    const control = newControl();
    await Promise.all(['i1', 'i2', 'i3'].map((name) => control.order(move(name))));
    const all = ['i1', 'i2', 'i3'];
    expect(sent).toEqual(all.map((instance) => ({ instance, announced: all })));
    expect(store.commits).toBe(1);
    await control.order(move('i1'));
    expect(store.commits).toBe(1);
  });

  test('although the store did not take its announcement', async () => {
    const control = newControl();
    store.setFaults({ down: true });
    await control.order(move('i1'));
    expect([sent, answers()]).toEqual([[], ['not-sent']]);
    store.setFaults({ down: false, loseAnswers: 1 });
    await control.order(move('i1'));
    expect([sent, answers()]).toEqual([[], ['not-sent', 'not-sent']]);
  });

  test('by a leader whose successor has read the announced orders', async () => {
    const control = newControl();
    store.before = () => {
      const writes = [{ key: CELL_OWNER_KEY, value: { member: 'c' } }];
      store.state.commit({ txnId: '', conditions: [], writes });
      return Promise.resolve();
    };
    await control.order(move('i1'));
    expect([sent, answers()]).toEqual([[], ['not-sent']]);
  });

  test('although the lease has lapsed during the announcement', async () => {
    const control = newControl();
    store.before = () => {
      leading = false;
      return Promise.resolve();
    };
    await control.order(move('i1'));
    expect([sent, answers()]).toEqual([[], ['not-sent']]);
    expect(announced()).toEqual(['i1']);
  });

  test('long after it was decided, and never by a store that takes that long', async () => {
    const control = newControl();
    store.before = () => {
      clock.advance(1_200);
      return Promise.resolve();
    };
    await control.order(move('i1'));
    expect([sent, answers()]).toEqual([[], ['not-sent']]);
    await control.order(move('i1'));
    expect(sent.map(({ instance }) => instance)).toEqual(['i1']);
  });
});

describe('an order that waits for a connection is sent', () => {
  test.each([
    ['after the lease has lapsed', () => (leading = false)],
    [
      'long after it was decided',
      () => {
        clock.advance(1_200);
      },
    ],
  ])('%s', async (_what, meanwhile) => {
    const control = newControl({
      fleet: {
        list: () => Promise.reject(new Error('not listed')),
        order: (_order, _token, { isWanted }) => {
          meanwhile();
          return Promise.resolve(isWanted() ? 'done' : 'not-sent');
        },
      },
    });
    await control.order(move('i1'));
    expect(answers()).toEqual(['not-sent']);
  });
});

describe('orders behind a platform that is slow are sent', () => {
  const EXTRA = 10;
  let pending: (() => void)[];
  let ended: Promise<unknown>;

  /** Orders more moves at once than are sent at once. The platform answers when told to. */
  beforeEach(async () => {
    pending = [];
    const control = newControl({
      fleet: {
        list: () => Promise.reject(new Error('not listed')),
        order: ({ instance }) => {
          sent.push({ instance, announced: announced() });
          return new Promise((resolve) => {
            pending.push(() => {
              resolve('done');
            });
          });
        },
      },
    });
    const names = Array.from({ length: ORDER_CONCURRENCY + EXTRA }, (_, index) => `i${index}`);
    ended = Promise.all(names.map((name) => control.order(move(name))));
    await sleep(5, controller.signal);
    expect(sent).toHaveLength(ORDER_CONCURRENCY);
  });

  async function answerAll(): Promise<void> {
    pending.forEach((answer) => {
      answer();
    });
    await new Promise((resolve) => setTimeout(resolve, 10));
  }

  function expectNoneAfterTheFirst(): void {
    expect(sent).toHaveLength(ORDER_CONCURRENCY);
    const outcomes = answers();
    expect(outcomes.filter((outcome) => outcome === 'done')).toHaveLength(ORDER_CONCURRENCY);
    expect(outcomes.filter((outcome) => outcome === 'not-sent')).toHaveLength(EXTRA);
  }

  // Ninety orders waited for four connections for up to 2.4 s after the lease had been checked.
  test('after the leader lease has lapsed', async () => {
    leading = false;
    await answerAll();
    await ended;
    expectNoneAfterTheFirst();
  });

  test('after the term has ended', async () => {
    controller.abort();
    await answerAll();
    expect(sent).toHaveLength(ORDER_CONCURRENCY);
  });

  test('long after the instance was found idle', async () => {
    clock.advance(1_001);
    await answerAll();
    await ended;
    expectNoneAfterTheFirst();
  });

  test('never, although they waited for a short time only', async () => {
    await answerAll();
    await answerAll();
    await ended;
    expect(answers()).toEqual(Array.from({ length: ORDER_CONCURRENCY + EXTRA }, () => 'done'));
  });
});

describe('a new leader', () => {
  test('waits with all instances, or with none, after one that announces its orders', async () => {
    const former = { holder: 'a', own: ['i1'], former: ['i2'] };
    store.state.commit({
      txnId: '',
      conditions: [],
      writes: [{ key: ANNOUNCED_ORDERS_KEY, value: former }],
    });
    const control = newControl();
    expect(control.ordersAllowedAt).toBe(ELECTED_AT + HANDOVER_MS + SETTLE_MS);
    clock.advance(200);
    await control.start();
    const until = ELECTED_AT + HANDOVER_MS + SETTLE_MS;
    const held = ['i1', 'i2'].map((instance) => ({ instance, until }));
    expect(events).toEqual([{ type: 'former-orders', held }]);
    expect(control.announcesOrders).toBe(true);
    await control.order(move('i3'));
    const [row] = store.state.read([ANNOUNCED_ORDERS_KEY]);
    expect(row?.value).toEqual({ holder: 'b', own: ['i3'], former: ['i1', 'i2'] });
  });

  test('relies on announced orders of a leader that announces none, or lets its successor do so', async () => {
    const control = newControl({ inheritedBulletin: withoutCounts(EARLIER_VERSION) });
    await control.start();
    expect(events).toEqual([]);
    expect(control.ordersAllowedAt).toBe(ELECTED_AT + HANDOVER_MS);
    clock.advance(HANDOVER_MS - 1);
    expect(control.announcesOrders).toBe(false);
    clock.advance(1);
    expect(control.announcesOrders).toBe(true);
  });

  // Its own member's orders need not be waited for by itself, but by another member.
  test('tells its successor nothing of the orders of its own process of an earlier version', () => {
    const term = { epoch: 1, generation: 4, succeedsSelf: true };
    const control = newControl({ term, inheritedBulletin: EARLIER_VERSION });
    expect(control.ordersAllowedAt).toBe(ELECTED_AT + SETTLE_MS);
    clock.advance(SETTLE_MS);
    expect([control.mayOrder, control.announcesOrders]).toEqual([true, false]);
    clock.advance(HANDOVER_MS - SETTLE_MS);
    expect(control.announcesOrders).toBe(true);
  });

  test('waits for the whole time because the store did not answer its first read', async () => {
    const control = newControl();
    store.setFaults({ down: true });
    const started = control.start();
    await sleep(20, controller.signal);
    expect(events).toEqual([]);
    store.setFaults({ down: false });
    await started;
    expect(events).toEqual([{ type: 'former-orders', held: [] }]);
  });
});

test('instances stay named although the next leader need not wait for them', async () => {
  const control = newControl();
  await control.order(move('i1'));
  clock.advance(HANDOVER_MS - 1);
  control.removeExpired();
  await sleep(1, controller.signal);
  expect(announced()).toEqual(['i1']);
  clock.advance(1);
  control.removeExpired();
  await sleep(1, controller.signal);
  expect(announced()).toEqual([]);
});
