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

/** Number of consecutive failed polls after which an instance counts as down. */
const DOWN_AFTER_FAILED_POLLS = 3;

/** Cursor that omits all finished tasks, which only the pool's task owner processes. */
const AFTER_ALL_FINISHED = Number.MAX_SAFE_INTEGER;

/** A decision that is carried out by a call to an instance. */
export type InstanceAction = Extract<FleetDecision, { type: 'cordon' | 'drain' | 'reboot' }>;
type CordonAction = Extract<InstanceAction, { type: 'cordon' }>;
type InstanceEvent = Extract<FleetEvent, { type: 'instance-seen' | 'drain-finished' }>;

interface Link {
  readonly address: string;
  readonly client: WorkerClient;
  /** Sends actions one at a time, so that they reach the instance in the order of the decisions. */
  readonly actions: PQueue;
  polling: boolean;
  failedPolls: number;
  boot: number | undefined;
  /** Drains that the instance has accepted since its last boot, by role. */
  readonly drains: Map<string, OwnerFence>;
  /** Cordons without a confirming reply, by role. */
  readonly cordons: Map<string, CordonAction>;
}

/** Links to the instances of the fleet: polls their state and sends actions to them. */
export class FleetLinks {
  readonly #owner: Recipient<InstanceEvent>;
  readonly #isAllowed: (fence: OwnerFence) => boolean;
  readonly #signal: AbortSignal;
  readonly #links = new Map<InstanceName, Link>();

  /** @param isAllowed Called right before each action is sent. */
  constructor(
    owner: Recipient<InstanceEvent>,
    isAllowed: (fence: OwnerFence) => boolean,
    signal: AbortSignal,
  ) {
    this.#owner = owner;
    this.#isAllowed = isAllowed;
    this.#signal = signal;
    signal.addEventListener('abort', () => void this.#closeAll(), { once: true });
  }

  /** Sets the instances of the fleet and closes the links to all others. */
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

  /** Requests a report from each selected instance that has no request for one in flight. */
  poll(shouldPoll: (instance: InstanceName) => boolean): void {
    for (const [name, link] of this.#links) {
      if (!link.polling && shouldPoll(name)) {
        link.polling = true;
        void this.#poll(name, link);
      }
    }
  }

  /** Sends an action. Lost cordons are resent here. The decider repeats lost drains and reboots. */
  send(action: InstanceAction): void {
    const link = this.#links.get(action.instance);
    if (link === undefined) {
      return;
    }
    if (action.type === 'cordon') {
      link.cordons.set(action.fence.role, action);
    }
    void link.actions.add(() => this.#send(link, action));
  }

  async #send(link: Link, action: InstanceAction): Promise<void> {
    if (!this.#isAllowed(action.fence)) {
      return;
    }
    switch (action.type) {
      case 'cordon':
        await this.#cordon(link, action);
        break;
      case 'drain':
        await this.#drain(link, action.fence);
        break;
      case 'reboot':
        await link.client.reboot(this.#signal, { fence: action.fence, boot: action.boot });
        break;
    }
  }

  async #cordon(link: Link, action: CordonAction): Promise<void> {
    if (link.cordons.get(action.fence.role) !== action) {
      return;
    }
    if (!action.on) {
      link.drains.clear();
    }
    const sent = await link.client.cordon(action.fence, action.on, this.#signal);
    if (sent.isOk() && link.cordons.get(action.fence.role) === action) {
      link.cordons.delete(action.fence.role);
    }
  }

  async #drain(link: Link, fence: OwnerFence): Promise<void> {
    const sent = await link.client.drain(this.#signal, fence);
    if (sent.isOk()) {
      link.drains.set(fence.role, fence);
    }
  }

  async #poll(name: InstanceName, link: Link): Promise<void> {
    // A report proves the end of a drain only if it was requested after the drain was accepted.
    const drains = [...link.drains.values()];
    const report = await link.client.report(AFTER_ALL_FINISHED, this.#signal);
    link.polling = false;
    if (this.#signal.aborted || this.#links.get(name) !== link) {
      return;
    }
    if (report.isErr()) {
      this.#recordFailedPoll(name, link);
      return;
    }
    this.#reportUp(name, link, report.value);
    const idle = report.value.draining && report.value.running.length === 0;
    for (const fence of idle ? drains : []) {
      if (link.drains.get(fence.role) === fence) {
        this.#owner.post({ type: 'drain-finished', instance: name, fence });
      }
    }
    for (const action of link.actions.size + link.actions.pending === 0
      ? link.cordons.values()
      : []) {
      this.send(action);
    }
  }

  #reportUp(name: InstanceName, link: Link, report: WorkerReport): void {
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

  #recordFailedPoll(name: InstanceName, link: Link): void {
    link.failedPolls += 1;
    if (link.failedPolls >= DOWN_AFTER_FAILED_POLLS) {
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
    actions: new PQueue({ concurrency: 1 }),
    polling: false,
    failedPolls: 0,
    boot: undefined,
    drains: new Map(),
    cordons: new Map(),
  };
}

/** Parses a worker's incarnation, which is its boot count, so that later owners can compare it. */
function bootCount({ incarnation }: WorkerReport): number {
  const boot = Number(incarnation);
  return Number.isSafeInteger(boot) ? boot : 0;
}
