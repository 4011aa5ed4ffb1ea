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

interface Machine {
  readonly up: boolean;
  readonly failed: boolean;
  readonly boot: number;
  readonly draining: boolean;
  readonly drainedFor: readonly Fence[];
  /** Highest epoch seen of each role. */
  readonly epochs: ReadonlyMap<string, number>;
}

interface Member {
  readonly decider: FleetDecider;
  cfg: Configuration;
  /** Instances that this member was told are down. */
  readonly toldDown: Set<string>;
  inbox: FleetEvent[];
}

interface Sent {
  readonly member: number;
  readonly txn: FleetTransaction;
  /** Failures that the member knew of when it sent the transaction. */
  readonly toldDown: ReadonlySet<string>;
}

/**
 * Several deciders over one table of rows and one set of machines. Messages are delivered in the
 * order that the test chooses. Machines and the table check the invariants.
 */
export class FleetWorld {
  now = 0;
  cfg: Configuration;
  readonly rows = new Map<RowKey, StoredRow>();
  readonly machines = new Map<string, Machine>();
  readonly members: Member[] = [];
  readonly owners = new Map<string, { readonly member: number; readonly epoch: number }>();
  readonly violations: string[] = [];
  readonly drains: string[] = [];
  sent: Sent[] = [];
  /** Outcomes that their senders do not know yet. */
  lost: { readonly member: number; readonly event: FleetEvent }[] = [];
  loseNext = false;

  constructor(cfg: Configuration, members: number) {
    this.cfg = cfg;
    for (const { name } of cfg.list('instance')) {
      const idle = { failed: false, draining: false, drainedFor: [], epochs: new Map() };
      this.machines.set(name, { up: true, boot: 1, ...idle });
    }
    const planner = { slack: 0.25, returnAfterMs: 20_000 };
    for (let index = 0; index < members; index += 1) {
      const decider = new FleetDecider({ poolPlanner: new ProportionalBorrowing(planner) });
      this.members.push({ decider, cfg, toldDown: new Set(), inbox: [] });
      this.handle(index, { type: 'config-changed', cfg });
      this.tellAll(index);
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
      note(member.toldDown, event.instance, event.state === 'down');
    }
    for (const decision of member.decider.handle(event, this.now)) {
      this.carryOut(index, decision);
    }
    this.checkZones(index);
  }

  /** Delivers what waits for a member. */
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

  /** Gives a role to a member. The former owner is not told and goes on. */
  takeOver(role: string, member: number): void {
    const epoch = (this.owners.get(role)?.epoch ?? 0) + 1;
    this.owners.set(role, { member, epoch });
    this.tellAll(member);
    const rows = [...this.rows.values()];
    this.handle(member, { type: 'ownership-gained', fence: { role, epoch }, rows });
  }

  fail(name: string): void {
    this.change(name, { up: false, failed: true, draining: false, drainedFor: [] });
  }

  /** Ends a failure or a planned reboot. */
  bootUp(name: string): void {
    const machine = this.machines.get(name);
    if (machine?.up === false) {
      this.change(name, { up: true, failed: false, boot: machine.boot + 1 });
    }
  }

  finishDrain(name: string): void {
    for (const fence of this.machines.get(name)?.drainedFor ?? []) {
      this.broadcast({ type: 'drain-finished', instance: name, fence });
    }
  }

  configure(cfg: Configuration): void {
    this.cfg = cfg;
    this.broadcast({ type: 'config-changed', cfg });
  }

  edit(kind: 'plan' | 'zone', name: string, state: string): void {
    const resource = this.cfg.get(kind, name);
    if (resource !== undefined) {
      const version = this.cfg.revision + 1;
      const changed = { ...resource, version, spec: { ...resource.spec, state } } as Resource;
      this.configure(this.cfg.with(version, [{ op: 'put', resource: changed }]));
    }
  }

  /** The table carries out one of the transactions on their way. */
  commit(choice: number): void {
    const [sent] = this.sent.splice(choice % Math.max(this.sent.length, 1), 1);
    if (sent === undefined) {
      return;
    }
    const event = this.execute(sent);
    if (this.loseNext) {
      this.loseNext = false;
      this.handle(sent.member, { type: 'transaction-unknown', id: sent.txn.id });
      this.lost.push({ member: sent.member, event });
    } else {
      this.handle(sent.member, event);
    }
  }

  settleLost(): void {
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

  private tellAll(index: number): void {
    for (const [name, machine] of this.machines) {
      this.handle(index, seen(name, machine));
    }
  }

  private broadcast(event: FleetEvent): void {
    for (const member of this.members) {
      member.inbox.push(event);
    }
  }

  private change(name: string, change: Partial<Machine>): void {
    const machine = this.machines.get(name);
    if (machine !== undefined) {
      const next = { ...machine, ...change };
      this.machines.set(name, next);
      this.broadcast(seen(name, next));
    }
  }

  private execute({ txn, toldDown }: Sent): FleetEvent {
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
      this.write(txn, toldDown);
    }
    const rows = keys.flatMap((key) => this.rows.get(key) ?? []);
    const type = committed ? 'transaction-committed' : 'transaction-conflicted';
    return { type, id: txn.id, rows };
  }

