import { spawn } from 'node:child_process';
import { randomInt } from 'node:crypto';
import { appendFileSync, existsSync, mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs';
import { writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { fileURLToPath } from 'node:url';
import { call } from './http.mjs';
import { Store } from './store.mjs';

export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..');
export const HOLD_MAX_MS = 6_000;
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;
const LIMIT_MS = 110_000;
const MANIFEST_WAIT_MS = 15_000;

export const pause = (ms) => new Promise((done) => setTimeout(done, ms));

/** The command of the deploy file, without the program's own words split any further. */
function deployCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const [, run] = /^run = "([^"]+)"$/m.exec(text) ?? [];
  return run.split(' ');
}

/** A free port on a loopback address, and the number of ports after it that are free, too. */
async function freePorts(host, count) {
  for (;;) {
    const first = 20_000 + randomInt(20_000);
    const tries = await Promise.all(
      Array.from({ length: count }, (_, offset) => isFree(host, first + offset)),
    );
    if (tries.every(Boolean)) {
      return first;
    }
  }
}

function isFree(host, port) {
  return new Promise((done) => {
    const probe = net.createServer();
    probe.once('error', () => done(false));
    probe.listen(port, host, () => probe.close(() => done(true)));
  });
}

/** One run of a case: its record, its temporary folder and the processes that it has started. */
export class Case {
  #members = [];
  #closers = [];
  #startedAt = performance.now();

  constructor(folder) {
    this.trouble = process.env.TROUBLE !== '0';
    this.file = join(process.env.RECORD_FOLDER ?? folder, 'record.txt');
    writeFileSync(this.file, '');
    this.folder = mkdtempSync(join(tmpdir(), 'case-'));
    this.record = this.record.bind(this);
    this.record('case', { trouble: this.trouble });
    this.store = new Store();
    // However the case ends, also by a signal or an error, its processes end with it.
    process.once('exit', () => {
      this.#killMembers();
      this.#removeFolder();
    });
    ['SIGTERM', 'SIGINT', 'SIGHUP'].forEach((signal) => {
      process.once(signal, () => process.exit(NOT_RUN));
    });
    process.once('uncaughtException', (err) => {
      this.record('error', { err: String(err?.stack ?? err) });
      process.exit(NOT_RUN);
    });
  }

