import PQueue from 'p-queue';
import type {
  Configuration,
  FleetDecision,
  FleetEvent,
  InstanceName,
  OwnerFence,
  WorkerReport,
} from '@turmerichoist/core';
import type { Recipient } from '@turmerichoist/runtime';
import { WorkerClient } from '../workers/index.js';

/** Failed polls in a row after which an instance counts as down. */
const DOWN_AFTER_POLLS = 3;

/** Leaves out all finished tasks, which are the business of the pool's task owner. */
const NO_FINISHED = Number.MAX_SAFE_INTEGER;

export type Act = Extract<FleetDecision, { type: 'cordon' | 'drain' | 'reboot' }>;
type Cordon = Extract<Act, { type: 'cordon' }>;
type SeenEvent = Extract<FleetEvent, { type: 'instance-seen' | 'drain-finished' }>;

interface Link {
  readonly address: string;
  readonly client: WorkerClient;
  /** Acts reach an instance in the order in which they were decided. */
  readonly acts: PQueue;
  polling: boolean;
  failedPolls: number;
  boot: number | undefined;
  /** Drains that the instance has accepted since it booted, by role. */
  readonly drains: Map<string, OwnerFence>;
  /** Cordons that no reply has confirmed, by role. */
  readonly cordons: Map<string, Cordon>;
}

/** Calls the instances of the fleet: polls their state and carries out acts on them. */
export class FleetLinks {
  readonly #owner: Recipient<SeenEvent>;
  readonly #mayAct: (fence: OwnerFence) => boolean;
  readonly #signal: AbortSignal;
  readonly #links = new Map<InstanceName, Link>();

  /** @param mayAct Asked right before each act is sent. */
  constructor(
    owner: Recipient<SeenEvent>,
    mayAct: (fence: OwnerFence) => boolean,
    signal: AbortSignal,
  ) {
    this.#owner = owner;
    this.#mayAct = mayAct;
    this.#signal = signal;
    signal.addEventListener('abort', () => void this.#closeAll(), { once: true });
  }

  /** Sets the instances of the fleet; links to others are closed. */
  configure(cfg: Configuration): void {
    for (const [name, link] of this.#links) {
      if (cfg.get('instance', name)?.spec.address !== link.address) {
        void link.client.close();
        this.#links.delete(name);
      }
    }
    for (const { name, spec } of cfg.list('instance')) {
      if (!this.#links.has(name)) {
        this.#links.set(name, createLink(name, spec.address));
      }
    }
  }

  /** Asks the instances for their reports, except those whose last one is still awaited. */
  poll(isWanted: (instance: InstanceName) => boolean): void {
    for (const [name, link] of this.#links) {
      if (!link.polling && isWanted(name)) {
        link.polling = true;
        void this.#poll(name, link);
      }
    }
  }

  /** Sends an act. Lost cordons are sent again; the decider repeats lost drains and reboots. */
  send(act: Act): void {
    const link = this.#links.get(act.instance);
    if (link === undefined) {
      return;
    }
    if (act.type === 'cordon') {
      link.cordons.set(act.fence.role, act);
    }
    void link.acts.add(() => this.#send(link, act));
  }

  async #send(link: Link, act: Act): Promise<void> {
    if (!this.#mayAct(act.fence)) {
      return;
    }
    switch (act.type) {
      case 'cordon':
        await this.#cordon(link, act);
        break;
      case 'drain':
        await this.#drain(link, act.fence);
        break;
      case 'reboot':
        await link.client.reboot(this.#signal, { fence: act.fence, boot: act.boot });
        break;
    }
  }

  async #cordon(link: Link, act: Cordon): Promise<void> {
    if (link.cordons.get(act.fence.role) !== act) {
      return;
    }
    if (!act.on) {
      link.drains.clear();
    }
    const sent = await link.client.cordon(act.fence, act.on, this.#signal);
    if (sent.isOk() && link.cordons.get(act.fence.role) === act) {
      link.cordons.delete(act.fence.role);
    }
  }

  async #drain(link: Link, fence: OwnerFence): Promise<void> {
    const sent = await link.client.drain(this.#signal, fence);
    if (sent.isOk()) {
      link.drains.set(fence.role, fence);
    }
  }

  async #poll(name: InstanceName, link: Link): Promise<void> {
    // A report proves the end of a drain only if it was asked for after the drain was accepted.
    const drains = [...link.drains.values()];
    const report = await link.client.report(NO_FINISHED, this.#signal);
    link.polling = false;
    if (this.#signal.aborted || this.#links.get(name) !== link) {
      return;
    }
    if (report.isErr()) {
      this.#unreachable(name, link);
      return;
    }
    this.#seen(name, link, report.value);
    const idle = report.value.draining && report.value.running.length === 0;
    for (const fence of idle ? drains : []) {
      if (link.drains.get(fence.role) === fence) {
        this.#owner.post({ type: 'drain-finished', instance: name, fence });
      }
    }
    for (const act of link.acts.size + link.acts.pending === 0 ? link.cordons.values() : []) {
      this.send(act);
    }
  }

  #seen(name: InstanceName, link: Link, report: WorkerReport): void {
    const boot = bootCount(report);
    const rebooted = link.boot !== undefined && link.boot !== boot;
    if (rebooted) {
      link.drains.clear();
    }
    link.boot = boot;
    link.failedPolls = 0;
    const state = rebooted ? 'rebooted' : 'up';
    const { draining } = report;
    this.#owner.post({ type: 'instance-seen', instance: name, state, boot, draining });
  }

  #unreachable(name: InstanceName, link: Link): void {
    link.failedPolls += 1;
    if (link.failedPolls >= DOWN_AFTER_POLLS) {
      const boot = link.boot ?? 0;
      this.#owner.post({ type: 'instance-seen', instance: name, state: 'down', boot });
    }
  }

  async #closeAll(): Promise<void> {
    await Promise.all([...this.#links.values()].map(({ client }) => client.close()));
  }
}

function createLink(worker: InstanceName, address: string): Link {
  return {
    address,
    client: new WorkerClient({ worker, address }),
    acts: new PQueue({ concurrency: 1 }),
    polling: false,
    failedPolls: 0,
    boot: undefined,
    drains: new Map(),
    cordons: new Map(),
  };
}

/** A worker's incarnation is the number of its boots, which a later owner can compare. */
function bootCount({ incarnation }: WorkerReport): number {
  const boot = Number(incarnation);
  return Number.isSafeInteger(boot) ? boot : 0;
}
