import { createHash } from 'node:crypto';
import { ManualClock, type JobDecision, type Millis } from '@turmerichoist/core';
import { newDecider } from './decider-simulation.js';
import { FleetRecording, type TimedEvent } from './fleet-recording.js';
import type { FleetSize } from './workload.js';

const MICROS_PER_MS = 1_000;
const DIGEST_LENGTH = 16;

/** Cost of the job decider on one recording. */
export interface JobDecisionTime {
  readonly events: number;
  readonly starts: number;
  readonly completedJobs: number;
  readonly microsPerEvent: number;
  readonly microsPerStart: number;
  /** Processor time of the decider, as a fraction of a core. */
  readonly core: number;
  /** Digest of all decisions: equal if two versions decide the same. */
  readonly decisions: string;
}

/** Records the events of a simulated fleet, then measures a decider that handles them again. */
export function measureJobDecisions(
  size: FleetSize,
  seed: number,
  forMs: Millis,
  cpuMillis: () => Millis,
): JobDecisionTime {
  const recording = new FleetRecording(size, seed);
  recording.run(forMs);
  const startedAt = cpuMillis();
  const decisions = replay(recording.events);
  const spentMs = cpuMillis() - startedAt;
  const starts = decisions.filter(({ type }) => type === 'start').length;
  const events = recording.events.length;
  const endsAt = recording.events.at(-1)?.at ?? forMs;
  return {
    events,
    starts,
    completedJobs: decisions.filter(isCompletion).length,
    microsPerEvent: (spentMs * MICROS_PER_MS) / Math.max(1, events),
    microsPerStart: (spentMs * MICROS_PER_MS) / Math.max(1, starts),
    core: spentMs / endsAt,
    decisions: digestOf(decisions),
  };
}

function replay(events: readonly TimedEvent[]): readonly JobDecision[] {
  const clock = new ManualClock();
  const decider = newDecider(clock);
  const decisions: JobDecision[] = [];
  for (const { at, event } of events) {
    clock.advance(at - clock.now());
    decisions.push(...decider.handle(event, at));
  }
  return decisions;
}

function isCompletion(decision: JobDecision): boolean {
  return decision.type === 'persist' && decision.progress.state === 'completed';
}

function digestOf(decisions: readonly JobDecision[]): string {
  const hash = createHash('sha256');
  decisions.forEach((decision) => hash.update(JSON.stringify(decision)));
  return hash.digest('hex').slice(0, DIGEST_LENGTH);
}
