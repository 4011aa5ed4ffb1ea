import { Configuration } from '../resources/index.js';
import type { InstanceName, Millis, PlanName } from '../types/index.js';
import type { Disruptions } from './disruptions.js';
import { compareNames } from './fleet-view.js';
import { cyclePlan, declaredPlan, leaderOf, type PlanDefinition } from './plan-definition.js';
import { groupsOf, namesOf, orderByScarcity, poolsOf, type PlanGroup } from './plan-groups.js';
import { stoppingFailureRise, countFailures, initialRow, refreshedRow } from './plan-progress.js';
import { isInWindow } from './maintenance-window.js';
import { reserveIfStarved, dropStaleReservations } from './plan-reservations.js';
import type { RoundContext } from './round-context.js';
import type { BudgetEntry, Cause, PlanRow } from './rows.js';
import type { FleetWaitReason } from './wait-reasons.js';

export interface MaintenanceOptions {
  /** Cycle of the continuous maintenance of every pool, in milliseconds; none if undefined. */
  readonly cycleMs?: Millis;
}

/** State of one plan during one planning round. */
interface PlanRound {
  readonly definition: PlanDefinition;
  readonly cause: Cause;
  readonly row: PlanRow;
  readonly inFlight: readonly BudgetEntry[];
}

/** Decides which groups of each maintenance plan to take down next, within the budgets. */
export class MaintenancePlanner {
  readonly #options: MaintenanceOptions;
  readonly #disruptions: Disruptions;
  /** Plans that were stopped by a rise in failures and have not resumed. */
  readonly #stoppedByFailures = new Set<PlanName>();
  /** Time since which each group has lacked budget, by cause and group name. */
  readonly #budgetShortSince = new Map<string, Millis>();
  readonly #definitions = new Map<PlanName, PlanDefinition>();
  #definitionsCfg = Configuration.empty;

  constructor(disruptions: Disruptions, options: MaintenanceOptions) {
    this.#disruptions = disruptions;
    this.#options = options;
  }

  /** Plans every maintenance plan that the role leads. Declared plans precede the pool's cycle. */
  plan(context: RoundContext): void {
    for (const name of this.#declaredNames(context)) {
      const definition = this.#definition(name, context);
      if (definition === undefined) {
        this.#cleanUpDeleted(name, context);
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

  /** Cached for each configuration, since building a definition scans every instance. */
  #definition(name: PlanName, { view }: RoundContext): PlanDefinition | undefined {
    if (this.#definitionsCfg !== view.cfg) {
      this.#definitionsCfg = view.cfg;
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

  /** Removes the state of a deleted plan, except units of disruptions that have started. */
  #cleanUpDeleted(name: PlanName, context: RoundContext): void {
    if (context.ledger.plan(name)?.role !== context.role) {
      return;
    }
    this.#releaseUnstarted(`plan/${name}`, context);
    dropStaleReservations(`plan/${name}`, [], context);
    context.batch.editPlan(name, null);
  }

  #planOne(definition: PlanDefinition, context: RoundContext): void {
    if (!context.batch.canEdit(`plan-state/${definition.name}`)) {
      const reason = { type: 'transaction', pool: context.role } as const;
      context.waits.record({ kind: 'plan', name: definition.name }, reason, context.now);
      return;
    }
    const round = this.#refresh(definition, context);
    const reason = this.#stopReason(round, context);
    if (definition.state === 'aborted') {
      this.#releaseUnstarted(round.cause, context);
    }
    if (reason === undefined) {
      this.#startGroups(round, context);
    } else {
      dropStaleReservations(round.cause, [], context);
      this.#notePlan(round, reason, context);
    }
  }

  #refresh(definition: PlanDefinition, context: RoundContext): PlanRound {
    const { batch } = context;
    const { name } = definition;
    const stored = batch.plan(name);
    const row =
      stored === undefined
        ? initialRow(definition, context)
        : refreshedRow(stored, definition, context);
    if (row !== stored) {
      batch.editPlan(name, row);
    }
    const cause = `plan/${name}` as const;
    const inFlight = context.ledger
      .plannedEntriesTakenBy(context.role)
      .filter((entry) => entry.cause === cause);
    return { definition, cause, row, inFlight };
  }

  /** Returns why the plan may not start any group now, or undefined if it may. */
  #stopReason(round: PlanRound, context: RoundContext): FleetWaitReason | undefined {
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
    return this.#failureStopReason(round, context);
  }