  private write(txn: FleetTransaction, toldDown: ReadonlySet<string>): void {
    for (const write of txn.writes) {
      const key: RowKey = `${write.kind}/${write.name}`;
      const version = (this.rows.get(key)?.version ?? 0) + 1;
      if (write.kind === 'budget') {
        this.checkTake(write.name, write.value, toldDown);
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

  /** H1 at the table: a planned act is added only if the budget covers all that is unavailable. */
  private checkTake(pool: string, next: BudgetRow, toldDown: ReadonlySet<string>): void {
    const before = this.budget(pool).taken;
    const added = next.taken.filter((entry) => {
      const isNew = !before.some((each) => each.instance === entry.instance);
      return isNew && entry.cause !== 'failure';
    });
    const members = this.cfg.list('instance').filter((each) => each.spec.pool === pool);
    const down = members.map((each) => each.name).filter((name) => toldDown.has(name));
    const unavailable = new Set([...next.taken.map((entry) => entry.instance), ...down]);
    const inZone = [...unavailable].filter((name) => this.zoneOf(name) === 'z1').length;
    if (added.length > 0 && (unavailable.size > BUDGET || inZone > ZONE_BUDGET)) {
      this.violations.push(`H1: ${pool} has ${[...unavailable].join()} unavailable`);
    }
  }

  private carryOut(index: number, decision: FleetDecision): void {
    switch (decision.type) {
      case 'change-budget':
      case 'record-progress':
      case 'move-instances': {
        const toldDown = new Set(this.members[index]?.toldDown);
        this.sent.push({ member: index, txn: decision.txn, toldDown });
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
          this.endDrainOf(decision.instance, decision.fence.role);
        }
        return;
      case 'wait':
        return;
    }
  }

  /** True if the machine accepts an act. It remembers the highest epoch of each role. */
  private accepts(name: string, { role, epoch }: Fence): boolean {
    const machine = this.machines.get(name);
    if (machine === undefined || epoch < (machine.epochs.get(role) ?? 0)) {
      return false;
    }
    const epochs = new Map([...machine.epochs, [role, epoch] as const]);
    this.machines.set(name, { ...machine, epochs });
    return true;
  }

  private drain(name: string, fence: Fence): void {
    const machine = this.machines.get(name);
    if (machine?.up !== true || !this.accepts(name, fence)) {
      return;
    }
    if (!this.isCovered(name)) {
      this.violations.push(`H1: ${name} drains without a unit of its pool`);
    }
    const others = machine.drainedFor.filter((each) => each.role !== fence.role);
    this.change(name, {
      ...this.machines.get(name),
      draining: true,
      drainedFor: [...others, fence],
    });
    this.drains.push(name);
  }

  private reboot(name: string, boot: number, fence: Fence): void {
    const machine = this.machines.get(name);
    if (machine?.up !== true || !this.accepts(name, fence) || machine.boot !== boot) {
      return;
    }
    if (!machine.draining || !this.isCovered(name)) {
      this.violations.push(`H1: ${name} reboots without a drain or a unit`);
    }
    this.change(name, { up: false, draining: false, drainedFor: [] });
  }

  private endDrainOf(name: string, role: string): void {
    const left = this.machines.get(name)?.drainedFor.filter((each) => each.role !== role) ?? [];
    this.change(name, { drainedFor: left, draining: left.length > 0 });
  }

  private isCovered(name: string): boolean {
    const pool = this.cfg.get('instance', name)?.spec.pool ?? '';
    const { taken } = this.budget(pool);
    return taken.some((entry) => entry.instance === name && entry.cause !== 'failure');
  }

  /** No drain begins when the failures that the member knows of use the budget up. */
  private checkDrain(index: number, name: string): void {
    const member = this.members[index];
    const pool = member?.cfg.get('instance', name)?.spec.pool;
    const members = member?.cfg.list('instance').filter((each) => each.spec.pool === pool) ?? [];
    const failed = members.filter((each) => {
      const isFailed = this.machines.get(each.name)?.failed === true;
      return isFailed && member?.toldDown.has(each.name) === true;
    });
    // A drain that reaches an instance which is down already has no effect; reports of that lag.
    const machine = this.machines.get(name);
    const isServing = machine?.up === true && !machine.draining;
    if (isServing && failed.length >= BUDGET) {
      this.violations.push(`H1: ${name} begins to drain, but failures use up its budget`);
    }
  }

  /** H5: an instance of a zone that is out takes no work. */
  private checkZones(index: number): void {
    const member = this.members[index];
    if (member?.cfg.spec('zone', 'z1')?.state !== 'out') {
      return;
    }
    for (const { name, spec } of member.cfg.list('instance')) {
      const isOut = member.cfg.spec('zone', spec.zone)?.state === 'out';
      if (isOut && member.decider.mayStart(name)) {
        this.violations.push(`H5: ${name} may start work in ${spec.zone}`);
      }
    }
  }

  private checkCordon(index: number, name: string, on: boolean): void {
    const cfg = this.members[index]?.cfg;
    const zone = cfg?.get('instance', name)?.spec.zone ?? '';
    if (!on && cfg?.spec('zone', zone)?.state === 'out') {
      this.violations.push(`H5: ${name} is opened in ${zone}`);
    }
  }

  private zoneOf(name: string): string | undefined {
    return this.cfg.get('instance', name)?.spec.zone;
  }
}

function note(names: Set<string>, name: string, isIn: boolean): void {
  if (isIn) {
    names.add(name);
  } else {
    names.delete(name);
  }
}

function seen(instance: string, machine: Machine): FleetEvent {
  const { boot, draining } = machine;
  const state = machine.up ? 'rebooted' : 'down';
  return { type: 'instance-seen', instance, state, boot, draining };
}
