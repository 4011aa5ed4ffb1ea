import { describe, expect, test } from '@jest/globals';
import { ManualClock, type JobDecision, type JobEvent, type PoolInstance } from '../src/index.js';
import { executor, job, newDecider, step } from './support/job-fixtures.js';

// Each test is named after the failure that it guards against.

function instance(name: string, over: Partial<PoolInstance> = {}): PoolInstance {
  return {
    name,
    pool: 'p1',
    state: 'up',
    zone: 'z1',
    rack: 'r1',
    capacity: { processors: 8, memoryMb: 8_000, accelerators: 0 },
    executor: undefined,
    ...over,
  };
}

/** An owner that took over at 1,000 with the job `a`; `e1` and `e2` were its predecessor's. */
class Successor {
  readonly #decider = newDecider(new ManualClock(1_000), {
    firstAttempt: 1_001,
    recoveryEndsAt: 6_200,
    inheritedExecutors: ['e1', 'e2'],
  });
  #now = 1_000;

  constructor(listed: readonly string[]) {
    this.handle({ type: 'jobs', jobs: [{ accepted: job('a', [step()]) }], adopted: true });
    this.handle({ type: 'executors', executors: listed.map((id) => executor(id)) });
    const report = { executor: 'e1', startedWallMs: 1, running: [], ended: [] };
    this.handle({ type: 'report', leaseEndsAt: 9_000, report: { ...report, sentAt: this.#now } });
  }

  handle(event: JobEvent): readonly JobDecision[] {
    this.#now += 10;
    return this.#decider.handle(event, this.#now);
  }

  /** Whether a list that also has `e1` on an instance starts the task. */
  startsAfter(...others: readonly PoolInstance[]): boolean {
    const instances = [instance('i1', { executor: 'e1' }), ...others];
    return this.starts({ type: 'instances', instances, requestedAt: this.#now });
  }

  get awaited(): number {
    return this.#decider.awaitedExecutors;
  }

  starts(event: JobEvent): boolean {
    return this.handle(event).some(({ type }) => type === 'start');
  }
}

const SILENT = { type: 'silent', executor: 'e2', leaseEndsAt: 9_000 } as const;

describe('adopted tasks wait until leases have ended', () => {
  test('although the instance of the only executor that has not reported is maintained', () => {
    const owner = new Successor(['e1']);
    expect(owner.startsAfter(instance('i2', { state: 'maintenance' }))).toBe(true);
  });

  test('although the executor that does not answer is replaced by another on its instance', () => {
    const owner = new Successor(['e1', 'e2']);
    owner.starts(SILENT);
    expect(owner.startsAfter(instance('i2', { executor: 'e3' }))).toBe(true);
  });
});

describe('adopted tasks are started while an earlier run may go on', () => {
  test.each([
    ['is up', instance('i2', { executor: 'e2' })],
    ['is down', instance('i2', { executor: 'e2', state: 'down' })],
  ])('at an executor that is not registered and whose instance %s', (_state, of) => {
    const owner = new Successor(['e1']);
    expect(owner.startsAfter(of)).toBe(false);
  });

  test('at an executor that may still answer its first poll', () => {
    const owner = new Successor(['e1', 'e2']);
    expect(owner.startsAfter(instance('i2'))).toBe(false);
    expect(owner.awaited).toBe(1);
    expect(owner.starts(SILENT)).toBe(true);
    expect(owner.awaited).toBe(0);
  });

  test('at an executor of a platform that lists no instances', () => {
    const owner = new Successor(['e1']);
    expect(owner.starts({ type: 'instances', instances: [], requestedAt: 1_020 })).toBe(false);
  });
});
