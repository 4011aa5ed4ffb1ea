import type { Resources } from '../tasks/model.js';
import type { TeamName } from '../types/index.js';
import { footprint, type StepSpec } from './model.js';

/** What a task of a step needs on an executor. */
export interface TaskNeed {
  /** Capacity that it takes. */
  readonly resources: Resources;
  /** Empty for none. */
  readonly requiredLabel: string;
  /** Whether it depends on other tasks of the step where one can start. */
  readonly dependsOnOthers: boolean;
  readonly lasting: boolean;
  /** Equal for tasks that need the same. */
  readonly key: string;
}

export function taskNeed(spec: StepSpec): TaskNeed {
  const { gang, maxPerExecutor, requiredLabel, fills, lasting } = spec;
  const { processors, memoryMb, accelerators } = spec.resources;
  const dependsOnOthers = gang || maxPerExecutor > 0;
  return {
    resources: footprint(spec),
    requiredLabel,
    dependsOnOthers,
    lasting,
    key: `${processors}/${memoryMb}/${accelerators}/${fills}/${lasting}/${dependsOnOthers}/${requiredLabel}`,
  };
}

/** What jobs have in common that compete for the same capacity under the same cap. */
export class StartGroup {
  /** Tasks of an earlier owner may run, so that they wait until all its runs are known. */
  readonly adopted: boolean;
  /** What the tasks need that may start. */
  readonly needs: readonly TaskNeed[];
  /** Whether no job of the group can start a task when one of them could not start all of its own. */
  readonly uniform: boolean;

  constructor(adopted: boolean, needs: readonly TaskNeed[]) {
    this.adopted = adopted;
    this.needs = needs;
    this.uniform = needs.every((need) => need.key === needs[0]?.key && !need.dependsOnOthers);
  }
}

/** Key of the group of a team's job with these needs. */
export function startGroupKey(
  team: TeamName,
  adopted: boolean,
  needs: readonly TaskNeed[],
): string {
  let key = `${team}|${adopted}`;
  let last = '';
  for (const need of needs) {
    // Occurrences of the same steps make no difference.
    if (need.key !== last) {
      key += `|${need.key}`;
      last = need.key;
    }
  }
  return key;
}
