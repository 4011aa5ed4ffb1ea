import { Heap } from '../requests/heap.js';
import { NO_RESOURCES, add, scale } from '../tasks/resource-arithmetic.js';
import type { Resources } from '../tasks/model.js';
import type { Millis, TeamName } from '../types/index.js';
import type { Job, ReadyStep } from './job.js';
import type { JobId } from './model.js';
import { withShare, type JobOrdering, type RankedJob } from './ordering.js';
import { StartGroup, startGroupKey, type TaskNeed } from './start-group.js';
import type { TeamShares, WaitingWork } from './team-shares.js';
import { WaitingTotals } from './waiting-totals.js';

/**
 * Time after which all ranks are worked out anew. Estimates of durations change with each ended
 * task, and a rank that has become better shows at its job's next change or after this time.
 */
const RERANK_MS: Millis = 500;

interface RankedEntry {
  readonly ranked: RankedJob;
  readonly rankedAt: Millis;
  /** Order of arrival, which decides between jobs of equal rank. */
  readonly position: number;
}

type Candidate = Pick<RankedEntry, 'ranked' | 'position'>;

interface Member {
  readonly job: Job;
  readonly position: number;
  /** Its entry in the heap of its group; undefined while no task may start. Others are stale. */
  entry: RankedEntry | undefined;
}

interface Group {
  readonly key: string;
  readonly start: StartGroup;
  readonly heap: Heap<RankedEntry>;
}

/** A group of jobs with the one of them that is served first. */
export interface FirstOfGroup {
  readonly start: StartGroup;
  readonly job: Job;
}

/** The first job of a group. */
interface GroupHead {
  readonly group: Group;
  readonly entry: RankedEntry;
  /** Its rank among jobs of other teams. All jobs of a group are of one team. */
  readonly ranked: RankedJob;
}

interface DueTime {
  readonly at: Millis;
  readonly job: Job;
}

/**
 * Open jobs of one pool that have tasks to start, ranked by group. The ranking is kept between
 * rounds: a round looks at the jobs that have changed, at the first job of each group, and at those
 * that it takes.
 */
export class ReadyJobs {
  readonly #order: JobOrdering;
  readonly #isAdopted: (id: JobId) => boolean;
  readonly #members = new Map<JobId, Member>();
  readonly #groups = new Map<string, Group>();
  readonly #changed = new Set<Member>();
  readonly #dueTimes = new Heap<DueTime>((a, b) => a.at < b.at);
  readonly #totals = new WaitingTotals();
  #nextPosition = 0;
  #allRankedAt: Millis = -Infinity;

  constructor(order: JobOrdering, isAdopted: (id: JobId) => boolean) {
    this.#order = order;
    this.#isAdopted = isAdopted;
  }

