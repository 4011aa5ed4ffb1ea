import {
  SeededRandom,
  TaskDecider,
  type Configuration,
  type Millis,
  type Resources,
  type TaskAnswer,
  type TaskDecision,
  type TaskEvent,
  type TaskSpec,
  type WorkerReport,
} from '@turmerichoist/core';
import type { Member } from './fake-member.js';
import { FakeTable } from './fake-table.js';
import { FakeWorker, reportOf } from './fake-worker.js';
import { POOL } from './task-fixtures.js';

export const STEP_MS = 100;
const SESSION_MS = 8_000;
const TAKEOVER_MS = 9_100;
const CONFIG_FRESH_MS = 8_000;
const SESSION_RENEW_STEPS = 20;
const POLL_STEPS = 5;
const REPLY_TIMEOUT_STEPS = 15;
const UNREACHABLE_MS = 3_000;

/**
 * Deterministic simulation of members, the store, workers and a lossy network on a virtual clock.
 */
export class TaskSimulation {
  readonly random: SeededRandom;
  readonly workers: readonly FakeWorker[];
  readonly members: readonly Member[];
  readonly table: FakeTable;
  readonly answers: { readonly at: Millis; readonly answer: TaskAnswer }[] = [];
  readonly decisions: { readonly at: Millis; readonly decision: TaskDecision }[] = [];
  readonly #scheduled = new Map<number, (() => void)[]>();
  now: Millis = 0;
  lossyNetwork = false;
  /** Takes effect at a member when it next renews its session. */
  cfg: Configuration;
  allowances: ReadonlyMap<string, Resources>;
  #request = 0;

  constructor(seed: number, cfg: Configuration, allowances: ReadonlyMap<string, Resources>) {
    this.random = new SeededRandom(seed);
    this.table = new FakeTable(this.random, -TAKEOVER_MS);
    this.cfg = cfg;
    this.workers = cfg.list('instance').map(({ name, spec }) => {
      const { processors, memoryMb, accelerators } = spec;
      const capacity = { processors, memoryMb, accelerators };
      return new FakeWorker(name, spec.zone, capacity, this.random);
    });
    this.members = ['m1', 'm2'].map((name) => ({
      name,
      decider: new TaskDecider(POOL),
      inbox: [],
      cursors: new Map(),
      lastReport: new Map(),
      pendingReports: new Map(),
      paused: false,
      partitioned: false,
      until: -Infinity,
      cfg: undefined,
      allowances: undefined,
    }));
    this.allowances = allowances;
  }

  submit(task: TaskSpec): void {
    this.#sendToOwner((request) => ({ type: 'submitted', request, task }));
  }

  cancel(team: string, ids: readonly string[]): void {
    this.#sendToOwner((request) => ({ type: 'cancelled', request, team, ids }));
  }

  /** Ends every fault. */
  heal(): void {
    this.table.mode = 'up';
    this.lossyNetwork = false;
    for (const member of this.members) {
      member.partitioned = false;
      this.resumeMember(member);
    }
    for (const worker of this.workers) {
      worker.model.setFaults({ failAll: false, silent: false }, worker.clock(this.now));
      this.resumeWorker(worker);
    }
  }

  resumeMember(member: Member): void {
    member.paused = false;
    for (const action of member.inbox.splice(0)) {
      action();
    }
  }

  resumeWorker(worker: FakeWorker): void {
    worker.model.setFaults({ paused: false }, worker.clock(this.now));
    const waiting = worker.inbox;
    worker.inbox = [];
    for (const action of waiting) {
      action();
    }
  }

