import type { Decider, InstanceName, Millis, PlanName, PoolName } from '../types/index.js';
import { BudgetLedger } from './budget-ledger.js';
import { OperatorRequests, recordFailures } from './budget-row-updates.js';
import { Cordons, cordonedInstances } from './cordons.js';
import { Disruptions } from './disruptions.js';
import { FleetView, compareNames } from './fleet-view.js';
import { MaintenancePlanner } from './maintenance-planner.js';
import type { FleetDecision, FleetEvent, ZoneProgress } from './messages.js';
import { PoolMoves } from './pool-moves.js';
import type { PoolPlanner } from './pool-planner.js';
import { RowBatch } from './row-batch.js';
import type { RoundContext } from './round-context.js';
import type { OwnerFence, FleetTransaction, PlanRow } from './rows.js';
import { WaitTracker, type Wait, type WaitSubject } from './wait-reasons.js';
import { ZoneController } from './zone-controller.js';

export interface FleetOptions {
  readonly poolPlanner: PoolPlanner;
  /** Cycle of the continuous maintenance of every pool, in milliseconds; none if undefined. */
  readonly cycleMs?: Millis;
}

/** Decides on budgets, moves, maintenance and availability zones for the pools that it owns. */
export class FleetDecider implements Decider<FleetEvent, FleetDecision> {
  readonly #view = new FleetView();
  readonly #ledger = new BudgetLedger(this.#view);
  readonly #waits = new WaitTracker();
  readonly #zones = new ZoneController();
  readonly #requests = new OperatorRequests();
  readonly #cordons = new Cordons();
  readonly #disruptions: Disruptions;
  readonly #planner: MaintenancePlanner;
  readonly #moves: PoolMoves;
  readonly #ownedFences = new Map<PoolName, OwnerFence>();
  #nextTransactionId = 1;
  #roundCount = 0;
  /** Wall clock minus monotonic clock at the last tick. */
  #wallOffset: Millis = 0;

