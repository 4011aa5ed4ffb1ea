/** A small deployment: a store, a list of machines, executors and machines of the system. */
import { randomBytes } from 'node:crypto';
import { join } from 'node:path';
import { Executor } from './executor.mjs';
import { serveJson } from './http.mjs';
import { Member, waitFor } from './member.mjs';
import { Record } from './record.mjs';
import { Store } from './store.mjs';

export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;
export const TROUBLE = process.env.TROUBLE !== '0';

const START_LIMIT_MS = 30_000;
const ZONES = ['a', 'b', 'c'];

export class World {
  store = new Store();
  executors = [];
  members = [];
  /** Footprints of tasks in thousandths of a core, by job. */
  cpuByJob = new Map();
  /** Called with each event of an executor. */
  listeners = [];

  constructor(folder) {
    this.record = new Record(join(folder, 'record.txt'));
  }

  /**
   * Starts all. `executors`: { zone, cpu } of each; `tenants`: { name, cap }, with the key
   * `key-NAME`.
   */
  async open({ members, executors, tenants }) {
    await this.store.open();
    const cloud = await serveJson((req) => this.#cloud(req));
    this.publish(7, tenants);
    for (const [index, { zone, cpu }] of executors.entries()) {
      const executor = new Executor({
        id: `i-${index}-${randomBytes(4).toString('hex')}`,
        service: 'workers',
        zone,
        rack: `r1-${index}`,
        cpu,
        store: this.store,
        cpuOf: (task) => this.cpuByJob.get(task.split('.')[0]) ?? 1_000,
        on: (event) => {
          this.#onEvent(event);
        },
      });
      await executor.open();
      this.executors.push(executor);
    }
    for (let index = 0; index < members; index += 1) {
      const member = new Member({
        name: `frontend-${ZONES[index % ZONES.length]}-${index}`,
        index,
        zone: ZONES[index % ZONES.length],
        store: this.store.address,
        cloud: `127.0.0.1:${cloud.address().port}`,
      });
      this.members.push(member);
      await member.start();
    }
    const ready = await waitFor(async () => {
      const answers = await Promise.all(this.members.map((member) => member.ready()));
      return answers.every(Boolean) && this.members.some(({ epoch }) => epoch > 0);
    }, START_LIMIT_MS);
    this.record.line(ready ? 'all machines are ready' : 'the machines did not get ready');
    return ready;
  }

  /** Submits a job by way of a machine, again until it is accepted; returns whether it was. */
  async submit(member, { id, tenant, phases, cpu, ...job }) {
    this.cpuByJob.set(id, cpu);
    for (let attempt = 0; attempt < 5; attempt += 1) {
      const { status } = await member.call('POST', `/q/${id}`, {
        host: 'jobs.example',
        key: `key-${tenant}`,
        body: { phases, ...job },
      });
      this.record.line(`sent POST ${id} of ${tenant} to ${member.name}: ${status}`);
      if (status === 200) {
        return true;
      }
    }
    return false;
  }

  /** State of a job as a machine shows it; undefined without an answer of 200. */
  async stateOf(member, id, tenant) {
    const { status, body } = await member.call('GET', `/q/${id}`, {
      host: 'jobs.example',
      key: `key-${tenant}`,
    });
    this.record.line(`sent GET ${id} to ${member.name}: ${status} ${body?.state ?? ''}`);
    return status === 200 ? body.state : undefined;
  }

  async close() {
    await Promise.all(this.members.map((member) => member.dispose()));
  }

  #onEvent({ type, executor, task, attempt, ...others }) {
    const more = Object.entries(others).map(([name, value]) => `${name}=${value}`);
    this.record.line(
      [type, executor, task, attempt && `run ${attempt}`, ...more].filter(Boolean).join(' '),
    );
    this.listeners.forEach((listener) => {
      listener({ type, executor, task, attempt, ...others });
    });
  }

  /** Writes a version of the manifest, as the operator does. */
  publish(version, tenants) {
    this.record.line(`manifest ${version}: ${JSON.stringify(tenants)}`);
    this.store.put('op', 'config', {
      version,
      routes: [
        {
          name: 'queue',
          host: 'jobs.example',
          pathPrefix: '/q/',
          service: 'workers',
          priority: 0,
          maxAttempts: 4,
          slackFactor: 4,
          targetLatencyMs: 600,
          timeoutMs: 3_000,
        },
      ],
      services: [{ name: 'workers', admissionCheck: true }],
      tenants: tenants.map(({ name, cap }) => ({
        name,
        apiKeys: [`key-${name}`],
        weight: 1,
        cap: { cpu: cap, memMb: 0, gpu: 0 },
      })),
      limits: {},
    });
  }

  #cloud({ method, path }) {
    if (method !== 'GET' || path !== '/-/machines') {
      this.record.line(`order to a machine refused: ${path}`);
      return { status: 409, body: { reason: 'busy' } };
    }
    const machines = this.executors.map((executor, index) => ({
      machine: `m-${index}`,
      pool: 'workers',
      state: 'up',
      zone: 'a',
      labels: ['a', `r1-${index}`],
      capacity: { cpu: 32_000, memMb: 131_072, gpu: 0 },
      id: executor.id,
    }));
    return { status: 200, body: { machines, nextToken: '' } };
  }
}

/** Runs a case and ends the process with its result: HELD, BROKEN or NOT_RUN. */
export async function runCase(folder, play) {
  for (const signal of ['SIGINT', 'SIGTERM']) {
    process.once(signal, () => process.exit(NOT_RUN));
  }
  const world = new World(folder);
  let result = NOT_RUN;
  try {
    result = await play(world);
  } catch (err) {
    world.record.line(`failed: ${err?.stack ?? String(err)}`);
  }
  await world.close();
  world.record.line(`exit ${result}`);
  process.exit(result);
}

export const jobId = () => randomBytes(8).toString('hex');
