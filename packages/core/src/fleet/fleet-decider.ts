import type { Decider, InstanceName, Millis, PlanName, PoolName } from '../types/index.js';
import { BudgetLedger } from './budget-ledger.js';
import { OperatorRequests, recordFailures } from './bookkeeping.js';
import { Cordons, closedInstances } from './cordons.js';
import { Disruptions } from './disruptions.js';
import { FleetView, compareNames } from './fleet-view.js';
import { MaintenancePlanner } from './maintenance-planner.js';
import type { FleetDecision, FleetEvent, ZoneProgress } from './messages.js';
import { PoolMoves } from './pool-moves.js';
import type { PoolPlanner } from './pool-planner.js';
import { RowBatch } from './row-batch.js';
import type { RoundContext } from './round-context.js';
import type { Fence, FleetTransaction, PlanRow } from './rows.js';
import { WaitBook, type Wait, type WaitSubject } from './wait-reasons.js';
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
  readonly #waits = new WaitBook();
  readonly #zones = new ZoneController();
  readonly #requests = new OperatorRequests();
  readonly #cordons = new Cordons();
  readonly #disruptions: Disruptions;
  readonly #planner: MaintenancePlanner;
  readonly #moves: PoolMoves;
  readonly #owned = new Map<PoolName, Fence>();
  #nextId = 1;
  #rounds = 0;
  /** Difference of the wall clock from the monotonic clock at the last tick. */
  #wallOffset: Millis = 0;

  constructor(options: FleetOptions) {
    this.#disruptions = new Disruptions((entry, context) =>
      entry.cause === 'operator'
        ? this.#requests.holds(entry, context)
        : this.#zones.holds(entry, context),
    );
    const { cycleMs } = options;
    this.#planner = new MaintenancePlanner(
      this.#disruptions,
      cycleMs === undefined ? {} : { cycleMs },
    );
    this.#moves = new PoolMoves(options.poolPlanner);
  }

  handle(event: FleetEvent, now: Millis): readonly FleetDecision[] {
    return this.#apply(event, now) ? this.#round(now) : [];
  }

  /** What a plan, an instance or a pool waits for, and since when. */
  why(kind: WaitSubject['kind'], name: string): Wait | undefined {
    return this.#waits.find(kind, name);
  }

  /** False if no work may start on the instance, or it isn't known to be up. */
  mayStart(name: InstanceName): boolean {
    const instance = this.#view.instance(name);
    const isServing = instance !== undefined && this.#view.isUp(name);
    return isServing && !closedInstances(instance.spec.pool, this.#view, this.#ledger).has(name);
  }

  /** Availability zones of an owned pool that are leaving, out or returning. */
  zoneProgress(pool: PoolName): readonly ZoneProgress[] {
    return this.#zones.report({ ledger: this.#ledger, role: pool, view: this.#view });
  }

  planRow(plan: PlanName): PlanRow | undefined {
    return this.#ledger.plan(plan);
  }

  /** Applies an event. Returns true if decisions may follow before the next tick. */
  #apply(event: FleetEvent, now: Millis): boolean {
    switch (event.type) {
      case 'config-changed':
        this.#view.configure(event.cfg);
        return true;
      case 'instance-seen':
        this.#see(event);
        return false;
      case 'drain-finished':
        this.#disruptions.drainFinished(event.instance, event.fence);
        return false;
      case 'transaction-committed':
        this.#ledger.settle(event.id, event.rows);
        return true;
      case 'transaction-conflicted':
        // The next tick tries again. At once would make two owners, or a former one, race in a loop.
        this.#ledger.settle(event.id, event.rows);
        return false;
      case 'transaction-unknown':
        // The transaction stays open, so what it takes counts and its rows are not written.
        return false;
      case 'rows-read':
        this.#ledger.load(event.rows);
        return false;
      case 'demand':
        this.#moves.report(event.demand, now);
        return false;
      case 'operator-drain':
        this.#requests.request(event.instance, event.on);
        this.#requests.keepOnly((name) => this.#owns(name));
        return true;
      case 'ownership-gained':
        this.#ledger.load(event.rows);
        this.#lose(event.fence.role);
        this.#owned.set(event.fence.role, event.fence);
        return true;
      case 'ownership-lost':
        this.#lose(event.role);
        return true;
      case 'tick':
        this.#wallOffset = event.wallMs - now;
        this.#moves.retarget(this.#view, now);
        return true;
    }
  }

  #see(event: Extract<FleetEvent, { type: 'instance-seen' }>): void {
    const { instance, state, boot } = event;
    this.#view.see(instance, state !== 'down', boot);
    this.#disruptions.reportDraining(instance, event.draining ?? false);
    if (state === 'rebooted') {
      this.#cordons.forget(instance);
    }
  }

  #lose(role: PoolName): void {
    this.#owned.delete(role);
    this.#disruptions.forget(role);
    this.#zones.forget(role);
    this.#requests.keepOnly((name) => this.#owns(name));
  }

  #owns(instance: InstanceName): boolean {
    const pool = this.#view.instance(instance)?.spec.pool;
    return pool !== undefined && this.#owned.has(pool);
  }

  /** Plans for each owned role in turn. The first one differs from round to round. */
  #round(now: Millis): readonly FleetDecision[] {
    const fences = [...this.#owned.values()].sort((a, b) => compareNames(a.role, b.role));
    const first = fences.length === 0 ? 0 : this.#rounds % fences.length;
    this.#rounds += 1;
    const decisions = [...fences.slice(first), ...fences.slice(0, first)].flatMap((fence) =>
      this.#planRole(fence, now),
    );
    const waits = this.#waits.endRound().map((wait): FleetDecision => ({ type: 'wait', wait }));
    return [...decisions, ...waits];
  }

  #planRole(fence: Fence, now: Millis): readonly FleetDecision[] {
    const context = this.#context(fence, now);
    this.#planDisruptions(context);
    const sent = this.#send(context);
    const moved = sent.length > 0 ? [] : this.#planMoves(this.#context(fence, now));
    return [
      ...sent,
      ...moved,
      ...this.#disruptions.act(context),
      ...this.#cordons.update(fence, this.#view, this.#ledger),
    ];
  }

  /** What frees units goes first, then acts in the order of their urgency. */
  #planDisruptions(context: RoundContext): void {
    recordFailures(context);
    this.#zones.updateRamps(context);
    this.#disruptions.release(context);
    this.#requests.plan(context);
    this.#zones.takeDrains(context);
    this.#planner.plan(context);
  }

  /** Moves have transactions of their own: they also depend on the configuration's head. */
  #planMoves(context: RoundContext): readonly FleetDecision[] {
    this.#moves.plan(context);
    return this.#send(context);
  }

  #send({ batch }: RoundContext): readonly FleetDecision[] {
    const txn = batch.build(this.#nextId);
    if (txn === undefined) {
      return [];
    }
    this.#nextId += 1;
    this.#ledger.open(txn);
    return [decisionOf(txn)];
  }

  #context(fence: Fence, now: Millis): RoundContext {
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
