import { Configuration } from '../resources/index.js';
import type { InstanceName, Millis, PlanName } from '../types/index.js';
import type { Disruptions } from './disruptions.js';
import { compareNames } from './fleet-view.js';
import { cyclePlan, declaredPlan, leaderOf, type PlanDefinition } from './plan-definition.js';
import { groupsOf, namesOf, orderByScarcity, poolsOf, type PlanGroup } from './plan-groups.js';
import { failureRise, failuresOf, firstRow, refreshedRow } from './plan-progress.js';
import { isInWindow } from './maintenance-window.js';
import { reserveFor, dropStaleReservations } from './plan-reservations.js';
import type { RoundContext } from './round-context.js';
import type { BudgetEntry, Cause, PlanRow } from './rows.js';
import type { WaitReason } from './wait-reasons.js';

export interface MaintenanceOptions {
  /** Cycle of the continuous maintenance of every pool; none if undefined. */
  readonly cycleMs?: Millis;
}

/** One plan in one round. */
interface PlanRound {
  readonly definition: PlanDefinition;
  readonly cause: Cause;
  readonly row: PlanRow;
  readonly inFlight: readonly BudgetEntry[];
}

/** Works on maintenance plans: which groups to take down next, as far as budgets allow. */
export class MaintenancePlanner {
  readonly #options: MaintenanceOptions;
  readonly #disruptions: Disruptions;
  /** Plans that stopped because failures rose. */
  readonly #stopped = new Set<PlanName>();
  /** When each group first found its budgets short. */
  readonly #shortSince = new Map<string, Millis>();
  readonly #definitions = new Map<PlanName, PlanDefinition>();
  #definitionsOf = Configuration.empty;

  constructor(disruptions: Disruptions, options: MaintenanceOptions) {
    this.#disruptions = disruptions;
    this.#options = options;
  }

  /** Plans the round of every plan that the role leads. Declared plans go before the cycle. */
  plan(context: RoundContext): void {
    for (const name of this.#declaredNames(context)) {
      const definition = this.#definition(name, context);
      if (definition === undefined) {
        this.#clean(name, context);
      } else if (this.#leads(definition, context)) {
        this.#planOne(definition, context);
      }
    }
    const { cycleMs } = this.#options;
    if (cycleMs !== undefined) {
      this.#planOne(cyclePlan(context.view, context.role, cycleMs), context);
    }
  }

