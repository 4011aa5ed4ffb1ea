/** An executor as PROTOCOL.md describes it, whose tasks last as many ms as their spec says. */
import { performance } from 'node:perf_hooks';
import { clearTimeout, setInterval, setTimeout } from 'node:timers';
import { serveJson } from './http.mjs';
import { Link } from './link.mjs';

const HOLD_MAX_MS = 6_000;
const HEARTBEAT_MS = 1_500;
const STOP_MS = 100;
const MAX_ENDS = 500;

export class Executor {
  /** Runs in progress by task: { task, attempt, cpu }. */
  runs = new Map();
  #options;
  #life = 0;
  #sequence = 0;
  #ends = [];
  #endCount = 0;
  #fence = 0;
  #leaseEnd = 0;
  #leaseTimer;
  #bornAt = 0;
  #highest = new Map();
  #waiters = new Set();
  #server;

  /**
   * `options`: id, service, zone, rack, cpu (thousandths of a core), store, record, cpuOf(task), and
   * on(event), which gets { type: start | end | acked, executor, task, attempt, how }.
   */
  constructor(options) {
    this.#options = options;
    this.id = options.id;
  }

  get address() {
    return this.link.address;
  }

  async open() {
    this.#server = await serveJson((req) => this.#handle(req));
    this.link = new Link({ host: '127.0.0.1', port: this.#server.address().port });
    this.#begin();
    await this.link.open();
    this.#register();
    this.beats = setInterval(() => {
      if (this.link !== undefined && !this.down) {
        this.#register();
      }
    }, HEARTBEAT_MS);
    this.beats.unref();
  }

  /** Crashes, and starts again under its id after `downMs`. */
  async restart(downMs) {
    this.down = true;
    this.link.close();
    this.#life += 1;
    const lost = this.runs.size;
    this.runs = new Map();
    clearTimeout(this.#leaseTimer);
    this.#options.on({ type: 'crash', executor: this.id, lost });
    await new Promise((resolve) => setTimeout(resolve, downMs));
    this.#begin();
    await this.link.open();
    this.down = false;
    this.#register();
    this.#options.on({ type: 'up', executor: this.id, born: this.born });
  }

  #begin() {
    this.#life += 1;
    this.born = Date.now();
    this.#bornAt = performance.now();
    this.#sequence = 0;
    this.#ends = [];
    this.#endCount = 0;
    this.#fence = 0;
    this.#leaseEnd = 0;
    this.#highest = new Map();
    this.#waiters = new Set();
  }

  #register() {
    const { service, zone, rack, cpu, store } = this.#options;
    this.#sequence += 1;
    store.put('servers', this.id, {
      service,
      address: this.address,
      zone,
      version: '1',
      slots: 8,
      state: 'ready',
      coldRemainingMs: 0,
      sequence: this.#sequence,
      capacity: { cpu, memMb: 131_072, gpu: 0 },
      labels: ['a', rack],
      born: this.born,
    });
  }

  get #clockMs() {
    return Math.floor(performance.now() - this.#bornAt) + 1_000;
  }

  async #handle({ path, headers, body = {} }) {
    const life = this.#life;
    if (headers['x-expected-instance'] !== this.id) {
      return { status: 421, body: { clockMs: this.#clockMs } };
    }
    if ((body.fencingToken ?? 0) < this.#fence) {
      return this.#refuse('fence');
    }
    this.#fence = body.fencingToken ?? 0;
    switch (path) {
      case '/-/hold':
        return this.#hold(body, life);
      case '/-/run-start':
        return this.#start(body);
      case '/-/run-stop':
        return this.#stop(body);
      case '/-/pace':
        return this.#ok();
      default:
        return { status: 404 };
    }
  }

  #ok(body = {}) {
    return { status: 200, body: { clockMs: this.#clockMs, ...body } };
  }

  #refuse(reason) {
    return { status: 409, body: { clockMs: this.#clockMs, reason } };
  }

  #extendLease(deadlineMs) {
    if (deadlineMs === undefined) {
      return;
    }
    const end = Math.min(deadlineMs, this.#clockMs + HOLD_MAX_MS);
    if (end <= this.#leaseEnd) {
      return;
    }
    this.#leaseEnd = end;
    clearTimeout(this.#leaseTimer);
    const life = this.#life;
    this.#leaseTimer = setTimeout(() => {
      if (life === this.#life) {
        [...this.runs.values()].forEach((run) => {
          this.#end(run, 'lapsed');
        });
      }
    }, end - this.#clockMs);
  }

  async #hold({ deadlineMs, ackedThrough = 0, waitMs = 0 }, life) {
    this.#extendLease(deadlineMs);
    const acked = this.#ends.filter(([seq]) => seq <= ackedThrough);
    this.#ends = this.#ends.filter(([seq]) => seq > ackedThrough);
    acked.forEach(([seq, task, attempt, how]) => {
      this.#options.on({ type: 'acked', executor: this.id, task, attempt, how, seq });
    });
    if (this.#ends.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, waitMs);
        this.#waiters.add(wake);
      });
    }
    if (life !== this.#life) {
      throw new Error('the process has ended');
    }
    return this.#ok({
      born: this.born,
      running: [...this.runs.values()].map(({ task, attempt, cpu }) => [
        task,
        attempt,
        '',
        50,
        cpu,
      ]),
      finished: this.#ends.slice(0, MAX_ENDS),
    });
  }

  #start({ task, attempt, spec, deadlineMs }) {
    const present = this.runs.get(task);
    if (present?.attempt === attempt) {
      return this.#ok();
    }
    if (present !== undefined || attempt <= (this.#highest.get(task) ?? 0)) {
      this.#extendLease(deadlineMs);
      return this.#refuse('old');
    }
    if (deadlineMs <= this.#clockMs) {
      return this.#refuse('late');
    }
    this.#extendLease(deadlineMs);
    const cpu = this.#options.cpuOf(task);
    const used = [...this.runs.values()].reduce((sum, run) => sum + run.cpu, 0);
    if (used + cpu > this.#options.cpu) {
      return this.#refuse('room');
    }
    const run = { task, attempt, cpu };
    this.runs.set(task, run);
    const life = this.#life;
    setTimeout(() => {
      if (life === this.#life && this.runs.get(task) === run) {
        this.#end(run, 'done');
      }
    }, Number(spec));
    this.#options.on({ type: 'start', executor: this.id, task, attempt });
    return this.#ok();
  }

  #stop({ task, attempt }) {
    const run = this.runs.get(task);
    if (run?.attempt === attempt) {
      const life = this.#life;
      setTimeout(() => {
        if (life === this.#life && this.runs.get(task) === run) {
          this.#end(run, 'stopped');
        }
      }, STOP_MS);
    } else {
      this.#highest.set(task, Math.max(attempt, this.#highest.get(task) ?? 0));
    }
    return this.#ok();
  }

  #end(run, how) {
    this.runs.delete(run.task);
    this.#highest.set(run.task, Math.max(run.attempt, this.#highest.get(run.task) ?? 0));
    this.#endCount += 1;
    this.#ends.push([this.#endCount, run.task, run.attempt, how, '']);
    this.#options.on({ type: 'end', executor: this.id, task: run.task, attempt: run.attempt, how });
    this.#waiters.forEach((wake) => {
      wake();
    });
  }
}
