import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { reply, serve } from './http.mjs';

const HEARTBEAT_MS = 1_500;
const STOP_MS = 50;
const MAX_LISTED = 500;

/**
 * One executor, as PROTOCOL.md tells it. `durationOf` gives a task's time of work, Infinity for one that
 * lasts, and `resultOf` how a run ends.
 */
export class Executor {
  #server;
  #sockets = new Set();
  #beat;
  #silent = false;

  constructor(options) {
    this.options = options;
    this.life = 0;
  }

  get id() {
    return this.options.id;
  }

  get address() {
    return `${this.options.host}:${this.port}`;
  }

  /** Starts a life. The entry in the store follows after `registerAfterMs`. */
  async start({ registerAfterMs = 0, ...change } = {}) {
    this.options = { ...this.options, ...change };
    this.#beginLife();
    this.#server = await serve(this.options.host, this.port ?? 0, (call) => this.#handle(call));
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.once('close', () => this.#sockets.delete(socket));
    });
    this.port = this.#server.address().port;
    this.#beat = setTimeout(() => this.#register(), registerAfterMs);
  }

  /** A machine that was without power is back: old connections are reset, new ones are answered. */
  returnFromDark({ registerAfterMs = 0 } = {}) {
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
    this.#beginLife();
    this.#beat = setTimeout(() => this.#register(), registerAfterMs);
  }

  #beginLife() {
    this.life += 1;
    this.up = true;
    this.born = Date.now();
    this.startedAt = performance.now();
    this.fence = 0;
    this.leaseEnd = 0;
    this.runs = new Map();
    this.closedAttempts = new Map();
    this.ends = [];
    this.lastEnd = 0;
    this.waiters = new Set();
    this.#silent = false;
    clearTimeout(this.leaseTimer);
    this.options.record('executor up', {
      id: this.id,
      life: this.life,
      labels: this.options.labels,
    });
  }

  #register() {
    this.options.record('executor registers', { id: this.id, life: this.life });
    const write = () => {
      this.sequence = (this.sequence ?? 0) + 1;
      this.writeEntry();
      this.#beat = setTimeout(write, HEARTBEAT_MS);
    };
    write();
  }

  writeEntry() {
    const { store, id, service, zone, capacity, labels } = this.options;
    store.put('servers', id, {
      service,
      address: this.address,
      zone,
      version: '1',
      slots: 8,
      state: 'ready',
      coldRemainingMs: 0,
      sequence: this.sequence,
      born: this.born,
      capacity,
      labels,
    });
  }

  /** The process ends: connections are reset, what ran is gone. The entry goes after three beats. */
  crash() {
    this.options.record('executor crashes', { id: this.id, runs: [...this.runs.keys()].length });
    this.up = false;
    clearTimeout(this.#beat);
    this.#loseRuns();
    this.#server.close();
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
  }

  /** Silent from now on: connections stay open and nothing is answered. What runs is gone. */
  goDark() {
    this.options.record('executor goes dark', { id: this.id, runs: this.runs.size });
    this.up = false;
    this.#silent = true;
    clearTimeout(this.#beat);
    this.#loseRuns();
  }

  #loseRuns() {
    const lost = [...this.runs.values()];
    this.runs = new Map();
    lost.forEach((run) => {
      clearTimeout(run.timer);
      this.options.onRunEnd?.(this, run, 'crashed');
      this.options.gangs?.left(run);
    });
  }

  get clock() {
    return performance.now() - this.startedAt;
  }

  #handle({ req, url, body, res }) {
    if (this.#silent || !this.up) {
      return;
    }
    const expected = req.headers['x-expected-instance'];
    if (expected !== undefined && expected !== this.id) {
      reply(res, 421, this.#body());
      return;
    }
    const fence = body.fencingToken ?? 0;
    if (fence < this.fence) {
      this.#refuse(res, 'fence');
      return;
    }
    this.fence = fence;
    switch (url.pathname) {
      case '/-/run-start':
        this.#start(body, res);
        return;
      case '/-/run-stop':
        this.#stop(body, res);
        return;
      case '/-/hold':
        this.#hold(body, res);
        return;
      case '/-/pace':
        reply(res, 200, this.#body());
        return;
      default:
        reply(res, 404, {});
    }
  }

  #acknowledge(through) {
    const taken = this.ends.filter(([n]) => n <= through);
    if (taken.length > 0) {
      this.ends = this.ends.filter(([n]) => n > through);
      this.options.onAcknowledged?.(this, taken);
      this.options.record('acknowledged', { executor: this.id, life: this.life, through });
    }
  }

  #body() {
    return { clockMs: Math.floor(this.clock), born: this.born };
  }

  #refuse(res, reason) {
    reply(res, 409, { ...this.#body(), reason });
  }

  #extend(deadlineMs) {
    if (deadlineMs === undefined) {
      return;
    }
    const longest = this.clock + this.options.holdMaxMs;
    this.leaseEnd = Math.max(this.leaseEnd, Math.min(deadlineMs, longest));
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(() => this.#lapse(), Math.max(0, this.leaseEnd - this.clock));
    this.leaseTimer.unref();
  }

  #lapse() {
    if (this.up && this.clock >= this.leaseEnd) {
      [...this.runs.values()].forEach((run) => this.#end(run, 'lapsed'));
    }
  }

  #start({ task, attempt, spec, deadlineMs, checkpoint }, res) {
    const present = this.runs.get(task);
    const log = (answer) =>
      this.options.record('start', {
        executor: this.id,
        life: this.life,
        task,
        attempt,
        answer,
        ...(checkpoint === undefined ? {} : { checkpoint }),
      });
    if (deadlineMs <= this.clock) {
      log('late');
      this.#refuse(res, 'late');
      return;
    }
    this.#extend(deadlineMs);
    if (present?.attempt === attempt) {
      reply(res, 200, this.#body());
      return;
    }
    if (present !== undefined || attempt <= (this.closedAttempts.get(task) ?? 0)) {
      log('old');
      this.#refuse(res, 'old');
      return;
    }
    const need = this.options.needOf(task);
    if (this.options.guarded && !this.#hasRoom(need)) {
      log('room');
      this.#refuse(res, 'room');
      return;
    }
    const run = { task, attempt, spec, checkpoint, need, startedAt: performance.now() };
    const durationMs = this.options.durationOf(task, attempt);
    run.durationMs = durationMs;
    if (this.options.gangs?.has(task)) {
      run.end = (how) => this.#end(run, how);
      this.options.gangs.join(run);
    } else if (durationMs < Infinity) {
      run.timer = setTimeout(
        () => this.#end(run, this.options.resultOf?.(task, attempt) ?? 'done'),
        durationMs,
      );
    }
    this.runs.set(task, run);
    log('started');
    this.options.onRunStart?.(this, run);
    reply(res, 200, this.#body());
  }

  #hasRoom(need) {
    const used = [...this.runs.values()].reduce((sum, run) => sum + run.need.cpu, 0);
    return used + need.cpu <= this.options.capacity.cpu;
  }

  #stop({ task, attempt }, res) {
    this.options.record('stop', { executor: this.id, life: this.life, task, attempt });
    const run = this.runs.get(task);
    this.closedAttempts.set(task, Math.max(attempt, this.closedAttempts.get(task) ?? 0));
    if (run?.attempt === attempt) {
      clearTimeout(run.timer);
      setTimeout(() => this.#end(run, 'stopped'), this.options.stopMs ?? STOP_MS);
    }
    reply(res, 200, this.#body());
  }

  #end(run, how) {
    if (this.runs.get(run.task) !== run) {
      return;
    }
    clearTimeout(run.timer);
    this.runs.delete(run.task);
    const closed = Math.max(run.attempt, this.closedAttempts.get(run.task) ?? 0);
    this.closedAttempts.set(run.task, closed);
    this.lastEnd += 1;
    const saved = this.#saved(run);
    this.ends.push([this.lastEnd, run.task, run.attempt, how, saved]);
    this.options.record('end', {
      executor: this.id,
      life: this.life,
      n: this.lastEnd,
      task: run.task,
      attempt: run.attempt,
      how,
      ...(saved === '' ? {} : { saved }),
    });
    this.options.onRunEnd?.(this, run, how);
    this.options.gangs?.left(run);
    const waiters = [...this.waiters];
    this.waiters.clear();
    waiters.forEach((wake) => wake());
  }

  async #hold({ ackedThrough = 0, deadlineMs, waitMs = 0 }, res) {
    this.#extend(deadlineMs);
    this.#acknowledge(ackedThrough);
    const { life } = this;
    if (waitMs > 0 && this.ends.length === 0) {
      await new Promise((resolve) => {
        this.waiters.add(resolve);
        setTimeout(resolve, waitMs).unref();
      });
    }
    if (life !== this.life || !this.up || this.#silent) {
      return;
    }
    const running = [...this.runs.values()].map((run) => [
      run.task,
      run.attempt,
      this.#saved(run),
      this.#percent(run),
      run.durationMs < Infinity ? run.need.cpu : 20,
    ]);
    reply(res, 200, { ...this.#body(), running, finished: this.ends.slice(0, MAX_LISTED) });
  }

  #saved(run) {
    return this.options.gangs?.saved(run) ?? '';
  }

  #percent({ startedAt, durationMs }) {
    const age = performance.now() - startedAt;
    return durationMs < Infinity
      ? Math.min(99, Math.floor((100 * age) / durationMs))
      : age >= this.options.startupMs
        ? 100
        : 0;
  }

  /** Ends the process of the test: nothing is reported any more. */
  close() {
    this.up = false;
    clearTimeout(this.#beat);
    clearTimeout(this.leaseTimer);
    this.runs.forEach((run) => clearTimeout(run.timer));
    this.#server?.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }
}
