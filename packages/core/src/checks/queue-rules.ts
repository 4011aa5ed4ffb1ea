import type { Configuration, QueueSpec, UpstreamSpec } from '../resources/index.js';
import type { Millis } from '../types/index.js';
import { warning, type ConfigurationRule } from './configuration-rule.js';
import type { Finding } from './finding.js';

/** A request crosses two links, to the entry and to the upstream, and the answer both again. */
const MIN_DEADLINE_MS: Millis = 10;

/** Reports closed queues for which no team has a valid key. */
export class UnreachableQueueRule implements ConfigurationRule {
  readonly id = 'queue-unreachable';

  check(cfg: Configuration): readonly Finding[] {
    const hasKey = cfg
      .list('team')
      .some((team) => team.spec.keys.some(({ withdrawn }) => !withdrawn));
    if (hasKey) {
      return [];
    }
    return cfg
      .list('queue')
      .filter(({ spec }) => !spec.open)
      .map(({ name }) =>
        warning({
          rule: this.id,
          resource: `queue/${name}`,
          field: ['spec', 'open'],
          message: 'no caller can reach this queue: it requires a key, and no team has a valid one',
          nextStep: 'Add a key to a team, or set `open: true`.',
        }),
      );
  }
}

/** Reports queues whose pool has no upstream in service. */
export class QueueWithoutUpstreamRule implements ConfigurationRule {
  readonly id = 'queue-without-upstream';

  check(cfg: Configuration): readonly Finding[] {
    const declared = new Set(cfg.list('upstream').map(({ spec }) => spec.pool));
    const served = new Set(
      cfg
        .list('upstream')
        .filter(({ spec }) => isInService(spec, cfg))
        .map(({ spec }) => spec.pool),
    );
    return cfg
      .list('queue')
      .filter(({ spec }) => !served.has(spec.pool))
      .map(({ name, spec }) => this.#finding(name, spec, declared.has(spec.pool)));
  }

  #finding(name: string, spec: QueueSpec, isDeclared: boolean): Finding {
    const reason = isDeclared ? 'are leaving or in zones out of service' : 'do not exist';
    return warning({
      rule: this.id,
      resource: `queue/${name}`,
      field: ['spec', 'pool'],
      message: `every request is refused: the upstreams of pool/${spec.pool} ${reason}`,
      nextStep: 'Declare an upstream of this pool, or name another pool.',
    });
  }
}

function isInService(spec: UpstreamSpec, cfg: Configuration): boolean {
  return !spec.leaving && cfg.spec('zone', spec.zone)?.state !== 'out';
}

/** Reports queues whose time limit is shorter than the way of a request to its upstream. */
export class ShortDeadlineRule implements ConfigurationRule {
  readonly id = 'deadline-too-short';

  check(cfg: Configuration): readonly Finding[] {
    return cfg
      .list('queue')
      .filter(({ spec }) => spec.maxDeadlineMs < MIN_DEADLINE_MS)
      .map(({ name, spec }) =>
        warning({
          rule: this.id,
          resource: `queue/${name}`,
          field: ['spec', 'maxDeadlineMs'],
          message: `no request ends within ${spec.maxDeadlineMs} ms; the least is ${MIN_DEADLINE_MS}`,
          nextStep: 'Raise maxDeadlineMs. Its unit is milliseconds.',
        }),
      );
  }
}
