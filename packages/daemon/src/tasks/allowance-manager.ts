import type { Condition, JsonValue, Row, TableStore } from '@turmerichoist/coordination';
import {
  NO_RESOURCES,
  planAllowance,
  sameResources,
  type Configuration,
  type PoolName,
  type Resources,
  type TeamName,
} from '@turmerichoist/core';
import { z } from 'zod';

const KEY_PREFIX = 'task-quota/';

const amount = z.int().min(0);
const rowBody = z.object({
  parts: z.record(
    z.string(),
    z.object({ processors: amount, memoryMb: amount, accelerators: amount }),
  ),
});

/** Resources that a team uses in the pool, and whether it has waiting tasks. */
export interface TeamUsage {
  readonly charged: Resources;
  readonly waits: boolean;
}

export interface AllowanceManagerOptions {
  readonly pool: PoolName;
  readonly store: TableStore;
  /** Condition on the row of the pool's owner. Every write is fenced by it. */
  readonly owner: Condition;
  readonly newId: () => string;
}

export type ChargesByTeam = ReadonlyMap<TeamName, Resources>;

interface PlannedPart {
  readonly row: Row;
  readonly part: Resources;
}

/**
 * Maintains this pool's parts of the teams' resource limits. A raised part is used only after its
 * row is written, and a lowered part is given up before its row is written.
 */
export class AllowanceManager {
  readonly #options: AllowanceManagerOptions;
  #parts: ReadonlyMap<TeamName, Resources> = new Map();

  constructor(options: AllowanceManagerOptions) {
    this.#options = options;
  }

  /**
   * Adjusts the parts to the usage of each team. Before a row is written, `lowerAllowances` applies
   * the smaller of the old and the new part and returns the charges under it. Thus no task starts
   * under a part that is about to shrink, and no part shrinks below the resources in use.
   */
  async adjust(
    cfg: Configuration,
    use: ReadonlyMap<TeamName, TeamUsage>,
    lowerAllowances: (parts: ReadonlyMap<TeamName, Resources>) => Promise<ChargesByTeam>,
    signal: AbortSignal,
  ): Promise<ReadonlyMap<TeamName, Resources>> {
    const teams = cfg.list('team').filter(({ name }) => this.#needsAdjustment(name, use));
    const keys = teams.map(({ name }) => `${KEY_PREFIX}${name}`);
    const read = await this.#options.store.read(keys, signal);
    if (read.isErr()) {
      return this.#parts;
    }
    const rows = new Map(read.value.map((row) => [row.key, row]));
    for (const { name, spec } of teams) {
      const key = `${KEY_PREFIX}${name}`;
      const row = rows.get(key) ?? { key, version: 0, value: null };
      const first = this.#planPart(row, spec.limit, use.get(name));
      const charges = await lowerAllowances(
        new Map([...this.#parts, [name, minResources(this.#part(name), first.part)]]),
      );
      const waits = use.get(name)?.waits ?? false;
      const charged = charges.get(name) ?? NO_RESOURCES;
      await this.#writePart(name, this.#planPart(row, spec.limit, { charged, waits }), signal);
    }
    return this.#parts;
  }

  #needsAdjustment(team: TeamName, use: ReadonlyMap<TeamName, TeamUsage>): boolean {
    const held = !sameResources(this.#part(team), NO_RESOURCES);
    return held || use.has(team) || !this.#parts.has(team);
  }

  #part(team: TeamName): Resources {
    return this.#parts.get(team) ?? NO_RESOURCES;
  }

  #planPart(row: Row, limit: Resources, use: TeamUsage | undefined): PlannedPart {
    const { pool } = this.#options;
    const charged = use?.charged ?? NO_RESOURCES;
    const wanted = use?.waits === true ? limit : charged;
    return { row, part: planAllowance(decodeParts(row), limit, { pool, charged, demand: wanted }) };
  }

  async #writePart(team: TeamName, { row, part }: PlannedPart, signal: AbortSignal): Promise<void> {
    const { pool, store, owner, newId } = this.#options;
    const stored = decodeParts(row).get(pool) ?? NO_RESOURCES;
    if (sameResources(stored, part)) {
      this.#setPart(team, part);
      return;
    }
    const parts = Object.fromEntries(new Map([...decodeParts(row), [pool, part]]));
    const conditions = [owner, { key: row.key, version: row.version }];
    const writes = [{ key: row.key, value: { parts } as unknown as JsonValue }];
    const written = await store.commit({ txnId: newId(), conditions, writes }, signal);
    const committed = written.isOk() && written.value.committed;
    this.#setPart(team, committed ? part : minResources(stored, part));
  }

  #setPart(team: TeamName, part: Resources): void {
    this.#parts = new Map([...this.#parts, [team, part]]);
  }
}

function decodeParts(row: Row): ReadonlyMap<PoolName, Resources> {
  const parsed = rowBody.safeParse(row.value);
  return new Map(Object.entries(parsed.success ? parsed.data.parts : {}));
}

function minResources(a: Resources, b: Resources): Resources {
  return {
    processors: Math.min(a.processors, b.processors),
    memoryMb: Math.min(a.memoryMb, b.memoryMb),
    accelerators: Math.min(a.accelerators, b.accelerators),
  };
}
