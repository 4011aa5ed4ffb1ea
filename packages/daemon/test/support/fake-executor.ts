import {
  taskKey,
  type EndedRun,
  type ExecutorInfo,
  type Millis,
  type ReportedRun,
  type TaskKey,
} from '@turmerichoist/core';
import { sleep } from '@turmerichoist/runtime';
import type { ExecutorClient, ExecutorConnector, PollRequest } from '../../src/jobs/ports.js';

const CHECK_MS: Millis = 10;

/** A poll as the executor received it. */
export interface ReceivedPoll extends Omit<PollRequest, 'waitMs'> {
  readonly fencingToken: number;
  readonly at: Millis;
}

/** An executor of which all runs end when its lease does, as tasks that last. */
export class FakeExecutor implements ExecutorConnector {
  readonly info: ExecutorInfo;
  readonly polls: ReceivedPoll[] = [];
  readonly starts: TaskKey[] = [];
  readonly stops: TaskKey[] = [];
  readonly lapses: TaskKey[] = [];
  /** Number of ended runs that it lists at once; the others follow after acknowledgements. */
  maxListedEnds = Infinity;
  readonly #runs = new Map<TaskKey, ReportedRun>();
  #ended: readonly EndedRun[] = [];
  #seq = 0;
  #leaseEndsAt: Millis = -Infinity;

  constructor(info: ExecutorInfo) {
    this.info = info;
  }

  connect(_info: ExecutorInfo, fencingToken: number): ExecutorClient {
    return {
      process: 0,
      poll: async ({ acknowledgedThrough, leaseMs, waitMs }, { signal }) => {
        this.#settle();
        const at = Date.now();
        this.polls.push({ acknowledgedThrough, leaseMs, fencingToken, at });
        this.#leaseEndsAt = Math.max(this.#leaseEndsAt, at + (leaseMs ?? -Infinity));
        this.#ended = this.#ended.filter(({ seq }) => seq > acknowledgedThrough);
        await this.#awaitEnd(waitMs, signal);
        const { startedWallMs } = this.info;
        const running = [...this.#runs.values()];
        const ended = this.#ended.slice(0, this.maxListedEnds);
        const moreEnded = this.#ended.length >= this.maxListedEnds;
        return { type: 'report', startedWallMs, running, ended, moreEnded };
      },
      start: ({ task, attempt }) => {
        const key = taskKey(task);
        this.starts.push(key);
        this.#runs.set(key, { task, attempt, checkpoint: '', percent: 100, gauge: 0 });
        return Promise.resolve('started');
      },
      stop: ({ task }) => {
        this.stops.push(taskKey(task));
        return Promise.resolve(true);
      },
      pace: () => Promise.resolve(true),
    };
  }

  /** Ends a run as done. */
  finish(key: TaskKey): void {
    this.#end(key, 'done');
  }

  async #awaitEnd(waitMs: Millis, signal: AbortSignal): Promise<void> {
    for (let waited = 0; waited < waitMs && this.#ended.length === 0; waited += CHECK_MS) {
      await sleep(CHECK_MS, signal);
    }
  }

  #settle(): void {
    if (Date.now() > this.#leaseEndsAt) {
      this.lapses.push(...this.#runs.keys());
      [...this.#runs.keys()].forEach((key) => {
        this.#end(key, 'lapsed');
      });
    }
  }

  #end(key: TaskKey, reason: EndedRun['reason']): void {
    const run = this.#runs.get(key);
    if (run !== undefined) {
      this.#runs.delete(key);
      this.#seq += 1;
      const { task, attempt } = run;
      const end = { seq: this.#seq, task, attempt, reason, checkpoint: '' };
      this.#ended = [...this.#ended, end];
    }
  }
}
