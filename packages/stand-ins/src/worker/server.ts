import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import polka from 'polka';
import type { Clock, Millis, Resources } from '@turmerichoist/core';
import { SystemClock, every, sleep } from '@turmerichoist/runtime';
import { readBody } from '../http/index.js';
import { WorkerApi } from './worker-api.js';
import { WorkerModel, type TaskRun } from './worker-model.js';
import type { WorkerFaults } from './faults.js';

const ADVANCE_INTERVAL_MS = 10;
const PAUSE_POLL_MS = 10;
const MAX_BODY_BYTES = 4_194_304;

export interface WorkerOptions {
  readonly host: string;
  /** 0 picks a free port. */
  readonly port: number;
  readonly capacity: Resources;
  /** Age of the usage figures in reports. Default 0. */
  readonly lagMs?: Millis;
  /** Duration of a simulated reboot. Default 200 ms. */
  readonly rebootMs?: Millis;
  readonly clock?: Clock;
}

/** A running worker stand-in. */
export interface Worker {
  /** `host:port`. */
  readonly address: string;
  readonly faults: WorkerFaults;
  /** Every task run so far, in order of start. */
  readonly runs: readonly TaskRun[];
  /** Number of the current boot, from 1. A reboot increments it. */
  readonly boot: number;
  /** False while the worker drains or reboots. */
  readonly available: boolean;
  setFaults(faults: Partial<WorkerFaults>): void;
  close(): Promise<void>;
}

const DEFAULT_REBOOT_MS = 200;

type RequestHandler = (body: unknown, req: IncomingMessage) => unknown;

async function readJson(req: IncomingMessage): Promise<unknown> {
  const body = await readBody(req, MAX_BODY_BYTES);
  return body.length === 0 ? {} : JSON.parse(body.toString('utf8'));
}

function sendJson(res: ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, { 'content-type': 'application/json' });
  res.end(JSON.stringify(body));
}

/** Serves the API of a worker over HTTP, and injects its faults. */
class WorkerServer implements Worker {
  readonly #options: WorkerOptions;
  readonly #clock: Clock;
  readonly #model: WorkerModel;
  readonly #api: WorkerApi;
  readonly #shutdown = new AbortController();
  readonly #server: Server;
  #address = '';
  #rebooting = false;

  constructor(options: WorkerOptions) {
    this.#options = options;
    this.#clock = options.clock ?? new SystemClock();
    const { capacity, lagMs = 0 } = options;
    this.#model = new WorkerModel({ capacity, lagMs }, this.#clock.now());
    this.#api = new WorkerApi(this.#model, this.#clock);
    const app = this.#routes();
    this.#server = createServer((req, res) => {
      app.handler(req as polka.Request, res);
    });
  }

  get address(): string {
    return this.#address;
  }

  get faults(): WorkerFaults {
    return this.#model.faults;
  }

  get runs(): readonly TaskRun[] {
    return this.#model.runs;
  }

  get boot(): number {
    return Number(this.#model.incarnation);
  }

  get available(): boolean {
    return !this.#rebooting && !this.#model.isDraining;
  }

  setFaults(faults: Partial<WorkerFaults>): void {
    this.#model.setFaults(faults, this.#clock.now());
  }

  async listen(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(this.#options.port, this.#options.host, resolve);
    });
    const { port } = this.#server.address() as AddressInfo;
    this.#address = `${this.#options.host}:${port}`;
    every(ADVANCE_INTERVAL_MS, this.#shutdown.signal, () => {
      if (!this.#model.faults.paused) {
        this.#model.advance(this.#clock.now());
      }
    });
  }

  async close(): Promise<void> {
    this.#shutdown.abort();
    this.#server.closeAllConnections();
    await new Promise((resolve) => this.#server.close(resolve));
  }

  #routes(): polka.Polka {
    return polka()
      .post(
        '/v1/leases',
        this.#withFaults((body) => this.#api.lease(body)),
      )
      .post(
        '/v1/leases/renew',
        this.#withFaults((body) => this.#api.renew(body)),
      )
      .post(
        '/v1/leases/stop',
        this.#withFaults((body) => this.#api.stop(body)),
      )
      .get(
        '/v1/report',
        this.#withFaults((_, req) => this.#api.report(req.url ?? '/')),
      )
      .post(
        '/v1/cordon',
        this.#withFaults((body) => this.#api.cordon(body)),
      )
      .post(
        '/v1/drain',
        this.#withFaults((body) => this.#api.drain(body)),
      )
      .post(
        '/v1/reboot',
        this.#withFaults((body) => this.#reboot(body)),
      )
      .post('/faults', (req, res) => void this.#changeFaults(req, res));
  }

  #withFaults(handle: RequestHandler): (req: IncomingMessage, res: ServerResponse) => void {
    return (req, res) => {
      void this.#handleRequest(handle, req, res);
    };
  }

  async #handleRequest(
    handle: RequestHandler,
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    try {
      const body = await readJson(req);
      await this.#applyDelays();
      if (this.#model.faults.silent || this.#shutdown.signal.aborted) {
        return;
      }
      if (this.#rebooting) {
        res.destroy();
        return;
      }
      const response = handle(body, req);
      if (this.#model.faults.loseAnswers) {
        res.destroy();
        return;
      }
      sendJson(res, 200, response);
    } catch (err) {
      sendJson(res, 400, { error: String(err) });
    }
  }

  /** Applies `slowMs`, and holds a request while the worker is paused, like a stopped process. */
  async #applyDelays(): Promise<void> {
    const { signal } = this.#shutdown;
    if (this.#model.faults.slowMs > 0) {
      await sleep(this.#model.faults.slowMs, signal);
    }
    while (this.#model.faults.paused && !signal.aborted) {
      await sleep(PAUSE_POLL_MS, signal);
    }
  }

  async #changeFaults(req: IncomingMessage, res: ServerResponse): Promise<void> {
    try {
      sendJson(res, 200, this.#model.setFaults(await readJson(req), this.#clock.now()));
    } catch (err) {
      sendJson(res, 400, { error: String(err) });
    }
  }

  #reboot(body: unknown): unknown {
    const reply = this.#api.reboot(body);
    void this.#simulateReboot();
    return reply;
  }

  async #simulateReboot(): Promise<void> {
    // Lets the response to the reboot request be sent first.
    await Promise.resolve();
    this.#rebooting = true;
    await sleep(this.#options.rebootMs ?? DEFAULT_REBOOT_MS, this.#shutdown.signal);
    this.#rebooting = false;
  }
}

/** Starts a worker stand-in that listens on its own port. */
export async function startWorker(options: WorkerOptions): Promise<Worker> {
  const server = new WorkerServer(options);
  await server.listen();
  return server;
}
