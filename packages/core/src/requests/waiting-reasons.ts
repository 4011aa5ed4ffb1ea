import type { Millis, TeamName } from '../types/index.js';
import { WORK_CLASSES } from '../types/index.js';
import { type Admission, OPEN_TEAM } from './admission.js';
import type { Lane } from './lane.js';
import type { WaitingReason } from './messages.js';
import type { Scheduler } from './scheduler.js';

/** Why work of the team waits, for each queue in which it does. */
export function waitingReasons(
  team: TeamName,
  scheduler: Scheduler,
  admission: Admission,
  now: Millis,
): readonly WaitingReason[] {
  const limit = admission.limitOf(team);
  return scheduler.lanes
    .filter((lane) => lane.waitingOf(team) > 0)
    .map((lane) => ({
      queue: lane.queue,
      waiting: lane.waitingOf(team),
      reason: reasonOf(team, lane, scheduler, admission, now),
      units: scheduler.limiter.units(team, now),
      running: scheduler.limiter.running(team),
      ...estimate(team, lane, limit),
    }));
}

function reasonOf(
  team: TeamName,
  lane: Lane,
  scheduler: Scheduler,
  admission: Admission,
  now: Millis,
): WaitingReason['reason'] {
  if (team !== OPEN_TEAM && !admission.fresh(now)) {
    return 'config-stale';
  }
  if (!scheduler.executorsOf(lane).some((each) => each.inService)) {
    return 'no-upstream';
  }
  if (scheduler.mayRun(team, now)) {
    return 'upstreams-busy';
  }
  return scheduler.limiter.valid(now) ? 'team-units' : 'grants-expired';
}

function estimate(team: TeamName, lane: Lane, limit: number): { estimatedMs?: Millis } {
  const waits = WORK_CLASSES.map((workClass) => lane.estimatedWait(team, workClass, limit) ?? 0);
  const estimatedMs = Math.max(...waits);
  return estimatedMs > 0 ? { estimatedMs } : {};
}
