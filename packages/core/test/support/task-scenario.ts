import type { Millis, Resources, TaskSpec } from '@turmerichoist/core';
import fc from 'fast-check';
import { configOf, taskOf, type WorkerShape } from './task-fixtures.js';
import type { StoreMode } from './fake-table.js';
import { TaskSimulation } from './task-simulation.js';

const WORKERS: readonly WorkerShape[] = ['z1', 'z1', 'z2', 'z3'].map((zone, i) => ({
  name: `w${i}`,
  zone,
  processors: 4,
  memoryMb: 1_000,
  accelerators: i === 0 ? 2 : 0,
}));
const TEAMS = ['a', 'b'];
const HIGH_LIMIT: Resources = { processors: 6, memoryMb: 2_000, accelerators: 2 };
/** Reduced team limit. */
export const LOW_LIMIT: Resources = { processors: 2, memoryMb: 500, accelerators: 1 };

type Step =
  | {
      readonly op: 'submit';
      readonly team: number;
      readonly urgent: boolean;
      readonly idempotent: boolean;
      readonly processors: number;
      readonly accelerators: number;
      readonly runMs: number;
      readonly fails: boolean;
      readonly checkpoints: boolean;
    }
  | { readonly op: 'cancel'; readonly task: number }
  | { readonly op: 'worker'; readonly worker: number; readonly fault: WorkerFault }
  | { readonly op: 'store'; readonly mode: StoreMode }
  | { readonly op: 'member'; readonly member: number; readonly fault: MemberFault }
  | { readonly op: 'zone-out'; readonly zone: number }
  | { readonly op: 'zones-in' }
  | { readonly op: 'limit'; readonly team: number; readonly low: boolean }
  | { readonly op: 'lossy'; readonly on: boolean };
type WorkerFault = 'pause' | 'resume' | 'reboot' | 'silent' | 'fail-all' | 'drain' | 'none';
type MemberFault = 'pause' | 'partition' | 'heal';

const submit = fc.record({
  op: fc.constant('submit' as const),
  team: fc.nat(1),
  urgent: fc.boolean(),
  idempotent: fc.boolean(),
  processors: fc.integer({ min: 1, max: 4 }),
  accelerators: fc.nat(1),
  runMs: fc.integer({ min: 100, max: 15_000 }),
  fails: fc.boolean(),
  checkpoints: fc.boolean(),
});
const fault = fc.oneof(
  fc.record({ op: fc.constant('cancel' as const), task: fc.nat(30) }),
  fc.record({
    op: fc.constant('worker' as const),
    worker: fc.nat(3),
    fault: fc.constantFrom<WorkerFault>(
      'pause',
      'pause',
      'resume',
      'reboot',
      'silent',
      'fail-all',
      'drain',
      'none',
    ),
  }),
  fc.record({
    op: fc.constant('store' as const),
    mode: fc.constantFrom<StoreMode>('up', 'down', 'loses-answers', 'slow'),
  }),
  fc.record({
    op: fc.constant('member' as const),
    member: fc.nat(1),
    fault: fc.constantFrom<MemberFault>('pause', 'partition', 'heal'),
  }),
  fc.record({ op: fc.constant('zone-out' as const), zone: fc.integer({ min: 1, max: 3 }) }),
  fc.record({ op: fc.constant('zones-in' as const) }),
  fc.record({ op: fc.constant('limit' as const), team: fc.nat(1), low: fc.boolean() }),
  fc.record({ op: fc.constant('lossy' as const), on: fc.boolean() }),
);
/** Random scripts of submissions, cancellations and faults. */
export const scenarioScript = fc.record({
  seed: fc.nat(),
  steps: fc.array(
    fc.record({
      what: fc.oneof<fc.Arbitrary<Step>[]>(submit, submit, fault),
      wait: fc.integer({ min: 0, max: 40 }),
    }),
    { minLength: 3, maxLength: 30 },
  ),
});

