import { afterEach, beforeEach, describe, expect, test } from '@jest/globals';
import { MemoryTableStore, type TableStore, type Transaction } from '@turmerichoist/coordination';
import { SeededRandom, fail, type JobProgress } from '@turmerichoist/core';
import { NoMetrics, silentLogger, SystemClock } from '@turmerichoist/runtime';
import { Acceptor } from '../src/jobs/acceptor.js';
import { ProgressWriter } from '../src/jobs/progress-writer.js';

// Each test is named after the failure that it guards against.

const RUNNING: JobProgress = {
  state: 'running',
  endedWallMs: 0,
  done: { '0.0': [1] },
  failures: {},
};
const DONE: JobProgress = {
  state: 'completed',
  endedWallMs: 9,
  done: { '0.0': 'all' },
  failures: {},
};

let controller: AbortController;
let store: MemoryTableStore;
let ids = 0;

beforeEach(() => {
  controller = new AbortController();
  store = new MemoryTableStore();
});

afterEach(() => {
  controller.abort();
});

function newId(): string {
  ids += 1;
  return `txn-${ids}`;
}

async function eventually(check: () => boolean): Promise<void> {
  for (let tries = 0; tries < 500 && !check(); tries += 1) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  expect(check()).toBe(true);
}

async function valueOf(key: string): Promise<unknown> {
  const rows = (await store.read([key], controller.signal)).unwrap();
  return rows[0]?.value;
}

/** Store whose commits pass through `commit`, with the number of the call, starting at 1. */
function intercept(
  commit: (txn: Transaction, call: number) => ReturnType<TableStore['commit']> | undefined,
): TableStore {
  let calls = 0;
  return {
    commit: (txn, signal) => {
      calls += 1;
      return commit(txn, calls) ?? store.commit(txn, signal);
    },
    read: (keys, signal) => store.read(keys, signal),
    range: (prefix, after, limit, signal) => store.range(prefix, after, limit, signal),
  };
}

