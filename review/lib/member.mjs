// Members of the system: the program of the deploy file as processes on loopback addresses, started
// again after a short delay when they end, as the platform does.
import { spawn } from 'node:child_process';
import { createWriteStream, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout } from 'node:timers';
import { fileURLToPath } from 'node:url';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const RESTART_MS = 500;

/** Program and arguments of the role that serves callers. */
function commandOfDeployFile() {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const [, run] = /^run = "(.*)"$/m.exec(text);
  return run.split(' ');
}

/** The `bounds` and limits of the site shellrest-tw, as its settings file shows them. */
function settingsOf({ name, ip, zone, store, cloud }) {
  return {
    nodeName: name,
    role: 'entry',
    machineClass: 'frontend',
    serves: ['frontend'],
    ip,
    zone,
    region: 'north',
    zones: { 'north-a': 'north', 'north-b': 'north', 'north-c': 'north' },
    bindAddresses: { frontend: `${ip}:8340`, readiness: `${ip}:8343` },
    internalPorts: [7000, 7015],
    seeds: [],
    bootstrap: true,
    lossCounts: false,
    limits: { cpuShare: 0.675, cores: 1, memoryMb: 350, fileDescriptors: 4100, linkMbps: 1000 },
    dataDir: null,
    discovery: 'platform',
    entry: 'vip',
    heartbeatMs: 1500,
    contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sched', 'tenants', 'quota'],
    bounds: {
      contactMs: 3000,
      holdMaxMs: 6000,
      stopTimeoutMs: 900,
      cancel_ms: 3000,
      leaseMs: 3000,
    },
    controlMode: 'call',
    platform: {
      address: store,
      form: 'table',
      writesPerS: 600,
      readsPerS: 2000,
      transactionMs: 8,
      partitionWritesS: 150,
      rowBytes: 65536,
      crossPartition: false,
      historyS: 20,
    },
    cloud: { address: cloud, ratePerS: 64, duties: [], dutyPerS: 64 },
  };
}

export class Member {
  /** Ends of its processes that nobody asked for. */
  ownEnds = [];
  #options;
  #child;
  #asked = false;
  #restartMs = RESTART_MS;
  #stopped = false;
  #out;

  constructor(options) {
    this.#options = options;
    this.name = options.name;
    this.ip = options.ip;
    this.frontend = `${options.ip}:8340`;
    this.readiness = `${options.ip}:8343`;
    this.#out = createWriteStream(join(options.folder, `${options.name}.log`), { flags: 'a' });
  }

  get pid() {
    return this.#child?.pid;
  }

  start() {
    const { folder, name, log } = this.#options;
    const file = join(folder, `${name}.json`);
    writeFileSync(file, JSON.stringify(settingsOf(this.#options)));
    const [program, ...args] = commandOfDeployFile();
    const env = { PATH: process.env.PATH, HOME: folder, TURMERICHOIST_NODE_FILE: file };
    this.#asked = false;
    this.#restartMs = RESTART_MS;
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env,
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.#child = child;
    child.stdout.pipe(this.#out, { end: false });
    child.stderr.pipe(this.#out, { end: false });
    log('member started', { name, pid: child.pid });
    child.once('exit', (code, signal) => {
      log('member ended', { name, pid: child.pid, code, signal, asked: this.#asked });
      if (!this.#asked) {
        this.ownEnds.push({ code, signal });
      }
      this.#child = undefined;
      if (!this.#stopped) {
        setTimeout(() => !this.#stopped && this.start(), this.#restartMs);
      }
    });
  }

  /** Sends a signal to the process; it is started again `downMs` after it has ended. */
  kill(signal, downMs = RESTART_MS) {
    this.#restartMs = downMs;
    this.#asked ||= signal === 'SIGKILL' || signal === 'SIGTERM';
    this.#child?.kill(signal);
  }

  /** Ends the process for good. */
  stop() {
    this.#stopped = true;
    this.kill('SIGKILL');
  }
}