  #declaredNames({ view, ledger }: RoundContext): readonly PlanName[] {
    const stored = ledger.planNames().filter((name) => !name.startsWith('cycle:'));
    return [...new Set([...view.plans(), ...stored])].sort(compareNames);
  }

  /** Definitions are made once for each configuration, since each one looks at every instance. */
  #definition(name: PlanName, { view }: RoundContext): PlanDefinition | undefined {
    if (this.#definitionsOf !== view.cfg) {
      this.#definitionsOf = view.cfg;
      this.#definitions.clear();
    }
    const known = this.#definitions.get(name) ?? declaredPlan(view, name);
    if (known !== undefined) {
      this.#definitions.set(name, known);
    }
    return known;
  }

  #leads(definition: PlanDefinition, { ledger, view, role }: RoundContext): boolean {
    return leaderOf(definition, ledger.plan(definition.name), view) === role;
  }

  /** Removes what a deleted plan left, except units of disruptions that have begun. */
  #clean(name: PlanName, context: RoundContext): void {
    if (context.ledger.plan(name)?.role !== context.role) {
      return;
    }
    this.#giveBack(`plan/${name}`, context);
    dropStaleReservations(`plan/${name}`, [], context);
    context.batch.editPlan(name, null);
  }

  #planOne(definition: PlanDefinition, context: RoundContext): void {
    if (!context.batch.canEdit(`plan-state/${definition.name}`)) {
      const reason = { type: 'transaction', pool: context.role } as const;
      context.waits.note({ kind: 'plan', name: definition.name }, reason, context.now);
      return;
    }
    const round = this.#refresh(definition, context);
    const reason = this.#stop(round, context);
    if (definition.state === 'aborted') {
      this.#giveBack(round.cause, context);
    }
    if (reason === undefined) {
      this.#startGroups(round, context);
    } else {
      dropStaleReservations(round.cause, [], context);
      this.#note(round, reason, context);
    }
  }

  #refresh(definition: PlanDefinition, context: RoundContext): PlanRound {
    const { batch } = context;
    const { name } = definition;
    const stored = batch.plan(name);
    const row =
      stored === undefined
        ? firstRow(definition, context)
        : refreshedRow(stored, definition, context);
    if (row !== stored) {
      batch.editPlan(name, row);
    }
    const cause = `plan/${name}` as const;
    const inFlight = context.ledger
      .plannedEntriesOf(context.role)
      .filter((entry) => entry.cause === cause);
    return { definition, cause, row, inFlight };
  }

  /** Why the plan may start nothing now, if so. */
  #stop(round: PlanRound, context: RoundContext): WaitReason | undefined {
    const { definition, row } = round;
    if (definition.state !== 'running') {
      return { type: 'paused' };
    }
    if (row.remaining.length === 0) {
      return definition.cycleMs === undefined ? undefined : { type: 'pace' };
    }
    if (!isInWindow(definition.window, context.wallMs)) {
      return { type: 'window' };
    }
    return this.#failureStop(round, context);
  }

  /**
   * A stopped plan goes on when half of the rise is over. Waiting for the end of every failure stops
   * a plan for ever where single instances fail all the time.
   */
  #failureStop(
    { definition, row, inFlight }: PlanRound,
    context: RoundContext,
  ): WaitReason | undefined {
    const overdue = inFlight.filter((entry) => this.#disruptions.isOverdue(entry, context.now));
    const current = failuresOf(definition, context) + overdue.length;
    const atWave = row.failuresAtWave;
    const rise = failureRise(definition, context);
    const limit = this.#stopped.has(definition.name) ? Math.floor(rise / 2) : rise - 1;
    if (current <= atWave + limit) {
      this.#stopped.delete(definition.name);
      return undefined;
    }
    this.#stopped.add(definition.name);
    return { type: 'failures', atWave, current };
  }

  #startGroups(round: PlanRound, context: RoundContext): void {
    const { definition, row, cause } = round;
    const waiting = this.#waitingGroups(round, context);
    dropStaleReservations(cause, waiting, context);
    let started = 0;
    let room = this.#room(round, context);
    for (const group of waiting) {
      const reason = this.#startGroup(group, round, room, context);
      if (reason === undefined) {
        started += group.instances.length;
        room -= 1;
      } else {
        this.#note(round, reason, context);
        this.#noteInstances(group, reason, context);
      }
    }
    if (started > 0) {
      this.#recordWave(definition, row, round.inFlight.length === 0, context);
    } else if (round.inFlight[0] !== undefined) {
      this.#note(round, { type: 'drain', instance: round.inFlight[0].instance }, context);
    }
  }

  #startGroup(
    group: PlanGroup,
    round: PlanRound,
    room: number,
    context: RoundContext,
  ): WaitReason | undefined {
    const { cause, definition } = round;
    if (room <= 0) {
      return this.#roomReason(definition);
    }
    const busy = this.#busyInstance(group, context);
    if (busy !== undefined) {
      return busy;
    }
    const key = `${cause} ${group.name}`;
    const reason = context.batch.tryTake({ instances: group.instances, cause, group: group.name });
    if (reason === undefined) {
      this.#shortSince.delete(key);
      return undefined;
    }
    const since = this.#shortSince.get(key) ?? context.now;
    this.#shortSince.set(key, since);
    reserveFor({ group, cause, since }, context);
    return reason;
  }

  /** Groups with instances left that are up and not yet taken by this plan. */
  #waitingGroups(
    { definition, row, inFlight }: PlanRound,
    context: RoundContext,
  ): readonly PlanGroup[] {
    const { view } = context;
    const taken = new Set(inFlight.map((entry) => entry.instance));
    const left = new Set(row.remaining.map((each) => each.instance));
    const wanted = definition.instances.filter(({ name }) => left.has(name) && !taken.has(name));
    for (const { name } of wanted.filter((each) => !view.isUp(each.name))) {
      const subject = { kind: 'instance', name } as const;
      context.waits.note(subject, { type: 'instance-down', instance: name }, context.now);
    }
    const up = wanted.filter(({ name }) => view.isUp(name));
    return orderByScarcity(groupsOf(definition.byRack, up), view);
  }

  /** How many more groups may start now. */
  #room({ definition, row, inFlight }: PlanRound, context: RoundContext): number {
    const running = new Set(
      inFlight.map((entry) => this.#groupName(entry.instance, definition, context)),
    );
    const parallel = definition.maxParallel - running.size;
    if (definition.allowance === undefined) {
      return parallel;
    }
    const begun = row.total - row.remaining.length + inFlight.length;
    return Math.min(parallel, definition.allowance(row, context.wallMs) - begun);
  }

  #groupName(name: InstanceName, definition: PlanDefinition, { view }: RoundContext): string {
    return definition.byRack ? (view.instance(name)?.spec.rack ?? name) : name;
  }

  #roomReason(definition: PlanDefinition): WaitReason {
    return definition.allowance === undefined
      ? { type: 'parallel', limit: definition.maxParallel }
      : { type: 'pace' };
  }

  /** Another act on an instance must end first, except that a drained zone may be maintained. */
  #busyInstance(group: PlanGroup, { batch }: RoundContext): WaitReason | undefined {
    for (const { name, spec } of group.instances) {
      const other = batch
        .budget(spec.pool)
        .taken.find((entry) => entry.instance === name && blocksPlan(entry));
      if (other !== undefined) {
        return { type: 'instance-busy', instance: name, cause: other.cause };
      }
    }
    return undefined;
  }

  /** A wave that begins with nothing under way sets the level that failures are compared with. */
  #recordWave(
    definition: PlanDefinition,
    row: PlanRow,
    isQuiet: boolean,
    context: RoundContext,
  ): void {
    const current = failuresOf(definition, context);
    const failuresAtWave = isQuiet ? current : Math.min(current, row.failuresAtWave);
    context.batch.editPlan(definition.name, { ...row, wave: row.wave + 1, failuresAtWave });
  }

  /** Releases the units of disruptions that have not begun. */
  #giveBack(cause: Cause, context: RoundContext): void {
    for (const entry of context.ledger.plannedEntriesOf(context.role)) {
      if (entry.cause === cause && !this.#disruptions.hasStarted(entry, context.fence)) {
        context.batch.release(entry);
      }
    }
  }

  #note({ definition }: PlanRound, reason: WaitReason, { waits, now }: RoundContext): void {
    waits.note({ kind: 'plan', name: definition.name }, reason, now);
  }

  #noteInstances(group: PlanGroup, reason: WaitReason, { waits, now }: RoundContext): void {
    for (const name of namesOf(group.instances)) {
      waits.note({ kind: 'instance', name }, reason, now);
    }
    if (reason.type === 'budget' || reason.type === 'reserved') {
      for (const pool of poolsOf(group.instances)) {
        waits.note({ kind: 'pool', name: pool }, reason, now);
      }
    }
  }
}

function blocksPlan(entry: BudgetEntry): boolean {
  return entry.cause !== 'failure' && !entry.cause.startsWith('zone/');
}
