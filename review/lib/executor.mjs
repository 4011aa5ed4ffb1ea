// A stand-in executor, as PROTOCOL.md describes it, which checks what fits (`admissionCheck`).
import { performance } from 'node:perf_hooks';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { serveJson } from './http.mjs';

const HEARTBEAT_MS = 1_500;
const MAX_LISTED_ENDS = 500;
const MAX_WAIT_MS = 2_000;
/** `holdMaxMs` of the settings. */
const HOLD_MAX_MS = 6_000;
const CHECK_LEASE_MS = 20;

const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** One life of an executor: it knows nothing of an earlier one. */
class Life {
  born = Date.now();
  startedAt = performance.now();
  fence = 0;
  deadline = 0;
  /** Whether the lease of what runs has ended, as it has before the first. */
  lapsed = true;
  sequence = 0;
  acked = 0;
  nextEnd = 1;
  running = new Map();
  ended = [];
  /** Highest attempt of each task that was stopped or has ended here. */
  closed = new Map();
  waiters = new Set();

  get clockMs() {
    return Math.floor(performance.now() - this.startedAt);
  }
}

/**
 * `plan(task, attempt)` tells how a run goes: `{ ms, how }`, with `ms` Infinity for a task that lasts.
 * `resources(task)` tells what it takes. `log` is told of each event.
 */
export class StandInExecutor {
  life;
  #server;
  #timers = [];

  constructor({ kind = 'a', ...options }) {
    const { id, service, zone, rack, capacity, store, plan, resources, log } = options;
    Object.assign(this, { id, service, zone, rack, capacity, store, plan, resources, log, kind });
    /** May hold a call back or answer it otherwise: `(call, carryOut) => answer`. */
    this.intercept = (_call, carryOut) => carryOut();
  }

