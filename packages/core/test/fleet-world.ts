import { FleetDecider, ProportionalBorrowing } from '@turmerichoist/core';
import type {
  BudgetRow,
  OwnerFence as Fence,
  FleetDecision,
  FleetEvent,
  FleetTransaction,
  Resource,
  RowKey,
  StoredRow,
  Configuration,
} from '@turmerichoist/core';
import { BUDGET, ZONE_BUDGET } from './fleet-fixtures.js';

interface InstanceState {
  readonly up: boolean;
  readonly failed: boolean;
  readonly boot: number;
  readonly draining: boolean;
  readonly drainedFor: readonly Fence[];
  /** Highest epoch received of each role. */
  readonly epochs: ReadonlyMap<string, number>;
}

interface Member {
  readonly decider: FleetDecider;
  cfg: Configuration;
  /** Instances that were reported down to this member. */
  readonly reportedDown: Set<string>;
  inbox: FleetEvent[];
}

interface SentTransaction {
  readonly member: number;
  readonly txn: FleetTransaction;
  /** Instances that were reported down to the member when it sent the transaction. */
  readonly reportedDown: ReadonlySet<string>;
}

/**
 * Several deciders that share one table of rows and one set of simulated instances. Messages are
 * delivered in the order that the test chooses. Every write, command and delivered event is checked
 * against the invariants, and violations are collected.
 */
export class FleetWorld {
  now = 0;
  cfg: Configuration;
  readonly rows = new Map<RowKey, StoredRow>();
  readonly instances = new Map<string, InstanceState>();
  readonly members: Member[] = [];
  readonly owners = new Map<string, { readonly member: number; readonly epoch: number }>();
  readonly violations: string[] = [];
  readonly drains: string[] = [];
  inFlight: SentTransaction[] = [];
  /** Transaction outcomes whose responses were lost. */
  lost: { readonly member: number; readonly event: FleetEvent }[] = [];
  loseNextResponse = false;

  constructor(cfg: Configuration, members: number) {
    this.cfg = cfg;
    for (const { name } of cfg.list('instance')) {
      const idle = { failed: false, draining: false, drainedFor: [], epochs: new Map() };
      this.instances.set(name, { up: true, boot: 1, ...idle });
    }
    const planner = { slack: 0.25, returnAfterMs: 20_000 };
    for (let index = 0; index < members; index += 1) {
      const decider = new FleetDecider({ poolPlanner: new ProportionalBorrowing(planner) });
      this.members.push({ decider, cfg, reportedDown: new Set(), inbox: [] });
      this.handle(index, { type: 'config-changed', cfg });
      this.reportAllInstances(index);
    }
    cfg.list('pool').forEach(({ name }, index) => {
      this.takeOver(name, index % members);
    });
  }

  handle(index: number, event: FleetEvent): void {
    const member = this.members[index];
    if (member === undefined) {
      return;
    }
    if (event.type === 'config-changed') {
      member.cfg = event.cfg;
    } else if (event.type === 'instance-seen') {
      setIncluded(member.reportedDown, event.instance, event.state === 'down');
    }
    for (const decision of member.decider.handle(event, this.now)) {
      this.applyDecision(index, decision);
    }
    this.checkZones(index);
  }

  /** Delivers the messages in a member's inbox. */
  deliver(index: number): void {
    const member = this.members[index];
    const events = member?.inbox ?? [];
    if (member !== undefined) {
      member.inbox = [];
    }
    for (const event of events) {
      this.handle(index, event);
    }
  }

  tick(ms: number): void {
    this.now += ms;
    this.members.forEach((_, index) => {
      this.handle(index, { type: 'tick', wallMs: this.now });
    });
  }

  /** Transfers a role to a member. The former owner is not notified and continues to act. */
  takeOver(role: string, member: number): void {
    const epoch = (this.owners.get(role)?.epoch ?? 0) + 1;
    this.owners.set(role, { member, epoch });
    this.reportAllInstances(member);
    const rows = [...this.rows.values()];
    this.handle(member, { type: 'ownership-gained', fence: { role, epoch }, rows });
  }

  fail(name: string): void {
    this.updateInstance(name, { up: false, failed: true, draining: false, drainedFor: [] });
  }

  /** Ends a failure or a planned reboot. */
  bootUp(name: string): void {
    const instance = this.instances.get(name);
    if (instance?.up === false) {
      this.updateInstance(name, { up: true, failed: false, boot: instance.boot + 1 });
    }
  }

  finishDrain(name: string): void {
    for (const fence of this.instances.get(name)?.drainedFor ?? []) {
      this.broadcast({ type: 'drain-finished', instance: name, fence });
    }
  }

  configure(cfg: Configuration): void {
    this.cfg = cfg;
    this.broadcast({ type: 'config-changed', cfg });
  }

