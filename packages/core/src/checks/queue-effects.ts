import { resourceOf, type ConfigurationDifference } from './differences.js';
import type { Effect, EffectContext, EffectRule } from './effect-rule.js';

const MESSAGES = {
  queue: 'requests of this queue are handled differently',
  pool: 'the size or the budgets of the pool behind this queue change',
  upstream: 'the upstreams of this queue change',
  zone: 'upstreams of this queue are in this zone',
} as const;

/** Names the queues whose requests a difference concerns. */
export class QueueEffects implements EffectRule {
  effects(difference: ConfigurationDifference, context: EffectContext): readonly Effect[] {
    if (difference.kind === 'queue') {
      return [
        { kind: 'queue', resource: resourceOf(difference), message: describeQueue(difference) },
      ];
    }
    const { kind } = difference;
    if (kind !== 'pool' && kind !== 'upstream' && kind !== 'zone') {
      return [];
    }
    const pools = new Set(poolsOf(difference, context));
    const queues = new Set([...pools].flatMap((pool) => context.queuesOfPool(pool)));
    return [...queues].map((queue) => {
      return { kind: 'queue', resource: `queue/${queue}`, message: MESSAGES[kind] };
    });
  }
}

function describeQueue({ op, field }: ConfigurationDifference): string {
  if (field.length > 0) {
    return MESSAGES.queue;
  }
  return op === 'added' ? 'callers can use a new queue' : 'requests get the error unknown-queue';
}

function poolsOf(difference: ConfigurationDifference, context: EffectContext): readonly string[] {
  const { kind, name } = difference;
  if (kind === 'pool') {
    return [name];
  }
  if (kind === 'zone') {
    return context.poolsInZone(name);
  }
  const sides = [context.before.spec('upstream', name), context.after.spec('upstream', name)];
  return sides.flatMap((spec) => (spec === undefined ? [] : [spec.pool]));
}