  #removeFolder() {
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(this.folder, { recursive: true, force: true });
    } else {
      console.log(this.folder);
    }
  }

  #killMembers() {
    for (const member of this.#members) {
      member.onExit = undefined;
      if (member.up) {
        member.child.kill('SIGKILL');
      }
    }
  }

  record(text, fields = {}) {
    const ms = Math.round(performance.now() - this.#startedAt);
    appendFileSync(this.file, `${ms} ${text} ${JSON.stringify(fields)}\n`);
  }

  onEnd(close) {
    this.#closers.push(close);
  }

  /** Starts a process of the deploy file on a loopback address of its own. */
  async startMember(name, ip, cloud, { cloudDuties = [] } = {}) {
    const port = await freePorts(ip, 24);
    const settings = {
      nodeName: name,
      role: 'entry',
      machineClass: 'frontend',
      serves: ['frontend'],
      ip,
      zone: 'zone-a',
      region: 'region',
      zones: { 'zone-a': 'region', 'zone-b': 'region' },
      bindAddresses: {
        frontend: `${ip}:${port}`,
        readiness: `${ip}:${port + 1}`,
        control: `${ip}:${port + 2}`,
      },
      internalPorts: [port + 3, port + 20],
      seeds: [],
      bootstrap: true,
      lossCounts: false,
      limits: {
        cpuShare: 1,
        cores: 1,
        memoryMb: 350,
        fileDescriptors: 4100,
        linkMbps: 1000,
        diskMb: 0,
      },
      dataDir: null,
      discovery: 'platform',
      entry: 'vip',
      heartbeatMs: 1500,
      contracts: ['base', 'drain', 'config', 'recover', 'sched', 'tenants', 'quota', 'platform'],
      faultTolerance: { machines: 1, zones: 1, regions: 0 },
      bounds: {
        contactMs: 3000,
        ackMs: 4000,
        holdMaxMs: HOLD_MAX_MS,
        stopTimeoutMs: 900,
        gangTimeoutMs: 3000,
        cancel_ms: 3000,
        visible_ms: 3000,
        early_ms: 250,
        finish_s: 14,
        status_s: 120,
        noticeMs: 4500,
        migrationS: 1.5,
        maintenanceS: 2,
        fencingEnabled: false,
        leaseMs: 3000,
        paceMs: 100,
        interferenceMs: 4000,
      },
      controlMode: 'call',
      platform: {
        address: this.store.address,
        form: 'table',
        writesPerS: 600,
        readsPerS: 2000,
        transactionMs: 8,
        partitionWritesS: 150,
        rowBytes: 65536,
        crossPartition: false,
        historyS: 20,
        blobBytes: 8388608,
        blobMs: 25,
        blobMbS: 80,
      },
      cloud: { address: cloud.address, ratePerS: 64, duties: cloudDuties, dutyPerS: 64 },
    };
    const file = join(this.folder, `${name}.json`);
    writeFileSync(file, JSON.stringify(settings));
    const member = { name, file, frontend: settings.bindAddresses.frontend, exits: 0 };
    member.readiness = settings.bindAddresses.readiness;
    member.log = join(this.folder, `${name}.log`);
    this.#members.push(member);
    this.spawnMember(member);
    return member;
  }

  /** Starts the process of a member, also again after its end. */
  spawnMember(member) {
    const [program, ...args] = deployCommand();
    const output = openSync(member.log, 'a');
    const { PATH, HOME, LANG } = process.env;
    const env = { PATH, HOME, LANG, TURMERICHOIST_NODE_FILE: member.file };
    const child = spawn(program, args, { cwd: ROOT, env, stdio: ['ignore', output, output] });
    member.child = child;
    member.up = true;
    this.record('process started', { member: member.name });
    child.once('exit', (code, signal) => {
      member.up = false;
      member.exits += 1;
      member.lastExit = { code, signal };
      this.record('process ended', { member: member.name, code, signal });
      member.onExit?.(code, signal);
    });
  }

  signal(member, signal) {
    this.record('signal', { member: member.name, signal });
    member.child.kill(signal);
  }

  /** Waits until the members answer 200 to readiness probes. */
  async awaitReady(members) {
    const until = performance.now() + MANIFEST_WAIT_MS;
    for (const member of members) {
      for (;;) {
        const probe = await call(member.readiness, 'GET', '/-/readyz', { timeoutMs: 500 });
        if (probe.status === 200) {
          break;
        }
        if (performance.now() > until) {
          throw new Error(`${member.name} is not ready`);
        }
        await pause(100);
      }
    }
  }

  /** The member that leads, as its log tells; undefined without one. */
  leader() {
    const claims = this.#members
      .filter((member) => existsSync(member.log))
      .flatMap((member) =>
        readFileSync(member.log, 'utf8')
          .split('\n')
          .filter((line) => line.includes('"leadership claimed"'))
          .map((line) => ({ member, epoch: Number(/"epoch":(\d+)/.exec(line)?.[1] ?? 0) })),
      )
      .sort((a, b) => b.epoch - a.epoch);
    return claims[0]?.member;
  }

  /** Sends one call of a consumer and records it. */
  async call(member, method, path, { host, key, body, timeoutMs = 3_000, note } = {}) {
    const headers = {
      host,
      'x-deadline-ms': String(timeoutMs),
      ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
    };
    const answer = await call(member.frontend, method, path, { headers, body, timeoutMs });
    const { status, body: answered, error } = answer;
    this.record('call', {
      member: member.name,
      method,
      path,
      key,
      body,
      status,
      answered,
      error,
      note,
    });
    return answer;
  }

  /** Calls until one of the members answers with another status than 0, 502, 503, 504 or 429. */
  async callAny(members, method, path, options = {}, withinMs = 20_000) {
    const until = performance.now() + withinMs;
    for (let turn = 0; ; turn += 1) {
      const answer = await this.call(members[turn % members.length], method, path, options);
      if (![0, 429, 502, 503, 504].includes(answer.status) || performance.now() > until) {
        return answer;
      }
      await pause(300);
    }
  }

  async end() {
    for (const close of this.#closers) {
      await close();
    }
    this.#killMembers();
    await pause(300);
    this.store.server?.close();
  }
}

/** Runs a case and exits with what it returns; with 2 if it could not run. */
export async function runCase(url, body) {
  const one = new Case(dirname(fileURLToPath(url)));
  const finish = async (code, why) => {
    one.record('result', { code, why });
    console.log(`${code} ${why}`);
    await one.end();
    process.exit(code);
  };
  setTimeout(() => void finish(NOT_RUN, 'took too long'), LIMIT_MS).unref();
  try {
    await one.store.listen('127.0.0.1');
    const { code, why } = await body(one);
    await finish(code, why);
  } catch (err) {
    await finish(NOT_RUN, String(err?.stack ?? err));
  }
}