  setState(kind: 'plan' | 'zone', name: string, state: string): void {
    const resource = this.cfg.get(kind, name);
    if (resource !== undefined) {
      const version = this.cfg.revision + 1;
      const changed = { ...resource, version, spec: { ...resource.spec, state } } as Resource;
      this.configure(this.cfg.with(version, [{ op: 'put', resource: changed }]));
    }
  }

  /** Executes one of the in-flight transactions against the table. */
  commit(choice: number): void {
    const [sent] = this.inFlight.splice(choice % Math.max(this.inFlight.length, 1), 1);
    if (sent === undefined) {
      return;
    }
    const event = this.executeTransaction(sent);
    if (this.loseNextResponse) {
      this.loseNextResponse = false;
      this.handle(sent.member, { type: 'transaction-unknown', id: sent.txn.id });
      this.lost.push({ member: sent.member, event });
    } else {
      this.handle(sent.member, event);
    }
  }

  deliverLostResponses(): void {
    const settled = this.lost;
    this.lost = [];
    for (const { member, event } of settled) {
      this.handle(member, event);
    }
  }

  budget(pool: string): BudgetRow {
    const row = this.rows.get(`budget/${pool}`);
    return row?.kind === 'budget' ? row.value : { taken: [], requested: [], ramps: [] };
  }

  private reportAllInstances(index: number): void {
    for (const [name, instance] of this.instances) {
      this.handle(index, instanceSeen(name, instance));
    }
  }

  private broadcast(event: FleetEvent): void {
    for (const member of this.members) {
      member.inbox.push(event);
    }
  }

  private updateInstance(name: string, change: Partial<InstanceState>): void {
    const instance = this.instances.get(name);
    if (instance !== undefined) {
      const next = { ...instance, ...change };
      this.instances.set(name, next);
      this.broadcast(instanceSeen(name, next));
    }
  }

  private executeTransaction({ txn, reportedDown }: SentTransaction): FleetEvent {
    const isOwner = this.owners.get(txn.fence.role)?.epoch === txn.fence.epoch;
    const rowsHold = txn.conditions.every(({ key, version }) => {
      return (this.rows.get(key)?.version ?? 0) === version;
    });
    const movesHold = txn.poolChanges.every(({ instance, version, from }) => {
      const resource = this.cfg.get('instance', instance);
      return resource?.version === version && resource.spec.pool === from;
    });
    const keys = txn.conditions.map((condition) => condition.key);
    const committed = isOwner && rowsHold && movesHold;
    if (committed) {
      this.write(txn, reportedDown);
    }
    const rows = keys.flatMap((key) => this.rows.get(key) ?? []);
    const type = committed ? 'transaction-committed' : 'transaction-conflicted';
    return { type, id: txn.id, rows };
  }

  private write(txn: FleetTransaction, reportedDown: ReadonlySet<string>): void {
    for (const write of txn.writes) {
      const key: RowKey = `${write.kind}/${write.name}`;
      const version = (this.rows.get(key)?.version ?? 0) + 1;
      if (write.kind === 'budget') {
        this.checkAcquired(write.name, write.value, reportedDown);
      }
      const row = { ...write, version } as StoredRow;
      this.rows.set(key, row);
      this.broadcast({ type: 'rows-read', rows: [row] });
    }
    const version = this.cfg.revision + 1;
    const moved = txn.poolChanges.flatMap(({ instance, to }) => {
      const resource = this.cfg.get('instance', instance);
      return resource === undefined
        ? []
        : [{ ...resource, version, spec: { ...resource.spec, pool: to } }];
    });
    if (moved.length > 0) {
      const puts = moved.map((resource) => ({ op: 'put', resource }) as const);
      this.configure(this.cfg.with(version, puts));
    }
  }

  /** A planned entry may be added only if the budget covers all unavailable instances. */
  private checkAcquired(pool: string, next: BudgetRow, reportedDown: ReadonlySet<string>): void {
    const before = this.budget(pool).taken;
    const added = next.taken.filter((entry) => {
      const isNew = !before.some((each) => each.instance === entry.instance);
      return isNew && entry.cause !== 'failure';
    });
    const members = this.cfg.list('instance').filter((each) => each.spec.pool === pool);
    const down = members.map((each) => each.name).filter((name) => reportedDown.has(name));
    const unavailable = new Set([...next.taken.map((entry) => entry.instance), ...down]);
    const inZone = [...unavailable].filter((name) => this.zoneOf(name) === 'z1').length;
    if (added.length > 0 && (unavailable.size > BUDGET || inZone > ZONE_BUDGET)) {
      this.violations.push(
        `budget of ${pool} exceeded: ${[...unavailable].join()} are unavailable`,
      );
    }
  }

