import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import polka from 'polka';
import type {
  Clock,
  LeaseOrder,
  LeaseReply,
  Millis,
  OwnerFence,
  Resources,
} from '@turmerichoist/core';
import { SystemClock, every, sleep } from '@turmerichoist/runtime';
import {
  cordonBody,
  drainBody,
  leasesBody,
  rebootBody,
  renewBody,
  stopBody,
} from '@turmerichoist/daemon';
import { WorkerModel, type TaskRun } from './worker-model.js';
import type { WorkerFaults } from './faults.js';

const STEP_MS = 10;
const PAUSE_POLL_MS = 10;
const MAX_BODY_BYTES = 4_194_304;

export interface WorkerOptions {
  readonly host: string;
  /** 0 takes a free port. */
  readonly port: number;
  readonly capacity: Resources;
  /** Age of the usage figures in reports. Default 0. */
  readonly lagMs?: Millis;
  /** Time that a reboot takes. Default 200 ms. */
  readonly rebootMs?: Millis;
  readonly clock?: Clock;
}

/** A worker stand-in that runs. */
export interface Worker {
  /** `host:port`. */
  readonly address: string;
  readonly faults: WorkerFaults;
  /** Every run of a task so far, in order of start. */
  readonly runs: readonly TaskRun[];
  /** Counted from 1. */
  readonly boot: number;
  /** False while it drains or reboots. */
  readonly available: boolean;
  setFaults(faults: Partial<WorkerFaults>): void;
  close(): Promise<void>;
}

const DEFAULT_REBOOT_MS = 200;
const NEVER_OUTDATED: Millis = Number.MAX_SAFE_INTEGER;

type Handle = (body: unknown, req: IncomingMessage) => unknown;

async function readJson(req: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of req as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > MAX_BODY_BYTES) {
      throw new Error('body too large');
    }
    chunks.push(chunk);
  }
  return bytes === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString('utf8'));
}

function send(res: ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, { 'content-type': 'application/json' });
  res.end(JSON.stringify(body));
}

/** Serves the worker interface of section 5 of the design page over a `WorkerModel`. */
class WorkerServer implements Worker {
  readonly #options: WorkerOptions;
  readonly #clock: Clock;
  readonly #model: WorkerModel;
  readonly #ending = new AbortController();
  readonly #server: Server;
  #address = '';
  #rebooting = false;