  /**
   * A stopped plan resumes when half of the rise in failures is over. Waiting for the end of every
   * failure would stop a plan for ever in a fleet where some instance is always failed.
   */
  #failureStopReason(
    { definition, row, inFlight }: PlanRound,
    context: RoundContext,
  ): FleetWaitReason | undefined {
    const overdue = inFlight.filter((entry) => this.#disruptions.isOverdue(entry, context.now));
    const current = countFailures(definition, context) + overdue.length;
    const atWave = row.failuresAtWave;
    const rise = stoppingFailureRise(definition, context);
    const limit = this.#stoppedByFailures.has(definition.name) ? Math.floor(rise / 2) : rise - 1;
    if (current <= atWave + limit) {
      this.#stoppedByFailures.delete(definition.name);
      return undefined;
    }
    this.#stoppedByFailures.add(definition.name);
    return { type: 'failures', atWave, current };
  }

  #startGroups(round: PlanRound, context: RoundContext): void {
    const { definition, row, cause } = round;
    const waiting = this.#waitingGroups(round, context);
    dropStaleReservations(cause, waiting, context);
    let started = 0;
    let capacity = this.#startCapacity(round, context);
    for (const group of waiting) {
      const reason = this.#startGroup(group, round, capacity, context);
      if (reason === undefined) {
        started += group.instances.length;
        capacity -= 1;
      } else {
        this.#notePlan(round, reason, context);
        this.#noteInstances(group, reason, context);
      }
    }
    if (started > 0) {
      this.#recordWave(definition, row, round.inFlight.length === 0, context);
    } else if (round.inFlight[0] !== undefined) {
      this.#notePlan(round, { type: 'drain', instance: round.inFlight[0].instance }, context);
    }
  }

  #startGroup(
    group: PlanGroup,
    round: PlanRound,
    capacity: number,
    context: RoundContext,
  ): FleetWaitReason | undefined {
    const { cause, definition } = round;
    if (capacity <= 0) {
      return this.#startCapacityReason(definition);
    }
    const busy = this.#busyReason(group, context);
    if (busy !== undefined) {
      return busy;
    }
    const key = `${cause} ${group.name}`;
    const reason = context.batch.tryAcquire({
      instances: group.instances,
      cause,
      group: group.name,
    });
    if (reason === undefined) {
      this.#budgetShortSince.delete(key);
      return undefined;
    }
    const since = this.#budgetShortSince.get(key) ?? context.now;
    this.#budgetShortSince.set(key, since);
    reserveIfStarved({ group, cause, since }, context);
    return reason;
  }

  /** Groups of remaining instances that are up and that the plan hasn't taken, in start order. */
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
      context.waits.record(subject, { type: 'instance-down', instance: name }, context.now);
    }
    const up = wanted.filter(({ name }) => view.isUp(name));
    return orderByScarcity(groupsOf(definition.byRack, up), view);
  }

  /** Number of further groups that may start now. */
  #startCapacity({ definition, row, inFlight }: PlanRound, context: RoundContext): number {
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

  #startCapacityReason(definition: PlanDefinition): FleetWaitReason {
    return definition.allowance === undefined
      ? { type: 'parallel', limit: definition.maxParallel }
      : { type: 'pace' };
  }

  /** Other disruptions of an instance must end first, but a drained zone may be maintained. */
  #busyReason(group: PlanGroup, { batch }: RoundContext): FleetWaitReason | undefined {
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

  /** A wave that begins with nothing in flight resets the baseline of the failure count. */
  #recordWave(
    definition: PlanDefinition,
    row: PlanRow,
    isIdle: boolean,
    context: RoundContext,
  ): void {
    const current = countFailures(definition, context);
    const failuresAtWave = isIdle ? current : Math.min(current, row.failuresAtWave);
    context.batch.editPlan(definition.name, { ...row, wave: row.wave + 1, failuresAtWave });
  }

  /** Releases the units of disruptions that have not started. */
  #releaseUnstarted(cause: Cause, context: RoundContext): void {
    for (const entry of context.ledger.plannedEntriesTakenBy(context.role)) {
      if (entry.cause === cause && !this.#disruptions.hasStarted(entry, context.fence)) {
        context.batch.release(entry);
      }
    }
  }

  #notePlan(
    { definition }: PlanRound,
    reason: FleetWaitReason,
    { waits, now }: RoundContext,
  ): void {
    waits.record({ kind: 'plan', name: definition.name }, reason, now);
  }

  #noteInstances(group: PlanGroup, reason: FleetWaitReason, { waits, now }: RoundContext): void {
    for (const name of namesOf(group.instances)) {
      waits.record({ kind: 'instance', name }, reason, now);
    }
    if (reason.type === 'budget' || reason.type === 'reserved') {
      for (const pool of poolsOf(group.instances)) {
        waits.record({ kind: 'pool', name: pool }, reason, now);
      }
    }
  }
}

function blocksPlan(entry: BudgetEntry): boolean {
  return entry.cause !== 'failure' && !entry.cause.startsWith('zone/');
}