  constructor(options: FleetOptions) {
    this.#disruptions = new Disruptions((entry, context) =>
      entry.cause === 'operator'
        ? this.#requests.holdReason(entry, context)
        : this.#zones.holdReason(entry, context),
    );
    const { cycleMs } = options;
    this.#planner = new MaintenancePlanner(
      this.#disruptions,
      cycleMs === undefined ? {} : { cycleMs },
    );
    this.#moves = new PoolMoves(options.poolPlanner);
  }

  handle(event: FleetEvent, now: Millis): readonly FleetDecision[] {
    return this.#apply(event, now) ? this.#planRound(now) : [];
  }

  /** Returns what a plan, an instance or a pool waits for, and since when. */
  why(kind: WaitSubject['kind'], name: string): Wait | undefined {
    return this.#waits.find(kind, name);
  }

  /** True if the instance is known to be up and work may start on it. */
  isSchedulable(name: InstanceName): boolean {
    const instance = this.#view.instance(name);
    const isServing = instance !== undefined && this.#view.isUp(name);
    return isServing && !cordonedInstances(instance.spec.pool, this.#view, this.#ledger).has(name);
  }

  /** Availability zones of an owned pool that are leaving, out or returning. */
  zoneProgress(pool: PoolName): readonly ZoneProgress[] {
    return this.#zones.report({ ledger: this.#ledger, role: pool, view: this.#view });
  }

  planRow(plan: PlanName): PlanRow | undefined {
    return this.#ledger.plan(plan);
  }

  /** Applies an event. Returns true if a planning round must follow before the next tick. */
  #apply(event: FleetEvent, now: Millis): boolean {
    switch (event.type) {
      case 'config-changed':
        this.#view.configure(event.cfg);
        return true;
      case 'instance-seen':
        this.#recordInstanceState(event);
        return false;
      case 'drain-finished':
        this.#disruptions.recordDrainFinished(event.instance, event.fence);
        return false;
      case 'transaction-committed':
        this.#ledger.settle(event.id, event.rows);
        return true;
      case 'transaction-conflicted':
        // Retried at the next tick. With immediate retries, two owners, or an owner and a former
        // one, could conflict in a loop.
        this.#ledger.settle(event.id, event.rows);
        return false;
      case 'transaction-unknown':
        // The transaction stays in flight: its units count as taken, and its rows are not edited.
        return false;
      case 'rows-read':
        this.#ledger.load(event.rows);
        return false;
      case 'demand':
        this.#moves.recordDemand(event.demand, now);
        return false;
      case 'operator-drain':
        this.#requests.request(event.instance, event.on);
        this.#requests.retain((name) => this.#owns(name));
        return true;
      case 'ownership-gained':
        this.#ledger.load(event.rows);
        this.#dropRole(event.fence.role);
        this.#ownedFences.set(event.fence.role, event.fence);
        return true;
      case 'ownership-lost':
        this.#dropRole(event.role);
        return true;
      case 'tick':
        this.#wallOffset = event.wallMs - now;
        this.#moves.updateTargets(this.#view, now);
        return true;
    }
  }

  #recordInstanceState(event: Extract<FleetEvent, { type: 'instance-seen' }>): void {
    const { instance, state, boot } = event;
    this.#view.recordState(instance, state !== 'down', boot);
    this.#disruptions.recordReportedDraining(instance, event.draining ?? false);
    if (state === 'rebooted') {
      this.#cordons.forget(instance);
    }
  }

  #dropRole(role: PoolName): void {
    this.#ownedFences.delete(role);
    this.#disruptions.forget(role);
    this.#zones.forget(role);
    this.#requests.retain((name) => this.#owns(name));
  }

  #owns(instance: InstanceName): boolean {
    const pool = this.#view.instance(instance)?.spec.pool;
    return pool !== undefined && this.#ownedFences.has(pool);
  }

  /** Plans each owned role in turn. The role that goes first rotates. */
  #planRound(now: Millis): readonly FleetDecision[] {
    const fences = [...this.#ownedFences.values()].sort((a, b) => compareNames(a.role, b.role));
    const first = fences.length === 0 ? 0 : this.#roundCount % fences.length;
    this.#roundCount += 1;
    const decisions = [...fences.slice(first), ...fences.slice(0, first)].flatMap((fence) =>
      this.#planRole(fence, now),
    );
    const waits = this.#waits.endRound().map((wait): FleetDecision => ({ type: 'wait', wait }));
    return [...decisions, ...waits];
  }

  #planRole(fence: OwnerFence, now: Millis): readonly FleetDecision[] {
    const context = this.#newContext(fence, now);
    this.#planDisruptions(context);
    const sent = this.#submit(context);
    const moved = sent.length > 0 ? [] : this.#planMoves(this.#newContext(fence, now));
    return [
      ...sent,
      ...moved,
      ...this.#disruptions.advance(context),
      ...this.#cordons.update(fence, this.#view, this.#ledger),
    ];
  }

  /** Releases units first, then acquires them in order of urgency. */
  #planDisruptions(context: RoundContext): void {
    recordFailures(context);
    this.#zones.updateRamps(context);
    this.#disruptions.release(context);
    this.#requests.plan(context);
    this.#zones.acquireDrains(context);
    this.#planner.plan(context);
  }

  /** Moves use separate transactions, which also depend on the configuration's head revision. */
  #planMoves(context: RoundContext): readonly FleetDecision[] {
    this.#moves.plan(context);
    return this.#submit(context);
  }

  #submit({ batch }: RoundContext): readonly FleetDecision[] {
    const txn = batch.build(this.#nextTransactionId);
    if (txn === undefined) {
      return [];
    }
    this.#nextTransactionId += 1;
    this.#ledger.open(txn);
    return [decisionOf(txn)];
  }

  #newContext(fence: OwnerFence, now: Millis): RoundContext {
    return {
      now,
      wallMs: now + this.#wallOffset,
      role: fence.role,
      fence,
      view: this.#view,
      ledger: this.#ledger,
      batch: new RowBatch(this.#view, this.#ledger, fence),
      waits: this.#waits,
    };
  }
}

function decisionOf(txn: FleetTransaction): FleetDecision {
  if (txn.poolChanges.length > 0) {
    return { type: 'move-instances', txn };
  }
  const isProgress = txn.writes.every((write) => write.kind === 'plan-state');
  return isProgress ? { type: 'record-progress', txn } : { type: 'change-budget', txn };
}
