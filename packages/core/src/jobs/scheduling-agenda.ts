import { Heap } from '../requests/heap.js';
import type { Millis, PoolName, TeamName } from '../types/index.js';

interface WakeUp {
  readonly at: Millis;
  readonly pool: PoolName;
}

/**
 * Pools in which a task may be able to start since their last scheduling round. A round starts all
 * tasks that can start, so another one has no effect before something changes or becomes due.
 */
export class SchedulingAgenda {
  readonly #marked = new Set<PoolName>();
  #allMarked = true;
  readonly #wakeUps = new Heap<WakeUp>((a, b) => a.at < b.at);
  /** Pools with tasks that the cap of a team held back, by team. */
  readonly #heldByCap = new Map<TeamName, Set<PoolName>>();

  /** Something has changed in a pool that may allow a start. */
  mark(pool: PoolName): void {
    this.#marked.add(pool);
  }

  markAll(): void {
    this.#allMarked = true;
  }

  /** Something in a pool changes at a monotonic time: a backoff ends, an occurrence is due. */
  wakeAt(pool: PoolName, at: Millis): void {
    this.#wakeUps.push({ at, pool });
  }

  /** A task of a pool was held back by its team's cap. */
  heldByCap(team: TeamName, pool: PoolName): void {
    const pools = this.#heldByCap.get(team) ?? new Set<PoolName>();
    this.#heldByCap.set(team, pools.add(pool));
  }

  /** The usage of a team has decreased. */
  usageDecreased(team: TeamName): void {
    this.#heldByCap.get(team)?.forEach((pool) => this.#marked.add(pool));
    this.#heldByCap.delete(team);
  }

  /** What counts towards the caps of all teams may have decreased. */
  allUsageDecreased(): void {
    [...this.#heldByCap.keys()].forEach((team) => {
      this.usageDecreased(team);
    });
  }

  /** Whether a pool may need a scheduling round now. */
  isDue(now: Millis): boolean {
    const next = this.#wakeUps.peek();
    return this.#allMarked || this.#marked.size > 0 || (next !== undefined && next.at <= now);
  }

  /** Returns those of the pools that need a scheduling round now, and clears all marks. */
  takeDue(pools: Iterable<PoolName>, now: Millis): readonly PoolName[] {
    for (let next = this.#wakeUps.peek(); next !== undefined && next.at <= now;) {
      this.#wakeUps.pop();
      this.#marked.add(next.pool);
      next = this.#wakeUps.peek();
    }
    if (!this.isDue(now)) {
      return [];
    }
    const due = [...pools].filter((pool) => this.#allMarked || this.#marked.has(pool));
    this.#marked.clear();
    this.#allMarked = false;
    return due;
  }
}
