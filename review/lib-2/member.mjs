/** One machine of the system: the program of the deploy file in a process of its own. */
import { spawn } from 'node:child_process';
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';
import { call } from './http.mjs';

export const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const PORT = 8_340;
const RUN = /^run = "(.*)"$/m;

/** The words of the role's command in the deploy file. */
function command() {
  const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  return RUN.exec(deploy)[1].split(' ');
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, host, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}

/** A loopback address of its own for each machine, so that all may use the same ports. */
async function freeHost(index) {
  for (;;) {
    const byte = () => 1 + Math.floor(Math.random() * 250);
    const host = `127.${byte()}.${byte()}.${10 + index}`;
    if (await isFree(host, PORT)) {
      return host;
    }
  }
}

export class Member {
  #child;
  #folder;

  constructor({ name, index, zone, store, cloud }) {
    Object.assign(this, { name, index, zone, store, cloud });
    this.logs = '';
  }

  async start() {
    this.host ??= await freeHost(this.index);
    this.port = PORT;
    this.#folder ??= mkdtempSync(join(tmpdir(), 'turmerichoist-'));
    const file = join(this.#folder, 'boot.json');
    writeFileSync(file, JSON.stringify(this.#settings()));
    const [program, ...args] = command();
    const log = openSync(join(this.#folder, 'log'), 'a');
    this.#child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, TURMERICHOIST_NODE_FILE: file },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    const child = this.#child;
    process.once('exit', () => child.kill('SIGKILL'));
    this.ended = new Promise((resolve) => {
      this.#child.once('exit', (code, signal) => {
        resolve({ code, signal });
      });
    });
    this.#child.once('exit', () => {
      this.alive = false;
    });
    this.alive = true;
  }

  /** Ends the process with a signal. */
  kill(signal) {
    this.#child.kill(signal);
  }

  /** Starts the process again `delayMs` after it has ended by itself, as the platform does. */
  async keepAlive(delayMs, onEnd) {
    while (!this.disposed) {
      const end = await this.ended;
      if (this.disposed) {
        return;
      }
      onEnd(end);
      await sleep(delayMs);
      if (!this.disposed) {
        await this.start();
      }
    }
  }

  get log() {
    return readFileSync(join(this.#folder, 'log'), 'utf8');
  }

  /** Number of the latest term that this machine has begun; 0 without one. */
  get epoch() {
    const terms = [...this.log.matchAll(/"text":"owner started".*?"epoch":(\d+)/g)];
    return Number(terms.at(-1)?.[1] ?? 0);
  }

  async ready() {
    const { status } = await call({
      host: this.host,
      port: PORT + 3,
      method: 'GET',
      path: '/-/readyz',
      timeoutMs: 500,
    });
    return status === 200;
  }

  call(method, path, { host, key, body, timeoutMs = 3_000 }) {
    return call({
      host: this.host,
      port: PORT,
      method,
      path,
      body,
      timeoutMs,
      headers: { host, authorization: `Bearer ${key}`, 'x-deadline-ms': String(timeoutMs) },
    });
  }

  async dispose() {
    this.disposed = true;
    if (this.alive) {
      this.kill('SIGKILL');
      await this.ended;
    }
    if (this.#folder !== undefined && process.env.KEEP_LOGS === undefined) {
      rmSync(this.#folder, { recursive: true, force: true });
    }
  }

  #settings() {
    return {
      nodeName: this.name,
      role: 'entry',
      machineClass: 'frontend',
      serves: ['frontend'],
      ip: this.host,
      zone: this.zone,
      region: 'r',
      zones: { a: 'r', b: 'r', c: 'r' },
      bindAddresses: { frontend: `${this.host}:${PORT}`, readiness: `${this.host}:${PORT + 3}` },
      internalPorts: [7_000, 7_015],
      bootstrap: true,
      limits: {
        cpuShare: 0.675,
        cores: 1,
        memoryMb: 350,
        fileDescriptors: 4_100,
        linkMbps: 1_000,
        diskMb: 0,
      },
      dataDir: null,
      discovery: 'platform',
      entry: 'vip',
      heartbeatMs: 1_500,
      faultTolerance: { machines: 2, zones: 1, regions: 0 },
      bounds: {
        contactMs: 3_000,
        holdMaxMs: 6_000,
        leaseMs: 3_000,
        stopTimeoutMs: 900,
        fencingEnabled: false,
      },
      controlMode: 'call',
      advice: null,
      platform: {
        address: this.store,
        form: 'table',
        writesPerS: 600,
        readsPerS: 2_000,
        transactionMs: 8,
        partitionWritesS: 150,
        rowBytes: 65_536,
        crossPartition: false,
        historyS: 20,
      },
      cloud: { address: this.cloud, ratePerS: 64, duties: [], dutyPerS: 64 },
    };
  }
}

/** The machine that leads: the one alive with the latest term. */
export function leaderOf(members) {
  const alive = members.filter(({ alive }) => alive);
  return alive.reduce((best, one) => (one.epoch > best.epoch ? one : best), alive[0]);
}

/** Waits until a condition holds; false if it does not within `limitMs`. */
export async function waitFor(holds, limitMs, everyMs = 50) {
  for (let waited = 0; waited < limitMs; waited += everyMs) {
    if (await holds()) {
      return true;
    }
    await sleep(everyMs);
  }
  return false;
}