/** Applies a script to a simulation and records zone and limit changes with their times. */
export class Scenario {
  readonly simulation: TaskSimulation;
  readonly tasks = new Map<string, TaskSpec>();
  readonly zoneChanges: { readonly at: Millis; readonly out: readonly string[] }[] = [
    { at: 0, out: [] },
  ];
  readonly limits: { readonly at: Millis; readonly teams: ReadonlyMap<string, Resources> }[] = [];

  constructor(seed: number) {
    const teams = new Map(TEAMS.map((team) => [team, HIGH_LIMIT]));
    this.simulation = new TaskSimulation(seed, configOf(WORKERS, TEAMS.map(teamOf)), teams);
    this.limits.push({ at: 0, teams });
  }

  apply(step: Step): void {
    const { simulation } = this;
    switch (step.op) {
      case 'submit':
        this.#submit(step);
        return;
      case 'cancel': {
        const task = this.tasks.get(`t${step.task}`);
        if (task !== undefined) {
          simulation.cancel(task.team, [task.id]);
        }
        return;
      }
      case 'worker':
        this.#faultWorker(step.worker, step.fault);
        return;
      case 'store':
        simulation.table.mode = step.mode;
        return;
      case 'member':
        this.#faultMember(step.member, step.fault);
        return;
      case 'zone-out':
        this.#setZones([`z${step.zone}`]);
        return;
      case 'zones-in':
        this.#setZones([]);
        return;
      case 'limit': {
        const team = TEAMS[step.team] ?? '';
        this.#setLimits(
          new Map([...simulation.allowances, [team, step.low ? LOW_LIMIT : HIGH_LIMIT]]),
        );
        return;
      }
      case 'lossy':
        simulation.lossyNetwork = step.on;
        return;
    }
  }

  heal(): void {
    this.#setZones([]);
    this.#setLimits(new Map(TEAMS.map((team) => [team, HIGH_LIMIT])));
    this.simulation.heal();
    for (const worker of this.simulation.workers) {
      worker.model.reboot(worker.clock(this.simulation.now));
    }
  }

  #submit(step: Extract<Step, { op: 'submit' }>): void {
    const exit = step.fails ? 1 : 0;
    const checkpoint = step.checkpoints ? 'yes' : 'no';
    const task = taskOf({
      id: `t${this.tasks.size}`,
      team: TEAMS[step.team] ?? '',
      workClass: step.urgent ? 'urgent' : 'normal',
      idempotent: step.idempotent,
      processors: step.processors,
      accelerators: step.accelerators,
      command: `run${exit} ms=${step.runMs} exit=${exit} checkpoint=${checkpoint}`,
    });
    this.tasks.set(task.id, task);
    this.simulation.submit(task);
  }

  #faultWorker(index: number, kind: WorkerFault): void {
    const worker = this.simulation.workers[index];
    if (worker === undefined) {
      return;
    }
    const clock = worker.clock(this.simulation.now);
    const { model } = worker;
    if (kind === 'pause') {
      model.setFaults({ paused: true }, clock);
    } else if (kind === 'resume') {
      this.simulation.resumeWorker(worker);
    } else if (kind === 'reboot') {
      worker.inbox = [];
      model.setFaults({ paused: false }, clock);
      model.reboot(clock);
    } else if (kind === 'drain') {
      model.drain(clock);
    } else {
      model.setFaults({ silent: kind === 'silent', failAll: kind === 'fail-all' }, clock);
    }
  }

  #faultMember(index: number, kind: MemberFault): void {
    const member = this.simulation.members[index];
    if (member === undefined) {
      return;
    }
    if (kind === 'pause') {
      member.paused = true;
    } else if (kind === 'partition') {
      member.partitioned = true;
    } else {
      member.partitioned = false;
      this.simulation.resumeMember(member);
    }
  }

  #setZones(out: readonly string[]): void {
    this.zoneChanges.push({ at: this.simulation.now, out });
    this.simulation.cfg = configOf(WORKERS, TEAMS.map(teamOf), out);
  }

  #setLimits(teams: ReadonlyMap<string, Resources>): void {
    this.limits.push({ at: this.simulation.now, teams });
    this.simulation.allowances = teams;
  }
}

function teamOf(name: string): { readonly name: string } {
  return { name };
}
