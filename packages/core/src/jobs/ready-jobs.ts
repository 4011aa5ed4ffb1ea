import { Heap } from '../requests/heap.js';
import type { Millis } from '../types/index.js';
import type { Job } from './job.js';
import type { JobId } from './model.js';
import type { JobOrdering, RankedJob } from './ordering.js';
import { StartGroup, startGroupKey } from './start-group.js';

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

interface GroupHead {
  readonly group: Group;
  readonly entry: RankedEntry;
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
   * tasks of a job before it asks for the next one.
   */
  *take(now: Millis, mayStart: (group: StartGroup) => boolean): Iterable<Job> {
    this.#refresh(now);
    const passed: GroupHead[] = [];
    try {
      const heads = this.#heads(now, mayStart);
      for (let head = heads.pop(); head !== undefined; head = heads.pop()) {
        const { group, entry } = head;
        const { job } = entry.ranked;
        if (!mayStart(group.start)) {
          continue;
        }
        group.heap.pop();
        passed.push(head);
        yield job;
        const exhausted = group.start.uniform && job.ready(now).length > 0;
        const next = exhausted ? undefined : this.#head(group, now);
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

  #heads(now: Millis, mayStart: (group: StartGroup) => boolean): Heap<GroupHead> {
    const heads = new Heap<GroupHead>((a, b) => this.#comesBefore(a.entry, b.entry));
    for (const group of this.#groups.values()) {
      const head = mayStart(group.start) ? this.#head(group, now) : undefined;
      if (head !== undefined) {
        heads.push(head);
      }
    }
    return heads;
  }

  /** The first job of a group. Ranks get worse with time, so only the first one is ranked again. */
  #head(group: Group, now: Millis): GroupHead | undefined {
    const { heap } = group;
    for (let entry = heap.peek(); entry !== undefined; entry = heap.peek()) {
      const member = this.#members.get(entry.ranked.job.id);
      if (member?.entry === entry && entry.rankedAt === now) {
        return { group, entry };
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
    const needs = job.ready(now).map(({ step }) => step.need);
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
    group.heap.push(this.#rank(member, now));
  }

  #rank(member: Member, now: Millis): RankedEntry {
    const { job, position } = member;
    const entry = { ranked: this.#order.rank(job, now), rankedAt: now, position };
    member.entry = entry;
    return entry;
  }

  #comesBefore(a: RankedEntry, b: RankedEntry): boolean {
    return (this.#order.compare(a.ranked, b.ranked) || a.position - b.position) < 0;
  }
}