  constructor(options: WorkerOptions) {
    this.#options = options;
    this.#clock = options.clock ?? new SystemClock();
    const { capacity, lagMs = 0 } = options;
    this.#model = new WorkerModel({ capacity, lagMs }, this.#clock.now());
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
    every(STEP_MS, this.#ending.signal, () => {
      if (!this.#model.faults.paused) {
        this.#model.advance(this.#clock.now());
      }
    });
  }

  async close(): Promise<void> {
    this.#ending.abort();
    this.#server.closeAllConnections();
    await new Promise((resolve) => this.#server.close(resolve));
  }

  #routes(): polka.Polka {
    return polka()
      .post(
        '/v1/leases',
        this.#guarded((body) => this.#lease(body)),
      )
      .post(
        '/v1/leases/renew',
        this.#guarded((body) => this.#renew(body)),
      )
      .post(
        '/v1/leases/stop',
        this.#guarded((body) => this.#stop(body)),
      )
      .get(
        '/v1/report',
        this.#guarded((_, req) => this.#report(req)),
      )
      .post(
        '/v1/cordon',
        this.#guarded((body) => this.#cordon(body)),
      )
      .post(
        '/v1/drain',
        this.#guarded((body) => this.#drain(body)),
      )
      .post(
        '/v1/reboot',
        this.#guarded((body) => this.#reboot(body)),
      )
      .post('/faults', (req, res) => void this.#changeFaults(req, res));
  }

  #guarded(handle: Handle): (req: IncomingMessage, res: ServerResponse) => void {
    return (req, res) => {
      void this.#serve(handle, req, res);
    };
  }

  async #serve(handle: Handle, req: IncomingMessage, res: ServerResponse): Promise<void> {
    try {
      const body = await readJson(req);
      await this.#delay();
      if (this.#model.faults.silent || this.#ending.signal.aborted) {
        return;
      }
      if (this.#rebooting) {
        res.destroy();
        return;
      }
      const answer = handle(body, req);
      if (this.#model.faults.loseAnswers) {
        res.destroy();
        return;
      }
      send(res, 200, answer);
    } catch (err) {
      send(res, 400, { error: String(err) });
    }
  }

  /** A paused worker handles the request when the pause ends, like a process that was stopped. */
  async #delay(): Promise<void> {
    const { signal } = this.#ending;
    if (this.#model.faults.slowMs > 0) {
      await sleep(this.#model.faults.slowMs, signal);
    }
    while (this.#model.faults.paused && !signal.aborted) {
      await sleep(PAUSE_POLL_MS, signal);
    }
  }

  async #changeFaults(req: IncomingMessage, res: ServerResponse): Promise<void> {
    try {
      send(res, 200, this.#model.setFaults(await readJson(req), this.#clock.now()));
    } catch (err) {
      send(res, 400, { error: String(err) });
    }
  }

  #lease(body: unknown): unknown {
    const now = this.#clock.now();
    const results = leasesBody.parse(body).leases.map(({ taskId, ...lease }) => {
      const order: LeaseOrder = {
        ...lease,
        id: taskId,
        validBeforeMs: lease.validBeforeMs ?? NEVER_OUTDATED,
        incarnation: lease.incarnation ?? this.#model.incarnation,
        resume: lease.resume ?? false,
      };
      return { taskId, fence: lease.fence, reply: this.#model.lease(order, now) };
    });
    return { results };
  }

  #renew(body: unknown): unknown {
    const now = this.#clock.now();
    const { leases, epoch } = renewBody.parse(body);
    const results = leases.map(({ taskId, validBeforeMs = NEVER_OUTDATED, ...lease }) => {
      const order = { ...lease, id: taskId, validBeforeMs, throttled: lease.throttled ?? false };
      const reply = this.#model.renew(epoch ?? lease.fence.epoch, order, now);
      return { taskId, fence: lease.fence, reply };
    });
    return { results };
  }

  #stop(body: unknown): unknown {
    const { taskId, fence, mode, epoch } = stopBody.parse(body);
    const order = { id: taskId, fence };
    const reply: LeaseReply = this.#model.stop(
      epoch ?? fence.epoch,
      order,
      mode,
      this.#clock.now(),
    );
    return { results: [{ taskId, fence, reply }] };
  }

  #report(req: IncomingMessage): unknown {
    const after = Number(new URL(req.url ?? '/', 'http://worker').searchParams.get('after') ?? 0);
    const report = this.#model.report(Number.isFinite(after) ? after : 0, this.#clock.now());
    return {
      ...report,
      running: report.running.map(({ id, ...task }) => ({ taskId: id, ...task })),
      finished: report.finished.map(({ id, ...task }) => ({ taskId: id, ...task })),
    };
  }

  #cordon(body: unknown): unknown {
    const { fence, on } = cordonBody.parse(body);
    this.#admit(fence);
    this.#model.cordon(on);
    return {};
  }

  #drain(body: unknown): unknown {
    this.#admit(drainBody.parse(body).fence);
    this.#model.drain(this.#clock.now());
    return {};
  }

  #reboot(body: unknown): unknown {
    const { fence, boot } = rebootBody.parse(body);
    this.#admit(fence);
    if (boot !== undefined && boot !== this.boot) {
      throw new Error(`boot ${boot} is over`);
    }
    this.#model.reboot(this.#clock.now());
    void this.#beAway();
    return {};
  }

  /** Refuses acts of an owner that another one has followed. */
  #admit(fence: OwnerFence | undefined): void {
    if (!this.#model.admits(fence)) {
      throw new Error('stale fence');
    }
  }

  async #beAway(): Promise<void> {
    // The answer to the reboot call is sent first.
    await Promise.resolve();
    this.#rebooting = true;
    await sleep(this.#options.rebootMs ?? DEFAULT_REBOOT_MS, this.#ending.signal);
    this.#rebooting = false;
  }
}

/** Starts a worker stand-in on a socket of its own. */
export async function startWorker(options: WorkerOptions): Promise<Worker> {
  const server = new WorkerServer(options);
  await server.listen();
  return server;
}
