import { SeededRandom, type Millis } from '@turmerichoist/core';
import { TaskFleetSimulation } from '@turmerichoist/stand-ins';
import {
  POOL,
  allowancesOf,
  configurationOf,
  teamName,
  weightOf,
  type Deployment,
} from './deployments.js';
import { FirstComeFleet } from './first-come.js';
import { Workload, type MeasuredTask } from './workload.js';

/** Length of the run, of which the first part fills the fleet. */
const RUN_MS = 300_000;
const SAMPLE_MS = 1_000;
const MEAN_RUN_MS = 20_000;
/** Time for which a team bursts, one after the other; between bursts it sends a twentieth of its mean. */
const BURST_MS = 20_000;
/** Demand of a burst relative to the whole fleet. */
const BURST = 1.6;
const BASE = 0.35;
/** Use of the fleet from which it counts as full. */
const FULL = 0.8;

/** What both schedulers are driven by. */
export interface ShareSubject {
  submit(task: MeasuredTask): void;
  step(ms: Millis): void;
  /** Processors reserved for each team, by index. */
  used(): readonly number[];
  waiting(): readonly number[];
}

/** Distance of each team from its share, as a part of the fleet, over full periods. */
export interface ShareDistances {
  readonly worst: number;
  readonly mean: number;
  readonly samples: number;
  readonly used: number;
}

class DecidedFleet implements ShareSubject {
  readonly #fleet: TaskFleetSimulation;
  readonly #teams: number;

  constructor(deployment: Deployment) {
    const cfg = configurationOf(deployment);
    const allowances = allowancesOf(deployment);
    this.#teams = deployment.teams;
    this.#fleet = new TaskFleetSimulation({
      pool: POOL,
      cfg,
      allowances,
      stepMs: 100,
      reportMs: 500,
      lagMs: 2_000,
    });
  }

  submit({ spec }: MeasuredTask): void {
    this.#fleet.submit(spec);
  }

  step(ms: Millis): void {
    this.#fleet.step(ms);
    this.#fleet.decisions.length = 0;
    this.#fleet.log.length = 0;
    this.#fleet.answers.length = 0;
  }

  used(): readonly number[] {
    return this.#each((i) => {
      const why = this.#fleet.decider.explainTeam(teamName(i), this.#fleet.now);
      return (why?.rank ?? 0) * weightOf(i);
    });
  }

  waiting(): readonly number[] {
    return this.#each((i) => {
      const waiting = this.#fleet.decider.explainTeam(teamName(i), this.#fleet.now)?.waiting;
      return waiting === undefined ? 0 : waiting.urgent + waiting.normal + waiting.archive;
    });
  }

  #each(value: (i: number) => number): readonly number[] {
    return Array.from({ length: this.#teams }, (_, i) => value(i));
  }
}

/** Drives one scheduler with bursts in turn and samples who has what. */
function drive(subject: ShareSubject, deployment: Deployment, seed: number): ShareDistances {
  const random = new SeededRandom(seed);
  const workload = new Workload(random);
  const distances: number[] = [];
  let used = 0;
  let samples = 0;
  for (let now = 0; now < RUN_MS; now += SAMPLE_MS) {
    submitFor(subject, deployment, workload, random, now);
    subject.step(SAMPLE_MS);
    const parts = subject.used();
    const total = parts.reduce((sum, part) => sum + part, 0);
    used += total;
    samples += 1;
    const waiting = subject.waiting();
    if (total >= FULL && waiting.some((count) => count > 0)) {
      distances.push(...distancesOf(parts, waiting, total));
    }
  }
  return {
    worst: distances.reduce((most, distance) => Math.max(most, distance), 0),
    mean: distances.reduce((sum, distance) => sum + distance, 0) / Math.max(1, distances.length),
    samples: distances.length,
    used: used / samples,
  };
}

function submitFor(
  subject: ShareSubject,
  { workers, processors, teams }: Deployment,
  workload: Workload,
  random: SeededRandom,
  now: Millis,
): void {
  const weights = Array.from({ length: teams }, (_, i) => weightOf(i));
  const sum = weights.reduce((a, b) => a + b, 0);
  // A task holds 2.5 processors for 1.4 times the mean run time on average.
  const perSecond = (workers * processors) / 2.5 / ((MEAN_RUN_MS * 1.4) / SAMPLE_MS);
  const bursting = Math.floor(now / BURST_MS) % Math.min(teams, 6);
  for (let team = 0; team < teams; team += 1) {
    const part = (weights[team] ?? 1) / sum;
    const inGroup = team % Math.min(teams, 6) === bursting;
    const demand = inGroup ? BURST * perSecond * part * 6 : BASE * perSecond * part;
    const whole = Math.floor(demand);
    const count = whole + (random.next() < demand - whole ? 1 : 0);
    for (let i = 0; i < count; i += 1) {
      subject.submit(workload.task(team, 'normal', MEAN_RUN_MS));
    }
  }
}

/** Fair parts by weighted filling: a team without waiting work keeps what it has. */
function distancesOf(
  parts: readonly number[],
  waiting: readonly number[],
  total: number,
): readonly number[] {
  const fair = parts.map(() => 0);
  let open = parts.map((_, i) => i);
  let left = total;
  for (;;) {
    const weights = open.reduce((sum, i) => sum + weightOf(i), 0);
    const satisfied = open.filter((i) => {
      const part = (left * weightOf(i)) / weights;
      return waiting[i] === 0 && (parts[i] ?? 0) <= part;
    });
    if (satisfied.length === 0) {
      open.forEach((i) => (fair[i] = (left * weightOf(i)) / weights));
      break;
    }
    satisfied.forEach((i) => (fair[i] = parts[i] ?? 0));
    left -= satisfied.reduce((sum, i) => sum + (parts[i] ?? 0), 0);
    open = open.filter((i) => !satisfied.includes(i));
  }
  return parts.map((part, i) => Math.abs(part - (fair[i] ?? 0)) / total);
}

/** Measures the shares of the decider and of first come, first served, on the same work. */
export function measureShares(
  deployment: Deployment,
  seed: number,
): { readonly decider: ShareDistances; readonly firstCome: ShareDistances } {
  return {
    decider: drive(new DecidedFleet(deployment), deployment, seed),
    firstCome: drive(new FirstComeFleet(deployment), deployment, seed),
  };
}
