import {
  ExpectedStarts,
  SeededRandom,
  decideAdmission,
  type AcceptedJob,
  type AdmissionRefusal,
  type Millis,
  type QueuePolicy,
  type TeamPolicy,
} from '../../src/index.js';
import { criticalPathMs } from '../../src/jobs/critical-path.js';
import { executor, job, POLICY, step } from './job-fixtures.js';
import { JobWorld } from './job-world.js';

const STEP_MS: Millis = 10;
const PUBLISH_MS: Millis = 350;
/** Age of the leader's read of the jobs at publication, and of that at a member. */
const READ_AGE_MS: Millis = 150;
const MEMBER_AGE_MS: Millis = 300;
/** From acceptance to the arrival at the leader. */
const FEED_MS: Millis = 150;
const EXECUTORS = 8;
const PROCESSORS = 16;
const MEMBERS = 6;
const VALUE_FACTOR = 3;
const NO_LIMIT = { processors: 0, memoryMb: 0, accelerators: 0 };

/** Submission of one job, and what became of it. */
export interface Submission {
  readonly job: AcceptedJob;
  readonly at: Millis;
  /** Processor-milliseconds. */
  readonly work: number;
  readonly refusal: AdmissionRefusal | undefined;
  readonly member: number;
}

export interface OverloadOptions {
  readonly seed: number;
  readonly admission: boolean;
  /** Teams with their part of the demand. */
  readonly demand: ReadonlyMap<string, number>;
  /** Number of members that get no publications for a time. */
  readonly outdatedMembers?: number;
  readonly outdatedFrom?: Millis;
  readonly outdatedUntil?: Millis;
}

/** A cell whose members refuse what could not end with any value, on a virtual clock. */
export class OverloadWorld {
  readonly cell: JobWorld;
  readonly submissions: Submission[] = [];
  readonly #options: OverloadOptions;
  readonly #random: SeededRandom;
  readonly #members = Array.from({ length: MEMBERS }, () => new ExpectedStarts());
  #feed: { readonly at: Millis; readonly job: AcceptedJob }[] = [];
  #publications: { readonly at: Millis; readonly apply: () => void }[] = [];
  #nextPublishAt = 0;
  #configured: unknown;

  constructor(options: OverloadOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    const capacity = { processors: PROCESSORS, memoryMb: 64_000, accelerators: 0 };
    const infos = Array.from({ length: EXECUTORS }, (_, n) => executor(`e${n}`, { capacity }));
    this.cell = new JobWorld(infos, options.seed);
  }

  get now(): Millis {
    return this.cell.now;
  }

  /** Runs with a demand of this many times the capacity. */
  run(forMs: Millis, load: number): void {
    const end = this.now + forMs;
    let due = 0;
    while (this.now < end) {
      due += load * this.capacity * STEP_MS;
      while (due > 0) {
        due -= this.#submit();
      }
      this.#configure();
      this.#publish();
      this.#deliver();
      this.cell.run(STEP_MS);
    }
  }

  /** Processors of the cell. */
  get capacity(): number {
    return EXECUTORS * PROCESSORS;
  }

  isCompleted({ job: { id } }: Submission): boolean {
    return this.cell.progress.get(id)?.state === 'completed';
  }

  /** Whether a submitted job was completed while it had value. */
  isUseful({ job: { id, policy, spec }, at }: Submission): boolean {
    const { state, endedWallMs = 0 } = this.cell.progress.get(id) ?? {};
    const objectiveMs = policy.slackFactor * criticalPathMs(spec.steps) + policy.targetLatencyMs;
    const limit = at + VALUE_FACTOR * objectiveMs;
    return state === 'completed' && endedWallMs <= limit;
  }

  /** Processor-milliseconds per millisecond of jobs that ended with value in a period. */
  usefulRate(from: Millis, until: Millis): number {
    const useful = this.submissions.filter((one) => {
      const endedAt = this.cell.progress.get(one.job.id)?.endedWallMs ?? 0;
      return this.isUseful(one) && endedAt >= from && endedAt < until;
    });
    return useful.reduce((sum, { work }) => sum + work, 0) / (until - from);
  }

