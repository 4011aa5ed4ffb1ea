import microdiff from 'microdiff';
import {
  resourceKey,
  type Configuration,
  type FieldPath,
  type Resource,
  type ResourceKind,
} from '../resources/index.js';

/** One field, or one whole resource, that two configurations have differently. */
export interface ConfigurationDifference {
  readonly op: 'added' | 'removed' | 'changed';
  readonly kind: ResourceKind;
  readonly name: string;
  /**
   * Path of the field; empty for a whole resource. Keys are named by their id and zone budgets by
   * their zone, in place of an index.
   */
  readonly field: FieldPath;
  /** Value of the field or spec, absent when it was added. */
  readonly before?: unknown;
  /** Value of the field or spec, absent when it was removed. */
  readonly after?: unknown;
}

/**
 * Returns the differences between two configurations, in the order of `before` and then of `after`.
 * Versions are not compared, since each change of a resource raises its version.
 */
export function findDifferences(
  before: Configuration,
  after: Configuration,
): readonly ConfigurationDifference[] {
  const known = before.all().flatMap((resource) => {
    const next = after.get(resource.kind, resource.name);
    return next === undefined ? [whole('removed', resource)] : changedFields(resource, next);
  });
  const added = after
    .all()
    .filter(({ kind, name }) => before.get(kind, name) === undefined)
    .map((resource) => whole('added', resource));
  return [...known, ...added];
}

/** Name of the resource that differs, as `kind/name`. */
export function resourceOf({ kind, name }: ConfigurationDifference): string {
  return resourceKey(kind, name);
}

function whole(op: 'added' | 'removed', { kind, name, spec }: Resource): ConfigurationDifference {
  const value = op === 'added' ? { after: spec } : { before: spec };
  return { op, kind, name, field: [], ...value };
}

function changedFields(before: Resource, after: Resource): readonly ConfigurationDifference[] {
  const { kind, name } = before;
  return microdiff(comparable(before), comparable(after)).map((difference) => {
    const place = { kind, name, field: difference.path };
    switch (difference.type) {
      case 'CREATE':
        return { op: 'added', ...place, after: difference.value as unknown };
      case 'REMOVE':
        return { op: 'removed', ...place, before: difference.oldValue as unknown };
      case 'CHANGE':
        return {
          op: 'changed',
          ...place,
          before: difference.oldValue as unknown,
          after: difference.value as unknown,
        };
    }
  });
}

type Fields = Record<string, unknown>;

/** Replaces lists whose elements have names by objects, so that a moved element is no difference. */
function comparable(resource: Resource): Fields {
  const spec: Fields = { ...resource.spec };
  if (resource.kind === 'team') {
    spec.keys = byName(resource.spec.keys, ({ id }) => id);
  }
  if (resource.kind === 'pool') {
    spec.zoneBudgets = byName(resource.spec.zoneBudgets, ({ zone }) => zone);
  }
  return { spec: withoutPrototype(spec) };
}

/** Returns the list itself if a name is repeated, so that no element is lost. */
function byName<T>(items: readonly T[], nameOf: (item: T) => string): Fields | readonly T[] {
  const entries = new Map(items.map((item) => [nameOf(item), item]));
  return entries.size === items.length ? Object.fromEntries(entries) : items;
}

/** The comparison looks names up with `in`, which also finds inherited ones such as `toString`. */
function withoutPrototype(value: unknown): Fields {
  const copy = Object.create(null) as Fields;
  for (const [name, field] of Object.entries(value as Fields)) {
    const isObject = typeof field === 'object' && field !== null && !Array.isArray(field);
    copy[name] = isObject ? withoutPrototype(field) : field;
  }
  return copy;
}
