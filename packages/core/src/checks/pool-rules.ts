import { groupBy } from '../fleet/fleet-view.js';
import type { Configuration, PoolSpec } from '../resources/index.js';
import { warning, type ConfigurationRule } from './configuration-rule.js';
import type { Finding } from './finding.js';

/** Reports pools that no queue names and whose instances no task can use. */
export class UnusedPoolRule implements ConfigurationRule {
  readonly id = 'pool-unused';

  check(cfg: Configuration): readonly Finding[] {
    const queued = new Set(cfg.list('queue').map(({ spec }) => spec.pool));
    const withWorkers = new Set(cfg.list('instance').map(({ spec }) => spec.pool));
    return cfg
      .list('pool')
      .filter(({ name, spec }) => !queued.has(name) && !withWorkers.has(name) && !spec.spare)
      .map(({ name }) =>
        warning({
          rule: this.id,
          resource: `pool/${name}`,
          field: ['name'],
          message: 'no queue names this pool, and it has no instance that could run tasks',
          nextStep: 'Name the pool in a queue, declare its instances, or delete it.',
        }),
      );
  }
}

/** Reports pools whose declared size differs from the members that are declared for it. */
export class PoolSizeRule implements ConfigurationRule {
  readonly id = 'pool-size';

  check(cfg: Configuration): readonly Finding[] {
    const instances = groupBy(cfg.list('instance'), ({ spec }) => spec.pool);
    const upstreams = groupBy(cfg.list('upstream'), ({ spec }) => spec.pool);
    return cfg.list('pool').flatMap(({ name, spec }) => {
      const counts = [instances.get(name)?.length ?? 0, upstreams.get(name)?.length ?? 0];
      const message = sizeProblem(spec.size, counts);
      return message === undefined ? [] : [this.#finding(name, message)];
    });
  }

  #finding(name: string, message: string): Finding {
    return warning({
      rule: this.id,
      resource: `pool/${name}`,
      field: ['spec', 'size'],
      message,
      nextStep: 'Correct size, or declare or delete members of the pool.',
    });
  }
}

/** An upstream may run on a declared instance or elsewhere, so both ways of counting are allowed. */
function sizeProblem(size: number, counts: readonly number[]): string | undefined {
  const least = Math.max(...counts);
  const most = counts.reduce((sum, count) => sum + count, 0);
  if (size < least) {
    return `the pool has ${least} members, more than its size ${size}`;
  }
  return size > most ? `the size is ${size}, but the pool has only ${most} members` : undefined;
}

/** Reports pools whose availability budget lets all instances be unavailable at once. */
export class WholePoolBudgetRule implements ConfigurationRule {
  readonly id = 'budget-whole-pool';

  check(cfg: Configuration): readonly Finding[] {
    return cfg
      .list('pool')
      .filter(({ spec }) => spec.size > 1 && spec.budget.maxUnavailable >= spec.size)
      .map(({ name, spec }) =>
        warning({
          rule: this.id,
          resource: `pool/${name}`,
          field: ['spec', 'budget', 'maxUnavailable'],
          message: `all ${spec.size} instances may be unavailable at once`,
          nextStep: 'Lower maxUnavailable below size.',
        }),
      );
  }
}

/** Reports zone budgets that are larger than the budget of their pool, which applies first. */
export class ZoneBudgetRule implements ConfigurationRule {
  readonly id = 'zone-budget-over-pool';

  check(cfg: Configuration): readonly Finding[] {
    return cfg.list('pool').flatMap(({ name, spec }) => this.#checkPool(name, spec));
  }

  #checkPool(name: string, { budget, zoneBudgets }: PoolSpec): readonly Finding[] {
    return zoneBudgets.flatMap(({ zone, maxUnavailable }, index) =>
      maxUnavailable <= budget.maxUnavailable
        ? []
        : [
            warning({
              rule: this.id,
              resource: `pool/${name}`,
              field: ['spec', 'zoneBudgets', index, 'maxUnavailable'],
              message: `zone ${zone} may lose ${maxUnavailable}, but the pool only ${budget.maxUnavailable}`,
              nextStep: 'Lower the budget of the zone, or raise the budget of the pool.',
            }),
          ],
    );
  }
}
