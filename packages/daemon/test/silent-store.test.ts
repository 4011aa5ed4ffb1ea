import { afterEach, beforeEach, describe, expect, test } from '@jest/globals';
import { MemoryTableStore, type TableStore } from '@turmerichoist/coordination';
import {
  JobDirectory,
  Ok,
  SeededRandom,
  fail,
  type AppError,
  type Millis,
  type Result,
} from '@turmerichoist/core';
import { NoMetrics, SystemClock, silentLogger } from '@turmerichoist/runtime';
import { Acceptor } from '../src/jobs/acceptor.js';
import { JobIntake } from '../src/jobs/intake.js';
import { JobService } from '../src/jobs/job-service.js';
import type { JobCall, JobReply } from '../src/jobs/ports.js';
import { JOB_CONFIG, JOB_SPEC } from './support/job-cell-fixture.js';

// Each test is named after the failure that it guards against. The store answers nothing until it
// is released, while other members may be served.

const DEADLINE_MS: Millis = 1_500;
/** Well below the deadline; an answer at once takes a few milliseconds. */
const AT_ONCE_MS: Millis = 300;
/** Longer than the delay before a batch is written. */
const SENT_AFTER_MS: Millis = 30;

const clock = new SystemClock();
let controller: AbortController;
let store: SilenceableStore;
let ids = 0;

/** Keeps calls while it is silent; they fail like a call that timed out when they are dropped. */
class SilenceableStore implements TableStore {
  readonly inner = new MemoryTableStore();
  silent = false;
  commits = 0;
  readonly #held: (() => void)[] = [];

  commit: TableStore['commit'] = async (txn, signal) => {
    this.commits += 1;
    return (await this.#unanswered(signal))
      ? fail('outcome-unknown')
      : this.inner.commit(txn, signal);
  };

  read: TableStore['read'] = async (keys, signal) =>
    (await this.#unanswered(signal)) ? fail('store-unavailable') : this.inner.read(keys, signal);

  range: TableStore['range'] = (prefix, after, limit, signal) =>
    this.inner.range(prefix, after, limit, signal);

  /** Ends the calls that are held without an answer. */
  drop(): void {
    this.#held.splice(0).forEach((end) => {
      end();
    });
  }

  /** Resolves to false when the store answers, and to true when the call ends without an answer. */
  #unanswered(signal: AbortSignal): Promise<boolean> {
    if (!this.silent) {
      return Promise.resolve(false);
    }
    return new Promise((resolve) => {
      const end = (): void => {
        resolve(true);
      };
      this.#held.push(end);
      signal.addEventListener('abort', end, { once: true });
    });
  }
}

beforeEach(() => {
  controller = new AbortController();
  store = new SilenceableStore();
});

afterEach(() => {
  controller.abort();
});

const context = () => ({ log: silentLogger, signal: controller.signal });

function newId(): string {
  ids += 1;
  return `txn-${ids}`;
}

function pause(ms: Millis): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Returns the result and the time that it took. */
async function timed<T>(
  pending: Promise<Result<T, AppError>>,
): Promise<{ readonly result: Result<T, AppError>; readonly ms: Millis }> {
  const startedAt = clock.now();
  const result = await pending;
  return { result, ms: clock.now() - startedAt };
}

describe('submissions', () => {
  const openAcceptor = () =>
    new Acceptor({ store, clock, random: new SeededRandom(1), newId }, context());
  const submit = (acceptor: Acceptor, id: string) =>
    timed(acceptor.accept(`jobs/${id}`, { id }, clock.now() + DEADLINE_MS));

  test('a submission hangs until its deadline although the store is known not to answer', async () => {
    store.silent = true;
    const acceptor = openAcceptor();
    acceptor.post({ type: 'reachable', reachable: false });
    const { result, ms } = await submit(acceptor, 'a');
    expect(result.unwrapErr().kind).toBe('store-unavailable');
    expect(ms).toBeLessThan(AT_ONCE_MS);
    expect(store.commits).toBe(0);
  });

  test('a submission that waits behind an unanswered one hangs until its deadline', async () => {
    store.silent = true;
    const acceptor = openAcceptor();
    const sent = submit(acceptor, 'a');
    await pause(SENT_AFTER_MS);
    const waiting = submit(acceptor, 'b');
    acceptor.post({ type: 'reachable', reachable: false });
    const { result, ms } = await waiting;
    expect(result.unwrapErr().kind).toBe('store-unavailable');
    expect(ms).toBeLessThan(AT_ONCE_MS);
    store.drop();
    await sent;
  });

  test('a job of which an attempt is in flight is reported as never run', async () => {
    store.silent = true;
    const acceptor = openAcceptor();
    const sent = submit(acceptor, 'a');
    await pause(SENT_AFTER_MS);
    acceptor.post({ type: 'reachable', reachable: false });
    expect((await sent).result.unwrapErr().kind).toBe('outcome-unknown');
  });

  test('a job of which an earlier attempt timed out is reported as never run', async () => {
    store.silent = true;
    const acceptor = openAcceptor();
    const sent = submit(acceptor, 'a');
    await pause(SENT_AFTER_MS);
    acceptor.post({ type: 'reachable', reachable: false });
    store.drop();
    const { result } = await sent;
    expect(result.unwrapErr().kind).toBe('outcome-unknown');
    expect(store.commits).toBe(1);
  });

  test('a job whose attempt timed out is not sent again once the store answers', async () => {
    store.silent = true;
    const acceptor = openAcceptor();
    const sent = submit(acceptor, 'a');
    await pause(SENT_AFTER_MS);
    acceptor.post({ type: 'reachable', reachable: false });
    store.drop();
    await pause(SENT_AFTER_MS);
    store.silent = false;
    acceptor.post({ type: 'reachable', reachable: true });
    expect((await sent).result.isOk()).toBe(true);
  });

  test('submissions are refused after the store has come back', async () => {
    const acceptor = openAcceptor();
    acceptor.post({ type: 'reachable', reachable: false });
    acceptor.post({ type: 'reachable', reachable: true });
    expect((await submit(acceptor, 'a')).result.isOk()).toBe(true);
  });
});

