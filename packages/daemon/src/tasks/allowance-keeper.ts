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

const PREFIX = 'task-quota/';

const amount = z.int().min(0);
const rowBody = z.object({
  parts: z.record(
    z.string(),
    z.object({ processors: amount, memoryMb: amount, accelerators: amount }),
  ),
});

export interface TeamUse {
  readonly charged: Resources;
  readonly waits: boolean;
}

export interface AllowanceKeeperOptions {
  readonly pool: PoolName;
  readonly store: TableStore;
  /** The owner's row, which every write has as a condition. */
  readonly owner: Condition;
  readonly newId: () => string;
}

export type Charges = ReadonlyMap<TeamName, Resources>;

interface Planned {
  readonly row: Row;
  readonly part: Resources;
}

/**
 * Keeps this pool's parts of the teams' upper limits on workers. A part that is raised is used only
 * after its row is written, and one that is lowered is given up before.
 */
export class AllowanceKeeper {
  readonly #options: AllowanceKeeperOptions;
  #parts: ReadonlyMap<TeamName, Resources> = new Map();

  constructor(options: AllowanceKeeperOptions) {
    this.#options = options;
  }

  /**
   * Brings the parts in line with the use of each team. Before a row is written, `lower` puts the
   * smaller of the old and new parts into force and tells what is charged then, so that nothing
   * starts under a part that is about to shrink, and no part shrinks below what runs.
   */
  async adjust(
    cfg: Configuration,
    use: ReadonlyMap<TeamName, TeamUse>,
    lower: (parts: ReadonlyMap<TeamName, Resources>) => Promise<Charges>,
    signal: AbortSignal,
  ): Promise<ReadonlyMap<TeamName, Resources>> {
    const teams = cfg.list('team').filter(({ name }) => this.#concerns(name, use));
    const keys = teams.map(({ name }) => `${PREFIX}${name}`);
    const read = await this.#options.store.read(keys, signal);
    if (read.isErr()) {
      return this.#parts;
    }
    const rows = new Map(read.value.map((row) => [row.key, row]));
    for (const { name, spec } of teams) {
      const key = `${PREFIX}${name}`;
      const row = rows.get(key) ?? { key, version: 0, value: null };
      const first = this.#plan(row, spec.limit, use.get(name));
      const charges = await lower(
        new Map([...this.#parts, [name, smaller(this.#part(name), first.part)]]),
      );
      const waits = use.get(name)?.waits ?? false;
      const charged = charges.get(name) ?? NO_RESOURCES;
      await this.#write(name, this.#plan(row, spec.limit, { charged, waits }), signal);
    }
    return this.#parts;
  }

  #concerns(team: TeamName, use: ReadonlyMap<TeamName, TeamUse>): boolean {
    const held = !sameResources(this.#part(team), NO_RESOURCES);
    return held || use.has(team) || !this.#parts.has(team);
  }

  #part(team: TeamName): Resources {
    return this.#parts.get(team) ?? NO_RESOURCES;
  }

  #plan(row: Row, limit: Resources, use: TeamUse | undefined): Planned {
    const { pool } = this.#options;
    const charged = use?.charged ?? NO_RESOURCES;
    const wanted = use?.waits === true ? limit : charged;
    return { row, part: planAllowance(partsOf(row), limit, { pool, charged, demand: wanted }) };
  }

  async #write(team: TeamName, { row, part }: Planned, signal: AbortSignal): Promise<void> {
    const { pool, store, owner, newId } = this.#options;
    const stored = partsOf(row).get(pool) ?? NO_RESOURCES;
    if (sameResources(stored, part)) {
      this.#set(team, part);
      return;
    }
    const parts = Object.fromEntries(new Map([...partsOf(row), [pool, part]]));
    const conditions = [owner, { key: row.key, version: row.version }];
    const writes = [{ key: row.key, value: { parts } as unknown as JsonValue }];
    const written = await store.commit({ txnId: newId(), conditions, writes }, signal);
    const committed = written.isOk() && written.value.committed;
    this.#set(team, committed ? part : smaller(stored, part));
  }

  #set(team: TeamName, part: Resources): void {
    this.#parts = new Map([...this.#parts, [team, part]]);
  }
}

function partsOf(row: Row): ReadonlyMap<PoolName, Resources> {
  const parsed = rowBody.safeParse(row.value);
  return new Map(Object.entries(parsed.success ? parsed.data.parts : {}));
}

function smaller(a: Resources, b: Resources): Resources {
  return {
    processors: Math.min(a.processors, b.processors),
    memoryMb: Math.min(a.memoryMb, b.memoryMb),
    accelerators: Math.min(a.accelerators, b.accelerators),
  };
}