  async start(host, port) {
    [this.host, this.port] = [host, port];
    this.life = new Life();
    const life = this.life;
    this.#server = await serveJson(host, port, (call) =>
      this.intercept(call, () => this.carryOut(call)),
    );
    this.address = this.#server.address;
    this.register();
    this.#timers = [
      setInterval(() => this.register(), HEARTBEAT_MS),
      setInterval(() => this.#checkLease(life), CHECK_LEASE_MS),
    ];
    this.log('up', { executor: this.id, born: life.born });
  }

  /** Ends this life as a crash does: nothing is sent, and all that runs is gone. */
  crash() {
    this.#timers.forEach((timer) => clearInterval(timer));
    this.#server.close();
    this.life.running.forEach((run) => {
      clearTimeout(run.timer);
      this.log('lost', run.name);
    });
    this.life.running.clear();
    this.log('crash', { executor: this.id });
  }

  register() {
    const { service, address, zone, rack, capacity, life } = this;
    life.sequence += 1;
    this.store.put('servers', this.id, {
      service,
      address,
      zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldRemainingMs: 0,
      capacity,
      labels: [this.kind, rack],
      clockMs: life.clockMs,
      sequence: life.sequence,
      born: life.born,
    });
  }

  /** Carries out a call in the present life. */
  carryOut({ path, headers, body }) {
    const { life } = this;
    if (path === '/healthz') {
      return { status: 200 };
    }
    const expected = headers['x-expected-instance'];
    if (expected !== undefined && expected !== this.id) {
      return { status: 421 };
    }
    const fence = body?.fencingToken ?? 0;
    if (fence < life.fence) {
      return this.#refuse('fence');
    }
    life.fence = fence;
    switch (path) {
      case '/-/run-start':
        return this.#start(body);
      case '/-/run-stop':
        return this.#stop(body);
      case '/-/hold':
        return this.#hold(body);
      case '/-/pace':
        return { status: 200, body: { clockMs: life.clockMs } };
      default:
        return { status: 404 };
    }
  }

  /** Ends a run now, if it is still there. */
  finish(task, attempt, how) {
    const run = this.life.running.get(task);
    if (run?.attempt === attempt) {
      this.#end(this.life, run, how);
    }
  }

  #refuse(reason) {
    return { status: 409, body: { clockMs: this.life.clockMs, reason } };
  }

  #extend(deadlineMs) {
    const { life } = this;
    const end = Math.min(deadlineMs ?? 0, life.clockMs + HOLD_MAX_MS);
    life.deadline = Math.max(life.deadline, end);
  }

  #start({ task, attempt, deadlineMs, checkpoint }) {
    const { life } = this;
    if (deadlineMs <= life.clockMs) {
      return this.#refuse('late');
    }
    this.#extend(deadlineMs);
    const present = life.running.get(task);
    if (present?.attempt === attempt) {
      return { status: 200, body: { clockMs: life.clockMs } };
    }
    if (present !== undefined || attempt <= (life.closed.get(task) ?? 0)) {
      return this.#refuse('old');
    }
    if (!this.#fits(task)) {
      return this.#refuse('room');
    }
    const { ms, how } = this.plan(task, attempt, this);
    const run = { task, attempt, name: { executor: this.id, born: life.born, task, attempt } };
    if (ms !== Infinity) {
      run.timer = setTimeout(() => this.#end(life, run, how), ms);
    }
    life.running.set(task, run);
    this.log('start', { ...run.name, checkpoint });
    return { status: 200, body: { clockMs: life.clockMs } };
  }

  #fits(task) {
    const taken = [...this.life.running.keys(), task].map((name) => this.resources(name));
    const sum = (field) => taken.reduce((total, one) => total + one[field], 0);
    return sum('cpu') <= this.capacity.cpu && sum('memMb') <= this.capacity.memMb;
  }

  #stop({ task, attempt }) {
    const { life } = this;
    life.closed.set(task, Math.max(attempt, life.closed.get(task) ?? 0));
    this.log('stop', { executor: this.id, born: life.born, task, attempt });
    const run = life.running.get(task);
    if (run !== undefined && run.attempt <= attempt) {
      this.#end(life, run, 'stopped');
    }
    return { status: 200, body: { clockMs: life.clockMs } };
  }

  #end(life, run, how) {
    clearTimeout(run.timer);
    life.running.delete(run.task);
    life.closed.set(run.task, Math.max(run.attempt, life.closed.get(run.task) ?? 0));
    const seq = life.nextEnd;
    life.nextEnd += 1;
    life.ended.push({ seq, run, how });
    this.log('end', { ...run.name, how, seq });
    life.waiters.forEach((wake) => wake());
  }

  #checkLease(life) {
    const lapsed = life.clockMs >= life.deadline;
    if (lapsed && !life.lapsed) {
      this.log('lapse', { executor: this.id, born: life.born });
    }
    life.lapsed = lapsed;
    if (lapsed) {
      [...life.running.values()].forEach((run) => this.#end(life, run, 'lapsed'));
    }
  }

  async #hold({ deadlineMs, ackedThrough = 0, waitMs = 0 }) {
    const { life } = this;
    this.#extend(deadlineMs);
    const noted = life.ended.filter(({ seq }) => seq <= ackedThrough);
    life.ended = life.ended.filter(({ seq }) => seq > ackedThrough);
    noted.forEach(({ run, how, seq }) => this.log('noted', { ...run.name, how, seq }));
    if (life.ended.length === 0 && waitMs > 0) {
      await this.#nextEnd(life, Math.min(waitMs, MAX_WAIT_MS));
    }
    const running = [...life.running.values()].map(({ task, attempt }) => [task, attempt, '', 100]);
    const finished = life.ended
      .slice(0, MAX_LISTED_ENDS)
      .map(({ seq, run, how }) => [seq, run.task, run.attempt, how, '']);
    return {
      status: 200,
      body: { clockMs: life.clockMs, born: life.born, running, finished },
    };
  }

  #nextEnd(life, ms) {
    const ended = new Promise((resolve) => {
      const wake = () => {
        life.waiters.delete(wake);
        resolve();
      };
      life.waiters.add(wake);
    });
    return Promise.race([ended, pause(ms)]);
  }
}
