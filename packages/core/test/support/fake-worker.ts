import type { Millis, Resources, SeededRandom, WorkerReport } from '@turmerichoist/core';
import { WorkerModel } from '@turmerichoist/stand-ins';

/** Worker with its own clock offset and rate. Its messages are queued while it is paused. */
export class FakeWorker {
  readonly model: WorkerModel;
  readonly #offset: Millis;
  readonly #rate: number;
  inbox: (() => void)[] = [];

  constructor(
    readonly name: string,
    readonly zone: string,
    capacity: Resources,
    random: SeededRandom,
  ) {
    this.#offset = random.nextInt(1_000_000);
    this.#rate = 0.995 + random.next() * 0.01;
    this.model = new WorkerModel({ capacity, lagMs: 500 }, this.#offset);
  }

  clock(t: Millis): Millis {
    return this.#offset + t * this.#rate;
  }

  trueTime(clock: Millis): Millis {
    return (clock - this.#offset) / this.#rate;
  }
}

/** Report of the worker in the form in which the worker client delivers it. */
export function reportOf(
  worker: FakeWorker,
  after: number,
  requestedAt: Millis,
  clock: Millis,
): WorkerReport {
  const raw = worker.model.report(after, clock);
  return { ...raw, worker: worker.name, requestedAt };
}