  private applyDecision(index: number, decision: FleetDecision): void {
    switch (decision.type) {
      case 'change-budget':
      case 'record-progress':
      case 'move-instances': {
        const reportedDown = new Set(this.members[index]?.reportedDown);
        this.inFlight.push({ member: index, txn: decision.txn, reportedDown });
        return;
      }
      case 'drain':
        this.checkDrain(index, decision.instance);
        this.drain(decision.instance, decision.fence);
        return;
      case 'reboot':
        this.reboot(decision.instance, decision.boot, decision.fence);
        return;
      case 'cordon':
        this.checkCordon(index, decision.instance, decision.on);
        if (this.accepts(decision.instance, decision.fence) && !decision.on) {
          this.endDrain(decision.instance, decision.fence.role);
        }
        return;
      case 'wait':
        return;
    }
  }

  /** True if the instance accepts a command with this fence. Records the role's highest epoch. */
  private accepts(name: string, { role, epoch }: Fence): boolean {
    const instance = this.instances.get(name);
    if (instance === undefined || epoch < (instance.epochs.get(role) ?? 0)) {
      return false;
    }
    const epochs = new Map([...instance.epochs, [role, epoch] as const]);
    this.instances.set(name, { ...instance, epochs });
    return true;
  }

  private drain(name: string, fence: Fence): void {
    const instance = this.instances.get(name);
    if (instance?.up !== true || !this.accepts(name, fence)) {
      return;
    }
    if (!this.hasBudgetUnit(name)) {
      this.violations.push(`${name} drains without a budget unit of its pool`);
    }
    const others = instance.drainedFor.filter((each) => each.role !== fence.role);
    this.updateInstance(name, {
      ...this.instances.get(name),
      draining: true,
      drainedFor: [...others, fence],
    });
    this.drains.push(name);
  }

  private reboot(name: string, boot: number, fence: Fence): void {
    const instance = this.instances.get(name);
    if (instance?.up !== true || !this.accepts(name, fence) || instance.boot !== boot) {
      return;
    }
    if (!instance.draining || !this.hasBudgetUnit(name)) {
      this.violations.push(`${name} reboots without a drain or a budget unit`);
    }
    this.updateInstance(name, { up: false, draining: false, drainedFor: [] });
  }

  private endDrain(name: string, role: string): void {
    const left = this.instances.get(name)?.drainedFor.filter((each) => each.role !== role) ?? [];
    this.updateInstance(name, { drainedFor: left, draining: left.length > 0 });
  }

  private hasBudgetUnit(name: string): boolean {
    const pool = this.cfg.get('instance', name)?.spec.pool ?? '';
    const { taken } = this.budget(pool);
    return taken.some((entry) => entry.instance === name && entry.cause !== 'failure');
  }

  /** A drain may not begin when the failures that the member knows of use up the budget. */
  private checkDrain(index: number, name: string): void {
    const member = this.members[index];
    const pool = member?.cfg.get('instance', name)?.spec.pool;
    const members = member?.cfg.list('instance').filter((each) => each.spec.pool === pool) ?? [];
    const failed = members.filter((each) => {
      const isFailed = this.instances.get(each.name)?.failed === true;
      return isFailed && member?.reportedDown.has(each.name) === true;
    });
    // A drain of an instance that is down already has no effect; its sender may not know yet.
    const instance = this.instances.get(name);
    const isServing = instance?.up === true && !instance.draining;
    if (isServing && failed.length >= BUDGET) {
      this.violations.push(
        `${name} begins to drain although failures use up the budget of its pool`,
      );
    }
  }

  /** Work may not start on an instance of a zone that is out. */
  private checkZones(index: number): void {
    const member = this.members[index];
    if (member?.cfg.spec('zone', 'z1')?.state !== 'out') {
      return;
    }
    for (const { name, spec } of member.cfg.list('instance')) {
      const isOut = member.cfg.spec('zone', spec.zone)?.state === 'out';
      if (isOut && member.decider.isSchedulable(name)) {
        this.violations.push(`${name} may start work although zone ${spec.zone} is out`);
      }
    }
  }

  private checkCordon(index: number, name: string, on: boolean): void {
    const cfg = this.members[index]?.cfg;
    const zone = cfg?.get('instance', name)?.spec.zone ?? '';
    if (!on && cfg?.spec('zone', zone)?.state === 'out') {
      this.violations.push(`${name} is uncordoned although zone ${zone} is out`);
    }
  }

  private zoneOf(name: string): string | undefined {
    return this.cfg.get('instance', name)?.spec.zone;
  }
}

function setIncluded(names: Set<string>, name: string, isIn: boolean): void {
  if (isIn) {
    names.add(name);
  } else {
    names.delete(name);
  }
}

function instanceSeen(instance: string, current: InstanceState): FleetEvent {
  const { boot, draining } = current;
  const state = current.up ? 'rebooted' : 'down';
  return { type: 'instance-seen', instance, state, boot, draining };
}
