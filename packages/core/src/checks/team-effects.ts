import { resourceOf, type ConfigurationDifference } from './differences.js';
import type { Effect, EffectRule } from './effect-rule.js';

/** Names the team whose weight, limits or keys differ. */
export class TeamEffects implements EffectRule {
  effects(difference: ConfigurationDifference): readonly Effect[] {
    if (difference.kind !== 'team') {
      return [];
    }
    return [{ kind: 'team', resource: resourceOf(difference), message: describe(difference) }];
  }
}

function describe({ op, field }: ConfigurationDifference): string {
  if (field.length === 0) {
    return op === 'added'
      ? 'a new team takes part in the sharing of capacity'
      : 'the team can send nothing any more, and the others share its capacity';
  }
  switch (field[1]) {
    case 'share':
      return 'the shares of this team and, while capacity is scarce, of all others change';
    case 'limit':
      return 'the team may run another amount at once';
    default:
      return 'the keys of the team change';
  }
}
