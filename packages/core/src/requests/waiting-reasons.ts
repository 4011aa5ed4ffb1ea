import type { Millis, TeamName } from '../types/index.js';
import { WORK_CLASSES } from '../types/index.js';
import { type Admission, OPEN_TEAM } from './admission.js';
import type { QueueState } from './queue-state.js';
import type { WaitingReason } from './messages.js';
import type { Scheduler } from './scheduler.js';

/** Why requests of the team wait, for each queue in which some do. */
export function waitingReasons(
  team: TeamName,
  scheduler: Scheduler,
  admission: Admission,
  now: Millis,
): readonly WaitingReason[] {
  const limit = admission.limitOf(team);
  return scheduler.queues.all
    .filter((queue) => queue.waitingOf(team) > 0)
    .map((queue) => ({
      queue: queue.name,
      waiting: queue.waitingOf(team),
      reason: waitingReason(team, queue, scheduler, admission, now),
      units: scheduler.limiter.grantedUnits(team, now),
      running: scheduler.limiter.running(team),
      ...estimate(team, queue, limit),
    }));
}

function waitingReason(
  team: TeamName,
  queue: QueueState,
  scheduler: Scheduler,
  admission: Admission,
  now: Millis,
): WaitingReason['reason'] {
  if (team !== OPEN_TEAM && !admission.isFresh(now)) {
    return 'config-stale';
  }
  if (!scheduler.executorsOf(queue).some((each) => each.inService)) {
    return 'no-upstream';
  }
  if (scheduler.mayRun(team, now)) {
    return 'upstreams-busy';
  }
  return scheduler.limiter.grantsValid(now) ? 'team-units' : 'grants-expired';
}

function estimate(team: TeamName, queue: QueueState, limit: number): { estimatedMs?: Millis } {
  const estimates = WORK_CLASSES.map(
    (workClass) => queue.estimatedWait(team, workClass, limit) ?? 0,
  );
  const estimatedMs = Math.max(...estimates);
  return estimatedMs > 0 ? { estimatedMs } : {};
}