describe('accepting jobs', () => {
  const context = () => ({ log: silentLogger, signal: controller.signal });
  const clock = new SystemClock();
  const random = new SeededRandom(1);
  const acceptor = (of: TableStore = store) =>
    new Acceptor({ store: of, clock, random, newId }, context());
  const soon = () => clock.now() + 2_000;
  const shortly = () => clock.now() + 150;

  test('a repeated submission replaces the job that was accepted', async () => {
    const first = acceptor();
    expect((await first.accept('jobs/a', { n: 1 }, soon())).isOk()).toBe(true);
    expect((await first.accept('jobs/a', { n: 2 }, soon())).isOk()).toBe(true);
    expect(await valueOf('jobs/a')).toEqual({ n: 1 });
  });

  test('a job that exists makes the jobs of its batch fail', async () => {
    const shared = acceptor();
    await shared.accept('jobs/a', { n: 1 }, soon());
    const results = await Promise.all(
      ['a', 'b', 'c'].map((id) => shared.accept(`jobs/${id}`, { n: 2 }, soon())),
    );
    expect(results.every((result) => result.isOk())).toBe(true);
    expect(await valueOf('jobs/c')).toEqual({ n: 2 });
  });

  test('a job is reported as never run although its write may have taken effect', async () => {
    // The response to the first attempt is lost, and the store is gone for all later ones.
    const losing = intercept((txn, call) => {
      if (call > 1) {
        return Promise.resolve(fail('store-unavailable', 'status 429'));
      }
      store.setFaults({ loseAnswers: 1 });
      return store.commit(txn, controller.signal);
    });
    const result = await acceptor(losing).accept('jobs/a', { n: 1 }, shortly());
    expect(result.unwrapErr().kind).toBe('outcome-unknown');
    expect(await valueOf('jobs/a')).toEqual({ n: 1 });
  });

  test('a job whose response was lost is not confirmed although it is stored', async () => {
    store.setFaults({ loseAnswers: 1 });
    const result = await acceptor().accept('jobs/a', { n: 1 }, soon());
    expect(result.isOk()).toBe(true);
  });

  test('a job whose request was lost is not sent again', async () => {
    store.setFaults({ loseRequests: 2 });
    const result = await acceptor().accept('jobs/a', { n: 1 }, soon());
    expect(result.isOk()).toBe(true);
    expect(await valueOf('jobs/a')).toEqual({ n: 1 });
  });

  test('a refusal of a moment is final although the caller still waits', async () => {
    const busy = intercept((_txn, call) =>
      call <= 3 ? Promise.resolve(fail('store-unavailable', 'status 429', 20)) : undefined,
    );
    const result = await acceptor(busy).accept('jobs/a', { n: 1 }, soon());
    expect(result.isOk()).toBe(true);
  });

  test('a store that refuses writes is called without a pause', async () => {
    let calls = 0;
    const refusing = intercept(() => {
      calls += 1;
      return Promise.resolve(fail('store-unavailable', 'status 429'));
    });
    await acceptor(refusing).accept('jobs/a', { n: 1 }, clock.now() + 1_000);
    expect(calls).toBeGreaterThan(2);
    // The delays are 100 ms on average once they have grown to their bound.
    expect(calls).toBeLessThan(40);
  });

  test('an attempt that was cut short by the end of the process is reported as never run', async () => {
    const hanging = intercept(() => new Promise<never>(() => undefined));
    const sent = acceptor(hanging).accept('jobs/a', { n: 1 }, soon());
    await new Promise((resolve) => setTimeout(resolve, 20));
    controller.abort();
    expect((await sent).unwrapErr().kind).toBe('outcome-unknown');
  });

  test('a job is accepted while the store is down', async () => {
    store.setFaults({ down: true });
    const result = await acceptor().accept('jobs/a', { n: 1 }, shortly());
    expect(result.unwrapErr().kind).toBe('store-unavailable');
    store.setFaults({ down: false });
    await new Promise((resolve) => setTimeout(resolve, 300));
    expect(await valueOf('jobs/a')).toBeUndefined();
  });

  test('callers get no answer by their deadline while an earlier write is unanswered', async () => {
    // The store never answers.
    const hanging = {
      commit: () => new Promise<never>(() => undefined),
      read: () => new Promise<never>(() => undefined),
      range: () => new Promise<never>(() => undefined),
    };
    const shared = acceptor(hanging);
    const deadline = clock.now() + 60;
    const sent = shared.accept('jobs/a', { n: 1 }, deadline);
    await new Promise((resolve) => setTimeout(resolve, 20));
    const waiting = shared.accept('jobs/b', { n: 1 }, deadline);
    expect((await sent).unwrapErr().kind).toBe('outcome-unknown');
    expect((await waiting).unwrapErr().kind).toBe('deadline-passed');
  });

  test('a job whose caller has given up is written', async () => {
    const result = await acceptor().accept('jobs/a', { n: 1 }, clock.now() - 1);
    expect(result.unwrapErr().kind).toBe('deadline-passed');
    expect(await valueOf('jobs/a')).toBeUndefined();
  });
});