describe('calls about jobs', () => {
  const JOB = '00000000000000aa';
  const OTHER = '00000000000000bb';

  function openService(): JobService {
    const intake = new JobIntake(
      { tables: { openIntake: () => store }, clock, random: new SeededRandom(1), newId },
      context(),
    );
    const metrics = new NoMetrics();
    const { signal } = controller;
    const service = new JobService({
      intake,
      cell: store,
      clock,
      random: new SeededRandom(1),
      log: silentLogger,
      metrics,
      signal,
    });
    service.setDirectory(new JobDirectory(JOB_CONFIG));
    return service;
  }

  function call(
    service: JobService,
    id: string,
    action: JobCall['action'],
    timeoutMs = DEADLINE_MS,
  ) {
    const req = { host: 'jobs.example', path: `/q1/${id}`, key: undefined };
    return timed<JobReply>(service.handle({ ...req, timeoutMs, action }));
  }

  const submission = { type: 'submit', spec: Ok(JOB_SPEC) } as const;

  test('a state that is known here is answered only after the store has timed out', async () => {
    const service = openService();
    await call(service, JOB, submission);
    store.silent = true;
    service.setReachable(false);
    const { result, ms } = await call(service, JOB, { type: 'read' });
    expect(result.unwrap()).toEqual({ type: 'state', state: 'queued' });
    expect(ms).toBeLessThan(AT_ONCE_MS);
  });

  test('a caller whose read was under way waits although the store is known not to answer', async () => {
    const service = openService();
    store.silent = true;
    const read = call(service, OTHER, { type: 'read' });
    service.setReachable(false);
    const { result, ms } = await read;
    expect(result.unwrapErr().kind).toBe('store-unavailable');
    expect(ms).toBeLessThan(AT_ONCE_MS);
  });

  test('a job that the store has is said not to exist while the store does not answer', async () => {
    const service = openService();
    await call(service, JOB, submission);
    const other = openService();
    other.setReachable(false);
    const { result } = await call(other, JOB, { type: 'read' });
    expect(result.unwrapErr().kind).toBe('store-unavailable');
  });

  test('a refused caller is told to come back later than another entry could serve it', async () => {
    const service = openService();
    service.setReachable(false);
    const calls: readonly JobCall['action'][] = [submission, { type: 'read' }, { type: 'cancel' }];
    for (const action of calls) {
      const { result } = await call(service, OTHER, action);
      expect(result.unwrapErr().retryAfterMs).toBeLessThan(500);
    }
  });

  test('a caller uses up its tries at once while the store is away for all entries', async () => {
    const service = openService();
    service.setReachable(false);
    await call(service, OTHER, submission);
    const retry = await call(service, OTHER, submission, DEADLINE_MS - 100);
    expect(retry.result.unwrapErr().retryAfterMs).toBe(1_000);
    const other = await call(service, JOB, submission);
    expect(other.result.unwrapErr().retryAfterMs).toBe(0);
  });

  test('reads fail after the store has come back', async () => {
    const service = openService();
    await call(service, JOB, submission);
    service.setReachable(false);
    service.setReachable(true);
    const { result } = await call(openService(), JOB, { type: 'read' });
    expect(result.unwrap()).toEqual({ type: 'state', state: 'queued' });
    expect((await call(service, JOB, { type: 'read' })).result.isOk()).toBe(true);
  });
});
