import type { Configuration } from '../resources/index.js';
import { findDifferences, type ConfigurationDifference } from './differences.js';
import { EffectContext, type Effect, type EffectRule } from './effect-rule.js';
import { KeyEffects } from './key-effects.js';
import { PlanEffects } from './plan-effects.js';
import { QueueEffects } from './queue-effects.js';
import { RunningWorkEffects } from './running-work-effects.js';
import { TeamEffects } from './team-effects.js';

const EFFECT_RULES: readonly EffectRule[] = [
  new TeamEffects(),
  new QueueEffects(),
  new KeyEffects(),
  new RunningWorkEffects(),
  new PlanEffects(),
];

/** A difference with what it affects. */
export interface ExplainedDifference extends ConfigurationDifference {
  readonly effects: readonly Effect[];
}

/** Returns the differences between two configurations, each with what it affects. */
export function explainDifferences(
  before: Configuration,
  after: Configuration,
): readonly ExplainedDifference[] {
  const context = new EffectContext(before, after);
  return findDifferences(before, after).map((difference) => {
    const effects = EFFECT_RULES.flatMap((rule) => rule.effects(difference, context));
    return { ...difference, effects };
  });
}
