import type { Revision } from '../types/index.js';
import type { Resource } from './documents.js';
import type { ResourceKind, Specs } from './schemas.js';

/** One difference between two revisions of the configuration. */
export type Change =
  | { readonly op: 'put'; readonly resource: Resource }
  | { readonly op: 'delete'; readonly kind: ResourceKind; readonly name: string };

export type ResourceKey = `${ResourceKind}/${string}`;

export function resourceKey(kind: ResourceKind, name: string): ResourceKey {
  return `${kind}/${name}`;
}

/** Immutable set of all resources at one revision. */
export class Configuration {
  static readonly empty = new Configuration(0, new Map());

  readonly revision: Revision;
  readonly #resources: ReadonlyMap<ResourceKey, Resource>;

  private constructor(revision: Revision, resources: ReadonlyMap<ResourceKey, Resource>) {
    this.revision = revision;
    this.#resources = resources;
  }

  static of(revision: Revision, resources: Iterable<Resource>): Configuration {
    const entries = [...resources].map((r) => [resourceKey(r.kind, r.name), r] as const);
    return new Configuration(revision, new Map(entries));
  }

  /** Returns a new configuration at `revision` with `changes` applied. */
  with(revision: Revision, changes: readonly Change[]): Configuration {
    const next = new Map(this.#resources);
    for (const change of changes) {
      if (change.op === 'put') {
        next.set(resourceKey(change.resource.kind, change.resource.name), change.resource);
      } else {
        next.delete(resourceKey(change.kind, change.name));
      }
    }
    return new Configuration(revision, next);
  }

  get<K extends ResourceKind>(kind: K, name: string): Extract<Resource, { kind: K }> | undefined {
    return this.#resources.get(resourceKey(kind, name)) as
      Extract<Resource, { kind: K }> | undefined;
  }

  spec<K extends ResourceKind>(kind: K, name: string): Specs[K] | undefined {
    return this.get(kind, name)?.spec as Specs[K] | undefined;
  }

  list<K extends ResourceKind>(kind: K): readonly Extract<Resource, { kind: K }>[] {
    const found = [...this.#resources.values()].filter((resource) => resource.kind === kind);
    return found as Extract<Resource, { kind: K }>[];
  }

  all(): readonly Resource[] {
    return [...this.#resources.values()];
  }
}