  #submit(): number {
    const submitted = this.#newJob();
    const number = this.#random.nextInt(MEMBERS);
    const member = this.#members[number] ?? new ExpectedStarts();
    const { queue, team, spec, policy } = submitted;
    const expected = member.startOf(queue, team, spec, this.now);
    const decision = decideAdmission(spec, policy, expected, this.#random.next());
    const refusal = decision.type === 'refuse' && this.#options.admission ? decision : undefined;
    const work = spec.steps.reduce(
      (sum, { taskCount, resources, estimateMs }) =>
        sum + taskCount * resources.processors * estimateMs,
      0,
    );
    this.submissions.push({
      job: submitted,
      at: this.now,
      work,
      refusal,
      member: number,
    });
    if (refusal === undefined) {
      member.recordAccepted(queue, team, spec, this.now);
      this.#feed.push({ at: this.now + FEED_MS, job: submitted });
    }
    return work;
  }

  #newJob(): AcceptedJob {
    const tasks = 1 + Math.floor(12 * this.#random.next() ** 4);
    const processors = 1 + this.#random.nextInt(4);
    const resources = { processors, memoryMb: 100, accelerators: 0 };
    const estimateMs = 150 + this.#random.nextInt(500);
    const steps = [step({ taskCount: tasks, resources, estimateMs })];
    if (this.#random.next() < 0.4) {
      steps.push(step({ taskCount: 1, resources, estimateMs, after: [0] }));
    }
    const id = `job-${this.submissions.length}`;
    const acceptedWallMs = this.cell.clock.wall();
    return { ...job(id, steps), team: this.#pickTeam(), acceptedWallMs };
  }

  #pickTeam(): string {
    const { demand } = this.#options;
    let point = this.#random.next() * [...demand.values()].reduce((a, b) => a + b, 0);
    for (const [team, part] of demand) {
      point -= part;
      if (point <= 0) {
        return team;
      }
    }
    return '';
  }

  /** Tells each new leader the configuration. */
  #configure(): void {
    const { term } = this.cell;
    if (term !== undefined && this.#configured !== term) {
      this.#configured = term;
      const queues = new Map<string, QueuePolicy>([['q1', POLICY]]);
      const teams = new Map<string, TeamPolicy>(
        [...this.#options.demand.keys()].map((name) => [name, { name, weight: 1, cap: NO_LIMIT }]),
      );
      this.cell.deliver(term, { type: 'config', config: { queues, pools: new Map(), teams } });
    }
  }

  #publish(): void {
    const { term, now } = this.cell;
    if (now < this.#nextPublishAt || term === undefined) {
      return;
    }
    this.#nextPublishAt = now + PUBLISH_MS;
    const lanes = term.decider.workAhead;
    const readAt = now - READ_AGE_MS - MEMBER_AGE_MS;
    const apply = (): void => {
      this.#members.slice(this.#outdatedMembers).forEach((member) => {
        if (lanes === undefined) {
          member.clear();
        } else {
          member.apply(lanes, readAt);
        }
      });
    };
    this.#publications.push({ at: now + MEMBER_AGE_MS, apply });
  }

  get #outdatedMembers(): number {
    const { outdatedMembers = 0, outdatedFrom = 0, outdatedUntil = 0 } = this.#options;
    return this.now >= outdatedFrom && this.now < outdatedUntil ? outdatedMembers : 0;
  }

  #deliver(): void {
    const { now } = this.cell;
    this.#feed
      .filter(({ at }) => at <= now)
      .forEach((one) => {
        this.cell.submit(one.job);
      });
    this.#feed = this.#feed.filter(({ at }) => at > now);
    this.#publications
      .filter(({ at }) => at <= now)
      .forEach(({ apply }) => {
        apply();
      });
    this.#publications = this.#publications.filter(({ at }) => at > now);
  }
}
