import { resourceOf, type ConfigurationDifference } from './differences.js';
import type { Effect, EffectRule } from './effect-rule.js';

const REQUESTS = 'requests over it run to their end, and no other starts until usage is below it';
const TASKS = 'tasks over it keep running, and no other starts until usage is below it';

/** Numeric fields that limit running work, by kind, and what happens to work over a lower value. */
const LIMITS: Readonly<Record<string, Readonly<Record<string, string>>>> = {
  team: {
    'spec.limit.requests': REQUESTS,
    'spec.limit.processors': TASKS,
    'spec.limit.memoryMb': TASKS,
    'spec.limit.accelerators': TASKS,
  },
  upstream: { 'spec.slots': REQUESTS, 'spec.connections': REQUESTS },
};

/** Reports limits that become lower, so that running work may be over the new limit. */
export class RunningWorkEffects implements EffectRule {
  effects(difference: ConfigurationDifference): readonly Effect[] {
    const { before, after, kind, field } = difference;
    const consequence = LIMITS[kind]?.[field.join('.')];
    if (typeof before !== 'number' || typeof after !== 'number' || after >= before) {
      return [];
    }
    if (consequence === undefined) {
      return [];
    }
    const message = `up to ${before - after} of ${before} may run over the new limit ${after}: ${consequence}`;
    return [{ kind: 'running-work', resource: resourceOf(difference), message }];
  }
}
