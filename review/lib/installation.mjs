// A small installation on loopback: the store, the instance API, executors and members.
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout } from 'node:timers';
import { callJson, serveJson } from './http.mjs';
import { StandInExecutor } from './executor.mjs';
import { Member } from './member.mjs';
import { StandInStore } from './store.mjs';

const ZONES = ['north-a', 'north-b', 'north-c'];
const READY_TIMEOUT_MS = 20_000;
/** A run that takes longer counts as one that could not run. */
const RUN_LIMIT_MS = 118_000;
/** Part of the store with the rows of the leader; only read here, to tell which member to disturb. */
const CELL_PART = 'c0';

export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Waits until a condition holds; returns whether it did within the time. */
export async function until(condition, timeoutMs, stepMs = 20) {
  const endsAt = Date.now() + timeoutMs;
  while (!(await condition())) {
    if (Date.now() >= endsAt) {
      return false;
    }
    await pause(stepMs);
  }
  return true;
}

/** Three numbers of a loopback network of its own, so that fixed ports are free. */
function pickNetwork() {
  const part = () => 10 + Math.floor(Math.random() * 240);
  return `127.${part()}.${part()}`;
}

export class Installation {
  /** Events of executors and members: `{ at, type, ... }`. */
  events = [];
  executors = [];
  members = [];
  store = new StandInStore();
  #record;
  #network = pickNetwork();
  #folder = mkdtempSync(join(tmpdir(), 'review-'));
  #cloud;
  #closed = false;

  constructor(record) {
    this.#record = record;
    // Whatever ends this process, the processes that it has started end, too.
    process.once('exit', () => this.close());
    ['SIGTERM', 'SIGINT'].forEach((signal) => process.once(signal, () => process.exit(2)));
    setTimeout(() => process.exit(2), RUN_LIMIT_MS).unref();
  }

  get folder() {
    return this.#folder;
  }

  /** `storeAddress` may be that of a proxy in front of the store. */
  async startPlatform() {
    this.storeAddress = await this.store.listen(`${this.#network}.2`, 8344);
    this.#cloud = await serveJson(`${this.#network}.3`, 8344, ({ path }) => this.#onCloud(path));
  }

  ip(last) {
    return `${this.#network}.${last}`;
  }

  /** The instance API. There is one pool in use here, so nothing is moved. */
  #onCloud(path) {
    if (path !== '/-/machines') {
      return { status: 409, body: { reason: 'busy' } };
    }
    const machines = this.executors.map(({ id, service, zone, rack, kind, capacity, life }) => ({
      machine: `m-${id}`,
      pool: service,
      state: life === undefined ? 'down' : 'up',
      zone,
      labels: [kind, rack],
      capacity,
      id,
    }));
    return { status: 200, body: { machines, nextToken: null } };
  }

  log = (type, fields) => {
    this.events.push({ at: this.#record.now, type, ...fields });
    this.#record.write(`${type} ${JSON.stringify(fields)}`);
  };

  async addExecutor({ service, capacity, plan, resources, kind }) {
    const number = this.executors.length;
    const executor = new StandInExecutor({
      id: `i-${number}`,
      service,
      zone: ZONES[number % ZONES.length],
      rack: `r-${number}`,
      kind,
      capacity,
      plan,
      resources,
      store: this.store,
      log: this.log,
    });
    this.executors.push(executor);
    await executor.start(this.ip(100 + number), 8080);
    return executor;
  }

  /** Starts members. `storeOf` tells which address a member has for the store. */
  async startMembers(count, storeOf = () => this.storeAddress) {
    for (let number = 0; number < count; number += 1) {
      const member = new Member({
        name: `frontend-${number}`,
        ip: this.ip(10 + number),
        zone: ZONES[number % ZONES.length],
        store: storeOf(number),
        cloud: this.#cloud.address,
        folder: this.#folder,
        log: this.log,
      });
      this.members.push(member);
      member.start();
    }
    const ready = async () => (await this.readyMembers()).length === count;
    return until(ready, READY_TIMEOUT_MS, 100);
  }

  async readyMembers() {
    const answers = await Promise.all(
      this.members.map(({ readiness }) =>
        callJson(readiness, 'GET', '/-/readyz', { timeoutMs: 500 }),
      ),
    );
    return this.members.filter((_, i) => answers[i].status === 200);
  }

  /** The member that leads, as its own row says; undefined if none does. */
  get leader() {
    const owner = this.store.get('cell', CELL_PART, 'owner');
    return this.members.find(({ name }) => name === owner?.member);
  }

  /** Epoch of the leader; changes with each leader. */
  get ownerValue() {
    return this.store.get('cell', CELL_PART, 'owner');
  }

  close() {
    if (this.#closed) {
      return;
    }
    this.#closed = true;
    this.members.forEach((member) => member.stop());
    this.executors.forEach((executor) => executor.life !== undefined && executor.crash());
    this.#cloud?.close();
    this.store.close();
    if (process.env.KEEP !== '1') rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** A consumer of one queue, which sends calls to members in turn and repeats those without answer. */
export class Caller {
  #installation;
  #record;
  #route;
  #key;
  #next = 0;

  constructor(installation, record, route, key) {
    this.#installation = installation;
    this.#record = record;
    this.#route = route;
    this.#key = key;
  }

  /** One call; its time budget is that of the sheets, 3 s. */
  async call(method, id, body, member = this.#pick()) {
    const { host, pathPrefix } = this.#route;
    const headers = { host, authorization: `Bearer ${this.#key}`, 'x-deadline-ms': '3000' };
    const answer = await callJson(member.frontend, method, `${pathPrefix}${id}`, { headers, body });
    this.#record.write(
      `call ${method} ${id} at ${member.name} -> ${answer.status} ${JSON.stringify(answer.body ?? null)}`,
    );
    return answer;
  }

  /** Sends a call again, at other members, while it gets no answer, a 502, 504 or 503. */
  async callUntilAnswered(method, id, body, tries = 5) {
    let answer = { status: 0 };
    for (let attempt = 0; attempt < tries; attempt += 1) {
      answer = await this.call(method, id, body);
      if (![0, 502, 503, 504].includes(answer.status)) {
        return answer;
      }
      await pause(300);
    }
    return answer;
  }

  #pick() {
    const { members } = this.#installation;
    this.#next += 1;
    return members[this.#next % members.length];
  }
}

/** A manifest with one service, and queues and tenants as given. */
export function manifestOf(version, { routes, tenants, services }) {
  return {
    version,
    routes: routes.map((route) => ({
      kind: 'unsafe',
      timeoutMs: 3000,
      targetLatencyMs: 600,
      priority: 0,
      maxAttempts: 4,
      slackFactor: 1.6,
      public: false,
      ...route,
    })),
    services: services.map((name) => ({ name, healthPath: '/healthz', admissionCheck: true })),
    tenants,
    limits: { maxBodyBytes: 262144 },
  };
}