  run(steps: number): void {
    for (let i = 0; i < steps; i += 1) {
      this.now += STEP_MS;
      const step = this.now / STEP_MS;
      const due = this.#scheduled.get(step) ?? [];
      this.#scheduled.delete(step);
      for (const action of due) {
        action();
      }
      this.#advanceWorkers();
      this.#renewAndPoll(step);
      for (const member of this.members) {
        this.#runOnMember(member, () => {
          this.#dispatch(member, { type: 'tick' });
        });
      }
    }
  }

  #advanceWorkers(): void {
    for (const worker of this.workers) {
      if (!worker.model.faults.paused) {
        worker.model.advance(worker.clock(this.now));
      }
    }
  }

  #renewAndPoll(step: number): void {
    for (const member of this.members) {
      const reachesStore = !member.paused && !member.partitioned && this.table.mode !== 'down';
      if (reachesStore && step % SESSION_RENEW_STEPS === 0) {
        this.#renewSession(member);
      }
      if (!member.paused && step % POLL_STEPS === 0 && this.#believesOwner(member)) {
        this.#pollWorkers(member);
      }
    }
  }

  #renewSession(member: Member): void {
    if (this.table.owner.member === member.name) {
      this.table.owner.beatAt = this.now;
    } else if (this.now - this.table.owner.beatAt >= TAKEOVER_MS) {
      this.table.owner = {
        member: member.name,
        epoch: this.table.owner.epoch + 1,
        beatAt: this.now,
      };
      const { epoch } = this.table.owner;
      member.cursors.clear();
      this.#refresh(member);
      const log = this.table.events();
      const nextBatch = this.table.batches.length;
      this.#dispatch(member, { type: 'ownership-gained', epoch, log, nextBatch });
      return;
    }
    this.#refresh(member);
  }

  #refresh(member: Member): void {
    const owns = this.table.owner.member === member.name;
    member.until = owns ? this.now + SESSION_MS : member.until;
    const configUntil = this.now + CONFIG_FRESH_MS;
    if (member.cfg !== this.cfg) {
      member.cfg = this.cfg;
      this.#dispatch(member, { type: 'config-changed', cfg: this.cfg });
    }
    if (member.allowances !== this.allowances) {
      member.allowances = this.allowances;
      this.#dispatch(member, { type: 'allowances', teams: this.allowances });
    }
    this.#dispatch(member, { type: 'freshness', configUntil, ownerUntil: member.until });
  }

  #believesOwner(member: Member): boolean {
    return this.now < member.until;
  }

  #sendToOwner(event: (request: string) => TaskEvent): void {
    this.#request += 1;
    const request = `r${this.#request}`;
    const owner = this.members.find((member) => this.#believesOwner(member));
    if (owner !== undefined) {
      this.#runOnMember(owner, () => {
        this.#dispatch(owner, event(request));
      });
    }
  }

  #runOnMember(member: Member, action: () => void): void {
    if (member.paused) {
      member.inbox.push(action);
    } else {
      action();
    }
  }

  #dispatch(member: Member, event: TaskEvent): void {
    for (const decision of member.decider.handle(event, this.now)) {
      this.decisions.push({ at: this.now, decision });
      this.#execute(member, decision);
    }
  }

  #execute(member: Member, decision: TaskDecision): void {
    switch (decision.type) {
      case 'append':
        this.#append(member, decision);
        return;
      case 'lease':
        this.#lease(member, decision);
        return;
      case 'renew':
        this.#send(member, decision.worker, decision.sendBefore, (worker, clock) => {
          for (const order of decision.renewals) {
            worker.model.renew(decision.epoch, order, clock);
          }
        });
        return;
      case 'stop':
        this.#send(member, decision.worker, decision.sendBefore, (worker, clock) => {
          worker.model.stop(decision.epoch, decision, decision.mode, clock);
        });
        return;
      case 'answer':
        this.answers.push({ at: this.now, answer: decision.answer });
        return;
      case 'wait':
        return;
    }
  }

  #append(member: Member, append: Extract<TaskDecision, { type: 'append' }>): void {
    this.#after(this.#delay(2), () => {
      const reply = this.table.write(member, append, this.now);
      const delay = this.#delay(this.table.mode === 'slow' ? 30 : 1);
      this.#after(delay, () => {
        this.#runOnMember(member, () => {
          this.#dispatch(member, reply);
        });
      });
    });
  }

  #lease(member: Member, decision: Extract<TaskDecision, { type: 'lease' }>): void {
    const { worker: name, leases, sendBefore } = decision;
    const answer = (reply: 'unknown' | 'not-sent'): TaskEvent => {
      const results = leases.map(({ id, fence }) => ({ id, fence, reply }));
      return { type: 'lease-result', worker: name, results };
    };
    let open = true;
    const settle = (event: TaskEvent): void => {
      if (open) {
        open = false;
        this.#runOnMember(member, () => {
          this.#dispatch(member, event);
        });
      }
    };
    const sent = this.#send(member, name, sendBefore, (worker, clock) => {
      const results = leases.map((order) => ({
        id: order.id,
        fence: order.fence,
        reply: worker.model.lease(order, clock),
      }));
      if (!this.#isDropped()) {
        this.#after(this.#delay(2), () => {
          settle({ type: 'lease-result', worker: name, results });
        });
      }
    });
    this.#after(REPLY_TIMEOUT_STEPS, () => {
      settle(answer(sent.left ? 'unknown' : 'not-sent'));
    });
  }

  /** Sends after a delay within the member, unless `sendBefore` has passed by then. */
  #send(
    member: Member,
    name: string,
    sendBefore: Millis,
    action: (worker: FakeWorker, clock: Millis) => void,
  ): { readonly left: boolean } {
    const state = { left: false };
    const worker = this.workers.find((candidate) => candidate.name === name);
    this.#after(this.#delay(this.lossyNetwork ? 25 : 0), () => {
      this.#runOnMember(member, () => {
        if (worker === undefined || this.now >= sendBefore) {
          return;
        }
        state.left = true;
        if (!this.#isDropped()) {
          this.#deliver(worker, action);
        }
      });
    });
    return state;
  }

  #deliver(worker: FakeWorker, action: (worker: FakeWorker, clock: Millis) => void): void {
    this.#after(this.#delay(this.lossyNetwork ? 60 : 1), () => {
      if (worker.model.faults.silent) {
        return;
      }
      const handle = (): void => {
        action(worker, worker.clock(this.now));
      };
      if (worker.model.faults.paused) {
        worker.inbox.push(handle);
      } else {
        handle();
      }
    });
  }

  #pollWorkers(member: Member): void {
    for (const worker of this.workers) {
      const last = member.lastReport.get(worker.name) ?? this.now;
      member.lastReport.set(worker.name, last);
      if (this.now - last > UNREACHABLE_MS) {
        this.#dispatch(member, { type: 'worker-unreachable', worker: worker.name });
      }
      const asked = member.pendingReports.get(worker.name) ?? -Infinity;
      if (this.now - asked >= REPLY_TIMEOUT_STEPS * STEP_MS) {
        this.#requestReport(member, worker);
      }
    }
  }

  #requestReport(member: Member, worker: FakeWorker): void {
    const known = member.cursors.get(worker.name);
    const after = known?.incarnation === worker.model.incarnation ? known.cursor : 0;
    const requestedAt = this.now;
    member.pendingReports.set(worker.name, requestedAt);
    if (this.#isDropped()) {
      return;
    }
    this.#deliver(worker, (_, clock) => {
      const report = reportOf(worker, after, requestedAt, clock);
      if (!this.#isDropped()) {
        this.#after(this.#delay(2), () => {
          this.#runOnMember(member, () => {
            this.#receive(member, report);
          });
        });
      }
    });
  }

  /** Delivers a report; on a lossy network it may be dropped or delivered again later. */
  #receive(member: Member, report: WorkerReport): void {
    const { worker, incarnation, cursor, requestedAt } = report;
    if (member.pendingReports.get(worker) !== requestedAt) {
      return;
    }
    member.pendingReports.delete(worker);
    member.lastReport.set(worker, this.now);
    if (!this.#isDropped()) {
      member.cursors.set(worker, { incarnation, cursor });
      this.#dispatch(member, { type: 'worker-report', report });
    }
    if (this.lossyNetwork) {
      this.#after(this.#delay(60), () => {
        this.#runOnMember(member, () => {
          this.#dispatch(member, { type: 'worker-report', report });
        });
      });
    }
  }

  #isDropped(): boolean {
    return this.lossyNetwork && this.random.nextInt(4) === 0;
  }

  #delay(max: number): number {
    return 1 + this.random.nextInt(max + 1);
  }

  #after(steps: number, action: () => void): void {
    const step = this.now / STEP_MS + steps;
    const actions = this.#scheduled.get(step) ?? [];
    actions.push(action);
    this.#scheduled.set(step, actions);
  }
}