  add(job: Job): void {
    const member = { job, position: this.#nextPosition, entry: undefined };
    this.#nextPosition += 1;
    this.#members.set(job.id, member);
    this.#changed.add(member);
    job.occurrences.forEach(({ dueAt }) => {
      this.#dueTimes.push({ at: dueAt, job });
    });
  }

  remove({ id }: Job): void {
    this.#members.delete(id);
    this.#totals.remove(id);
  }

  /**
   * What the pending tasks of finite steps need, by team. Leaves out adopted jobs, and groups without
   * a task that can run anywhere.
   */
  waiting(now: Millis, canRun: (need: TaskNeed) => boolean): ReadonlyMap<TeamName, WaitingWork> {
    this.#refresh(now);
    return this.#totals.byTeam(({ adopted, needs }) => !adopted && needs.some(canRun));
  }

  /** The tasks that a job may start have changed, or what its rank depends on. */
  markChanged({ id }: Job): void {
    const member = this.#members.get(id);
    if (member !== undefined) {
      this.#changed.add(member);
    }
  }

  /** Something has changed on which the ranks or groups of all jobs depend. */
  markAllChanged(): void {
    this.#allRankedAt = -Infinity;
  }

  /**
   * Yields jobs of groups that may start tasks, the first to be served first. The caller starts
   * tasks of a job before it asks for the next one. Without `shares`, no team is at its share.
   */
  *take(now: Millis, mayStart: (group: StartGroup) => boolean, shares?: TeamShares): Iterable<Job> {
    this.#refresh(now);
    const passed: GroupHead[] = [];
    try {
      const heads = this.#heads(now, mayStart, shares);
      for (let head = heads.pop(); head !== undefined; head = heads.pop()) {
        const { group, entry } = head;
        const { job } = entry.ranked;
        if (!mayStart(group.start)) {
          continue;
        }
        const current = shares === undefined ? head.ranked : withShare(head.ranked, shares);
        if (current !== head.ranked) {
          // Its team has come nearer to its share, and stays there: nothing ends within a round.
          heads.push({ ...head, ranked: current });
          continue;
        }
        group.heap.pop();
        passed.push(head);
        yield job;
        const exhausted = group.start.uniform && job.ready(now).length > 0;
        const next = exhausted ? undefined : this.#head(group, now, shares);
        if (next !== undefined) {
          heads.push(next);
        }
      }
    } finally {
      this.#putBack(passed);
    }
  }

  /** Yields each group with its first job as of the latest ranking, in no particular order. */
  *groups(): Iterable<FirstOfGroup> {
    for (const { start, heap } of this.#groups.values()) {
      let entry = heap.peek();
      while (entry !== undefined && this.#members.get(entry.ranked.job.id)?.entry !== entry) {
        heap.pop();
        entry = heap.peek();
      }
      if (entry !== undefined) {
        yield { start, job: entry.ranked.job };
      }
    }
  }

  /** Sorts jobs into the order in which they are served. */
  inServiceOrder(jobs: readonly Job[], now: Millis): readonly Job[] {
    return jobs
      .map((job) => ({
        ranked: this.#order.rank(job, now),
        rankedAt: now,
        position: this.#members.get(job.id)?.position ?? Infinity,
      }))
      .sort((a, b) => (this.#comesBefore(a, b) ? -1 : 1))
      .map(({ ranked }) => ranked.job);
  }

  #heads(
    now: Millis,
    mayStart: (group: StartGroup) => boolean,
    shares: TeamShares | undefined,
  ): Heap<GroupHead> {
    const heads = new Heap<GroupHead>((a, b) =>
      this.#comesBefore(
        { ranked: a.ranked, position: a.entry.position },
        { ranked: b.ranked, position: b.entry.position },
      ),
    );
    for (const group of this.#groups.values()) {
      const head = mayStart(group.start) ? this.#head(group, now, shares) : undefined;
      if (head !== undefined) {
        heads.push(head);
      }
    }
    return heads;
  }

  /** The first job of a group. Ranks get worse with time, so only the first one is ranked again. */
  #head(group: Group, now: Millis, shares: TeamShares | undefined): GroupHead | undefined {
    const { heap } = group;
    for (let entry = heap.peek(); entry !== undefined; entry = heap.peek()) {
      const member = this.#members.get(entry.ranked.job.id);
      if (member?.entry === entry && entry.rankedAt === now) {
        const { ranked } = entry;
        return { group, entry, ranked: shares === undefined ? ranked : withShare(ranked, shares) };
      }
      heap.pop();
      if (member?.entry === entry) {
        heap.push(this.#rank(member, now));
      }
    }
    this.#groups.delete(group.key);
    return undefined;
  }

  /** Jobs that have changed are ranked at the next refresh; the others keep their entries. */
  #putBack(passed: readonly GroupHead[]): void {
    for (const { group, entry } of passed) {
      const member = this.#members.get(entry.ranked.job.id);
      if (member?.entry === entry && !this.#changed.has(member)) {
        group.heap.push(entry);
        this.#groups.set(group.key, group);
      }
    }
  }

  #refresh(now: Millis): void {
    for (let due = this.#dueTimes.peek(); due !== undefined && due.at <= now;) {
      this.#dueTimes.pop();
      this.markChanged(due.job);
      due = this.#dueTimes.peek();
    }
    if (now - this.#allRankedAt >= RERANK_MS) {
      this.#allRankedAt = now;
      this.#groups.clear();
      for (const member of this.#members.values()) {
        if (member.entry !== undefined) {
          this.#changed.add(member);
        }
      }
    }
    this.#changed.forEach((member) => {
      this.#place(member, now);
    });
    this.#changed.clear();
  }

  #place(member: Member, now: Millis): void {
    const { job } = member;
    member.entry = undefined;
    this.#totals.remove(job.id);
    const steps = job.ready(now);
    const needs = steps.map(({ step }) => step.need);
    if (needs.length === 0 || this.#members.get(job.id) !== member) {
      return;
    }
    const adopted = this.#isAdopted(job.id);
    const key = startGroupKey(job.accepted.team, adopted, needs);
    const group = this.#groups.get(key) ?? {
      key,
      start: new StartGroup(adopted, needs),
      heap: new Heap<RankedEntry>((a, b) => this.#comesBefore(a, b)),
    };
    this.#groups.set(key, group);
    const entry = this.#rank(member, now);
    group.heap.push(entry);
    const { start } = group;
    const { team } = job.accepted;
    const worthless = entry.ranked.value === 'worthless';
    this.#totals.add(job.id, { key, start, team, worthless, need: finiteNeed(steps) });
  }

  #rank(member: Member, now: Millis): RankedEntry {
    const { job, position } = member;
    const entry = { ranked: this.#order.rank(job, now), rankedAt: now, position };
    member.entry = entry;
    return entry;
  }

  #comesBefore(a: Candidate, b: Candidate): boolean {
    return (this.#order.compare(a.ranked, b.ranked) || a.position - b.position) < 0;
  }
}

/** Capacity that the pending tasks of finite steps take. */
function finiteNeed(steps: readonly ReadyStep[]): Resources {
  return steps
    .filter(({ step }) => !step.spec.lasting)
    .reduce(
      (sum, { step }) => add(sum, scale(step.need.resources, step.pending.size)),
      NO_RESOURCES,
    );
}
