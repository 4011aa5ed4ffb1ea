import { SeededRandom, type Millis } from '@turmerichoist/core';
import type { TaskFleetSimulation } from '@turmerichoist/stand-ins';
import { teamName, weightOf, type Deployment } from './deployments.js';
import { FirstComeFleet } from './first-come.js';
import type { SimulatedScheduler } from './simulated-scheduler.js';
import { SAMPLED_FLEET_TIMING, simulateFleet } from './simulated-fleet.js';
import { Workload, type WorkloadTask } from './workload.js';

/** Length of the run, including the time in which the fleet fills. */
const RUN_MS = 300_000;
const SAMPLE_MS = 1_000;
const MEAN_RUN_MS = 20_000;
/** Time for which each group of teams bursts, one group after the other. */
const BURST_TURN_MS = 20_000;
/** Demand of a bursting group relative to the whole fleet, on average over the groups. */
const BURST_LOAD = 1.6;
/** Demand of a team between its bursts, relative to its weighted share of the fleet. */
const QUIET_LOAD = 0.35;
/** Fraction of the fleet in use from which it counts as full. */
const FULL_FRACTION = 0.8;

/**
 * Distance of each team from its fair share, as a fraction of the allocated resources. Only samples
 * with a full fleet and waiting tasks count.
 */
export interface ShareDistances {
  readonly worst: number;
  readonly mean: number;
  readonly samples: number;
  readonly used: number;
}

class DeciderFleet implements SimulatedScheduler {
  readonly #fleet: TaskFleetSimulation;
  readonly #teams: number;

  constructor(deployment: Deployment) {
    this.#teams = deployment.teams;
    this.#fleet = simulateFleet(deployment, SAMPLED_FLEET_TIMING);
  }

  submit({ spec }: WorkloadTask): void {
    this.#fleet.submit(spec);
  }

  step(ms: Millis): void {
    this.#fleet.step(ms);
    this.#fleet.decisions.length = 0;
    this.#fleet.log.length = 0;
    this.#fleet.answers.length = 0;
  }

  dominantShares(): readonly number[] {
    return this.#byTeam((i) => {
      const explanation = this.#fleet.decider.explainTeam(teamName(i), this.#fleet.now);
      return (explanation?.rank ?? 0) * weightOf(i);
    });
  }

  waitingCounts(): readonly number[] {
    return this.#byTeam((i) => {
      const waiting = this.#fleet.decider.explainTeam(teamName(i), this.#fleet.now)?.waiting;
      return waiting === undefined ? 0 : waiting.urgent + waiting.normal + waiting.archive;
    });
  }

  #byTeam(value: (i: number) => number): readonly number[] {
    return Array.from({ length: this.#teams }, (_, i) => value(i));
  }
}

/** Submits bursts of one group of teams after the other, and samples the share of each team. */
function measureDistances(
  scheduler: SimulatedScheduler,
  deployment: Deployment,
  seed: number,
): ShareDistances {
  const random = new SeededRandom(seed);
  const workload = new Workload(random);
  const distances: number[] = [];
  let used = 0;
  let samples = 0;
  for (let now = 0; now < RUN_MS; now += SAMPLE_MS) {
    submitArrivals(scheduler, deployment, workload, random, now);
    scheduler.step(SAMPLE_MS);
    const shares = scheduler.dominantShares();
    const total = shares.reduce((sum, part) => sum + part, 0);
    used += total;
    samples += 1;
    const waiting = scheduler.waitingCounts();
    if (total >= FULL_FRACTION && waiting.some((count) => count > 0)) {
      distances.push(...distancesFromFairShares(shares, waiting, total));
    }
  }
  return {
    worst: distances.reduce((most, distance) => Math.max(most, distance), 0),
    mean: distances.reduce((sum, distance) => sum + distance, 0) / Math.max(1, distances.length),
    samples: distances.length,
    used: used / samples,
  };
}

function submitArrivals(
  scheduler: SimulatedScheduler,
  { workers, processors, teams }: Deployment,
  workload: Workload,
  random: SeededRandom,
  now: Millis,
): void {
  const weights = Array.from({ length: teams }, (_, i) => weightOf(i));
  const sum = weights.reduce((a, b) => a + b, 0);
  // A task holds 2.5 processors for 1.4 times the mean run time on average.
  const fleetRate = (workers * processors) / 2.5 / ((MEAN_RUN_MS * 1.4) / SAMPLE_MS);
  const burstingGroup = Math.floor(now / BURST_TURN_MS) % Math.min(teams, 6);
  for (let team = 0; team < teams; team += 1) {
    const weightFraction = (weights[team] ?? 1) / sum;
    const isBursting = team % Math.min(teams, 6) === burstingGroup;
    const demand = isBursting
      ? BURST_LOAD * fleetRate * weightFraction * 6
      : QUIET_LOAD * fleetRate * weightFraction;
    const whole = Math.floor(demand);
    const count = whole + (random.next() < demand - whole ? 1 : 0);
    for (let i = 0; i < count; i += 1) {
      scheduler.submit(workload.drawTask(team, 'normal', MEAN_RUN_MS));
    }
  }
}

/**
 * Distance of each team from its weighted max-min fair share. A team that has no waiting tasks and
 * holds less than its fair share keeps what it holds; the rest is divided among the others.
 */
function distancesFromFairShares(
  shares: readonly number[],
  waiting: readonly number[],
  total: number,
): readonly number[] {
  const fair = shares.map(() => 0);
  let unassigned = shares.map((_, i) => i);
  let remaining = total;
  for (;;) {
    const weights = unassigned.reduce((sum, i) => sum + weightOf(i), 0);
    const satisfied = unassigned.filter((i) => {
      const fairShare = (remaining * weightOf(i)) / weights;
      return waiting[i] === 0 && (shares[i] ?? 0) <= fairShare;
    });
    if (satisfied.length === 0) {
      unassigned.forEach((i) => (fair[i] = (remaining * weightOf(i)) / weights));
      break;
    }
    satisfied.forEach((i) => (fair[i] = shares[i] ?? 0));
    remaining -= satisfied.reduce((sum, i) => sum + (shares[i] ?? 0), 0);
    unassigned = unassigned.filter((i) => !satisfied.includes(i));
  }
  return shares.map((part, i) => Math.abs(part - (fair[i] ?? 0)) / total);
}

/** Compares the decider with first-come, first-served scheduling on the same workload. */
export function measureShares(
  deployment: Deployment,
  seed: number,
): { readonly decider: ShareDistances; readonly firstCome: ShareDistances } {
  return {
    decider: measureDistances(new DeciderFleet(deployment), deployment, seed),
    firstCome: measureDistances(new FirstComeFleet(deployment), deployment, seed),
  };
}