describe('writing progress', () => {
  const acknowledged: number[] = [];
  let superseded = 0;

  async function createWriter(progressStore: TableStore = store): Promise<ProgressWriter> {
    acknowledged.length = 0;
    superseded = 0;
    const txn = {
      txnId: newId(),
      conditions: [],
      writes: [{ key: 'cell/owner', value: { n: 1 } }],
    };
    const claimed = (await store.commit(txn, controller.signal)).unwrap();
    const epoch = claimed.committed ? (claimed.versions['cell/owner'] ?? 0) : 0;
    return new ProgressWriter(
      {
        store: progressStore,
        ownerKey: 'cell/owner',
        epoch,
        clock: new SystemClock(),
        newId,
        metrics: new NoMetrics(),
        onAcknowledged: ({ through }) => acknowledged.push(through),
        onSuperseded: () => {
          superseded += 1;
        },
      },
      { log: silentLogger, signal: controller.signal },
    );
  }

  const acknowledgement = { executor: 'e1', startedWallMs: 1, through: 3 };

  test('an ended run is acknowledged before its progress is stored', async () => {
    const writer = await createWriter();
    store.setFaults({ down: true });
    writer.post({ type: 'persist', job: 'a', progress: RUNNING });
    writer.post({ type: 'acknowledge', acknowledgement });
    await new Promise((resolve) => setTimeout(resolve, 250));
    expect(acknowledged).toEqual([]);
    store.setFaults({ down: false });
    await eventually(() => acknowledged.length === 1);
    expect(await valueOf('progress/a')).toEqual(RUNNING);
  });

  test('an acknowledgement overtakes progress that did not fit into the batch', async () => {
    const writer = await createWriter();
    for (let job = 0; job < 200; job += 1) {
      writer.post({ type: 'persist', job: `j${job}`, progress: RUNNING });
    }
    writer.post({ type: 'acknowledge', acknowledgement });
    await eventually(() => acknowledged.length === 1);
    expect(await valueOf('progress/j199')).toEqual(RUNNING);
  });

  test('older progress is written over newer', async () => {
    const writer = await createWriter();
    writer.post({ type: 'persist', job: 'a', progress: RUNNING });
    writer.post({ type: 'persist', job: 'a', progress: DONE });
    writer.post({ type: 'acknowledge', acknowledgement });
    await eventually(() => acknowledged.length === 1);
    expect(await valueOf('progress/a')).toEqual(DONE);
  });

  test('a former owner writes progress or acknowledges ended runs', async () => {
    const writer = await createWriter();
    const txn = {
      txnId: newId(),
      conditions: [],
      writes: [{ key: 'cell/owner', value: { n: 2 } }],
    };
    await store.commit(txn, controller.signal);
    writer.post({ type: 'persist', job: 'a', progress: DONE });
    writer.post({ type: 'acknowledge', acknowledgement });
    await eventually(() => superseded === 1);
    expect(acknowledged).toEqual([]);
    expect(await valueOf('progress/a')).toBeUndefined();
  });

  /** A store that commits each transaction only when the test says so. */
  class SteppedStore implements TableStore {
    readonly commits: (readonly string[])[] = [];
    #next: (() => void) | undefined;

    async commit(txn: Transaction, signal: AbortSignal): ReturnType<TableStore['commit']> {
      this.commits.push(txn.writes.map(({ key }) => key.replace('progress/', '')));
      await new Promise<void>((resolve) => {
        this.#next = resolve;
      });
      return store.commit(txn, signal);
    }

    read: TableStore['read'] = (keys, signal) => store.read(keys, signal);
    range: TableStore['range'] = (...args) => store.range(...args);

    /** Waits for transaction `number`, from 1, and commits it. */
    async step(number: number): Promise<void> {
      await eventually(() => this.commits.length >= number);
      this.#next?.();
    }
  }

  const queueJobs = (writer: ProgressWriter, prefix: string, count: number): void => {
    for (let job = 0; job < count; job += 1) {
      writer.post({ type: 'persist', job: `${prefix}${job}`, progress: RUNNING });
    }
  };

  test('an acknowledgement waits for progress that was decided after it', async () => {
    const stepped = new SteppedStore();
    const writer = await createWriter(stepped);
    queueJobs(writer, 'a', 40);
    writer.post({ type: 'acknowledge', acknowledgement });
    queueJobs(writer, 'b', 200);
    await stepped.step(1);
    await eventually(() => acknowledged.length === 1);
    expect(stepped.commits.length).toBeLessThanOrEqual(2);
  });

  test('an ended run that is listed again loses its place behind newer progress', async () => {
    const stepped = new SteppedStore();
    const writer = await createWriter(stepped);
    queueJobs(writer, 'a', 40);
    writer.post({ type: 'acknowledge', acknowledgement });
    queueJobs(writer, 'b', 200);
    writer.post({ type: 'acknowledge', acknowledgement });
    await stepped.step(1);
    await eventually(() => acknowledged.length === 1);
    expect(stepped.commits.length).toBeLessThanOrEqual(2);
  });

  test('a job whose progress keeps changing is never written while others are', async () => {
    const stepped = new SteppedStore();
    const writer = await createWriter(stepped);
    writer.post({ type: 'persist', job: 'first', progress: RUNNING });
    await eventually(() => stepped.commits.length === 1);
    writer.post({ type: 'persist', job: 'busy', progress: RUNNING });
    queueJobs(writer, 'a', 200);
    writer.post({
      type: 'persist',
      job: 'busy',
      progress: { ...RUNNING, done: { '0.0': [1, 2] } },
    });
    await stepped.step(1);
    await stepped.step(2);
    expect(stepped.commits[1]).toContain('busy');
    await eventually(() => stepped.commits.length === 3);
    expect(await valueOf('progress/busy')).toMatchObject({ done: { '0.0': [1, 2] } });
  });

  test('a job that has ended is shown only after the progress of many others', async () => {
    const stepped = new SteppedStore();
    const writer = await createWriter(stepped);
    queueJobs(writer, 'a', 200);
    writer.post({ type: 'persist', job: 'ended', progress: DONE });
    await eventually(() => stepped.commits.length === 1);
    expect(stepped.commits[0]).toContain('ended');
  });

  test('acknowledgements wait for ever while ended jobs fill every batch', async () => {
    const stepped = new SteppedStore();
    const writer = await createWriter(stepped);
    writer.post({ type: 'persist', job: 'open', progress: RUNNING });
    writer.post({ type: 'acknowledge', acknowledgement });
    for (let job = 0; job < 300; job += 1) {
      writer.post({ type: 'persist', job: `e${job}`, progress: DONE });
    }
    await stepped.step(1);
    expect(stepped.commits[0]).toContain('open');
    await eventually(() => acknowledged.length === 1);
  });

  test('an acknowledgement overtakes progress that changed while its batch was written', async () => {
    const stepped = new SteppedStore();
    const writer = await createWriter(stepped);
    writer.post({ type: 'persist', job: 'a', progress: RUNNING });
    await eventually(() => stepped.commits.length === 1);
    writer.post({ type: 'persist', job: 'a', progress: DONE });
    writer.post({ type: 'acknowledge', acknowledgement });
    await writer.idle();
    await stepped.step(1);
    await eventually(() => stepped.commits.length === 2);
    expect(acknowledged).toEqual([]);
    await stepped.step(2);
    await eventually(() => acknowledged.length === 1);
    expect(await valueOf('progress/a')).toEqual(DONE);
  });

  test('a backlog behind a slow store is not visible', async () => {
    const stepped = new SteppedStore();
    const writer = await createWriter(stepped);
    expect(writer.backlog).toEqual({ jobs: 0, acknowledgements: 0, oldestAgeMs: 0 });
    queueJobs(writer, 'a', 100);
    writer.post({ type: 'acknowledge', acknowledgement });
    await eventually(() => stepped.commits.length === 1 && writer.backlog.oldestAgeMs > 0);
    expect(writer.backlog).toMatchObject({ jobs: 100, acknowledgements: 1 });
  });

  test('ended runs are acknowledged without their progress after another owner has taken over', async () => {
    const writer = await createWriter();
    const txn = {
      txnId: newId(),
      conditions: [],
      writes: [{ key: 'cell/owner', value: { n: 2 } }],
    };
    await store.commit(txn, controller.signal);
    writer.post({ type: 'persist', job: 'a', progress: DONE });
    await eventually(() => superseded === 1);
    writer.post({ type: 'acknowledge', acknowledgement });
    await new Promise((resolve) => setTimeout(resolve, 50));
    expect(acknowledged).toEqual([]);
  });
});
