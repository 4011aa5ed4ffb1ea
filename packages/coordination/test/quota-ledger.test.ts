import { expect, test } from '@jest/globals';
import { Ok, SeededRandom, fail } from '@turmerichoist/core';
import { SystemClock, silentLogger } from '@turmerichoist/runtime';
import {
  ABSENT_EXPIRY_MS,
  GRANT_IDLE_MS,
  GRANT_ROUND_MS,
  GrantBroker,
  GrantLedger,
  RECLAIM_AFTER_MS,
  type QuotaDecision,
  type QuotaEvent,
  type TableStore,
  type Transaction,
} from '@turmerichoist/coordination';
import { QuotaTable } from './quota-support.js';
import { waitUntil } from './peers-support.js';

type Usable = Extract<QuotaDecision, { type: 'usable' }>;

/** Drives one ledger with a table that responds at once, except that `hold` delays transactions. */
class Driver {
  readonly #table: QuotaTable;
  readonly #ledger: GrantLedger;
  readonly #id: string;
  now = 0;
  usable: Usable = { type: 'usable', serial: 0, units: new Map(), validUntil: 0 };
  hold = false;
  held: Transaction[] = [];
  readonly commits: Transaction[] = [];
  readonly otherDecisions: QuotaDecision[] = [];
  reads = 0;

  constructor(table: QuotaTable, id = 'm', incarnation = `${id}-1`) {
    this.#table = table;
    this.#id = id;
    this.#ledger = new GrantLedger({ self: id, random: new SeededRandom(1) });
    this.send({ type: 'session', incarnation, validUntil: 1_000_000 });
  }

  send(...events: readonly QuotaEvent[]): this {
    for (const event of events) {
      for (const decision of this.#ledger.handle(event, this.now)) {
        this.#execute(decision);
      }
    }
    return this;
  }

  #execute(decision: QuotaDecision): void {
    if (decision.type === 'usable') {
      this.usable = decision;
    } else if (decision.type === 'read') {
      this.reads += 1;
      const { keys } = decision;
      this.send({ type: 'rows', keys, rows: this.#table.read(keys) });
    } else if (decision.type === 'commit') {
      this.commits.push(decision.txn);
      if (this.hold) {
        this.held.push(decision.txn);
      } else {
        this.settle(decision.txn);
      }
    } else {
      this.otherDecisions.push(decision);
    }
  }

  settle({ txnId, ...txn }: Transaction): void {
    const result = this.#table.commit({ txnId, ...txn });
    this.send({ type: 'settled', txnId, result });
  }

  limits(limits: Readonly<Record<string, number>>, revision = 1): this {
    const entries = Object.entries(limits).map(
      ([team, limit]) => [team, { limit, revision }] as const,
    );
    return this.send({ type: 'limits', limits: new Map(entries) });
  }

  demand(teams: Readonly<Record<string, readonly [running: number, waiting: number]>>): this {
    const rows = Object.entries(teams).map(([team, [running, waiting]]) => ({
      ...{ team, running, waiting },
    }));
    return this.send({ type: 'demand', teams: rows, appliedSerial: this.usable.serial });
  }

  /** Advances the time in ticks; the limiter confirms every publication. */
  advance(ms: number, demand: Readonly<Record<string, readonly [number, number]>> = {}): this {
    for (let end = this.now + ms; this.now < end;) {
      this.now = Math.min(end, this.now + 50);
      this.demand(demand).send({ type: 'tick' });
    }
    return this;
  }

  units(team: string): number {
    return this.usable.units.get(team) ?? 0;
  }

  unitsInRow(team: string): number | undefined {
    const grants = this.#table.quota(team)?.grants ?? [];
    return grants.find(({ member }) => member === this.#id)?.units;
  }
}

test('many teams change in one transaction, and rounds keep their minimum interval', () => {
  const table = new QuotaTable();
  const teams = Array.from({ length: 40 }, (_, i) => `t${i}`);
  const all = <T>(value: T) => Object.fromEntries(teams.map((team) => [team, value]));
  const d = new Driver(table).demand(all([0, 2] as const)).limits(all(5));
  expect(d.commits.map(({ writes }) => writes.length)).toEqual([40]);
  d.demand(all([2, 1] as const));
  expect(d.commits).toHaveLength(1);
  d.advance(GRANT_ROUND_MS, all([2, 1] as const));
  expect(d.commits).toHaveLength(2);
});

test('a conflict on one team does not delay the others', () => {
  const table = new QuotaTable();
  const d = new Driver(table);
  d.hold = true;
  d.demand({ a: [0, 1], b: [0, 1] }).limits({ a: 2, b: 2 });
  table.writeQuota('a', { limit: 2, revision: 1, grants: [] });
  d.hold = false;
  d.held.forEach((txn) => {
    d.settle(txn);
  });
  expect([d.units('a'), d.units('b')]).toEqual([0, 1]);
  d.advance(GRANT_ROUND_MS, { a: [0, 1], b: [0, 1] });
  expect(d.units('a')).toBe(1);
});

test('units granted by an in-doubt transaction are not used before the row has a new version', () => {
  const table = new QuotaTable();
  const d = new Driver(table).demand({ a: [0, 1] }).limits({ a: 5 });
  d.hold = true;
  d.advance(GRANT_ROUND_MS, { a: [1, 3] });
  const [late] = d.held;
  d.send({ type: 'settled', txnId: late?.txnId ?? '', result: { committed: 'unknown' } });
  table.commit(late ?? { txnId: '', conditions: [], writes: [] });
  expect([d.units('a'), d.unitsInRow('a')]).toEqual([1, 4]);
  d.advance(2 * GRANT_ROUND_MS, { a: [1, 3] });
  expect(d.units('a')).toBe(4);
});

test('units returned by an in-doubt transaction are not used, even if the row still has them', () => {
  const table = new QuotaTable();
  const d = new Driver(table).demand({ a: [0, 4] }).limits({ a: 5 });
  d.hold = true;
  d.advance(GRANT_IDLE_MS + GRANT_ROUND_MS, { a: [1, 0] });
  const [late] = d.held;
  d.send({ type: 'settled', txnId: late?.txnId ?? '', result: { committed: 'unknown' } });
  d.advance(50, { a: [1, 3] });
  expect([d.units('a'), d.unitsInRow('a')]).toEqual([1, 4]);
});

test('the row is lowered only after the limiter confirmed the reduction', () => {
  const table = new QuotaTable();
  const d = new Driver(table).demand({ a: [0, 4] }).limits({ a: 5 });
  d.now = 1_000;
  const appliedSerial = d.usable.serial;
  d.send({ type: 'demand', teams: [], appliedSerial });
  for (d.now = 3_100; d.now < 6_000; d.now += 100) {
    d.send({ type: 'demand', teams: [], appliedSerial }, { type: 'tick' });
  }
  expect([d.units('a'), d.unitsInRow('a')]).toEqual([0, 4]);
  d.advance(GRANT_ROUND_MS, { a: [2, 0] });
  expect(d.unitsInRow('a')).toBe(2);
});

test('idle units are returned after the idle time, and at once when a peer has unmet demand', () => {
  const table = new QuotaTable();
  const d = new Driver(table).demand({ a: [0, 4] }).limits({ a: 5 });
  d.advance(GRANT_IDLE_MS - 100, { a: [1, 0] });
  expect(d.unitsInRow('a')).toBe(4);
  d.advance(GRANT_ROUND_MS + 200, { a: [1, 0] });
  expect(d.unitsInRow('a')).toBe(1);
  d.advance(GRANT_ROUND_MS, { a: [1, 3] });
  d.send({ type: 'peer-want', member: 'x', wants: [{ team: 'a', units: 2 }] });
  d.advance(2 * GRANT_ROUND_MS, { a: [1, 0] });
  expect(d.unitsInRow('a')).toBe(1);
});

test('demand beyond an exhausted limit is published to the peers', () => {
  const table = new QuotaTable();
  table.writeQuota('a', {
    limit: 3,
    revision: 1,
    grants: [{ member: 'x', incarnation: '1', units: 2 }],
  });
  const d = new Driver(table).demand({ a: [0, 4] }).limits({ a: 3 });
  expect(d.units('a')).toBe(1);
  expect(d.otherDecisions).toContainEqual({ type: 'want', wants: [{ team: 'a', units: 2 }] });
});

test('a backlog at one member does not keep another member from its fair share', () => {
  const table = new QuotaTable();
  const d = new Driver(table).demand({ a: [0, 14] }).limits({ a: 4 });
  d.send({ type: 'peer-want', member: 'x', wants: [{ team: 'a', units: 2 }] });
  d.advance(100, { a: [4, 10] });
  expect([d.units('a'), d.unitsInRow('a')]).toEqual([2, 4]);
  d.advance(2 * GRANT_ROUND_MS, { a: [2, 10] });
  expect(d.unitsInRow('a')).toBe(2);
});

test('a lower limit prevents raises at once and is in force only when the grants fit into it', () => {
  const table = new QuotaTable();
  const d = new Driver(table).demand({ a: [0, 6] }).limits({ a: 6 });
  d.limits({ a: 2 }, 2).advance(1_500, { a: [6, 2] });
  expect(table.quota('a')).toMatchObject({ limit: 6, nextLimit: 2 });
  const raised = new Driver(table, 'n').demand({ a: [0, 1] }).limits({ a: 6 }, 1);
  expect(raised.units('a')).toBe(0);
  const reports = () => d.otherDecisions.filter(({ type }) => type === 'limit-in-force').length;
  expect([d.units('a'), reports()]).toEqual([2, 1]);
  d.advance(1_500, { a: [2, 0] });
  expect([table.quota('a')?.limit, reports()]).toEqual([2, 2]);
});

test('a member with an older configuration does not restore the former limit', () => {
  const table = new QuotaTable();
  new Driver(table).limits({ a: 2 }, 5);
  const d = new Driver(table, 'n').limits({ a: 9 }, 4).advance(1_000, { a: [0, 9] });
  expect([table.quota('a')?.limit, d.units('a')]).toEqual([2, 2]);
});

test('grants of an expired session are not reclaimed until its longest work has ended', () => {
  const table = new QuotaTable();
  const grants = [{ member: 'x', incarnation: '1', units: 2 }];
  table.writeQuota('a', { limit: 2, revision: 1, grants });
  const rows = [{ member: 'x', incarnation: '1' }];
  const members: QuotaEvent = { type: 'members', rows, readAt: 0 };
  const d = new Driver(table).limits({ a: 2 }).send(members);
  d.send({ type: 'expired', member: 'x', incarnation: '1', at: 0 });
  d.advance(RECLAIM_AFTER_MS - 50, { a: [0, 1] });
  expect(d.units('a')).toBe(0);
  d.advance(2 * GRANT_ROUND_MS, { a: [0, 1] });
  expect(d.units('a')).toBe(1);
});

test('grants of an older incarnation are reclaimed only after its session and work have ended', () => {
  const table = new QuotaTable();
  const grants = [{ member: 'm', incarnation: 'm-0', units: 2 }];
  table.writeQuota('a', { limit: 2, revision: 1, grants });
  const rows = [{ member: 'm', incarnation: 'm-1' }];
  const members: QuotaEvent = { type: 'members', rows, readAt: 0 };
  const d = new Driver(table).limits({ a: 2 }).send(members);
  d.advance(ABSENT_EXPIRY_MS + RECLAIM_AFTER_MS - 100, { a: [0, 1] });
  expect(d.units('a')).toBe(0);
  d.advance(2_000, { a: [0, 1] });
  expect(d.units('a')).toBe(1);
});

test('a holder whose session is newer than the known member rows keeps its units', () => {
  const table = new QuotaTable();
  const grants = [{ member: 'x', incarnation: '2', units: 2 }];
  const former = [{ member: 'x', incarnation: '1' }];
  const d = new Driver(table).send({ type: 'members', rows: former, readAt: 0 });
  d.now = ABSENT_EXPIRY_MS + RECLAIM_AFTER_MS;
  table.writeQuota('a', { limit: 2, revision: 1, grants });
  d.limits({ a: 2 }).advance(500, { a: [0, 1] });
  d.send({ type: 'members', rows: former, readAt: d.now - 1_000 }).advance(500, { a: [0, 1] });
  expect(d.units('a')).toBe(0);
});

test('a process that lost its session gets its units back without the reclaim delay', () => {
  const table = new QuotaTable();
  const d = new Driver(table).demand({ a: [0, 4] }).limits({ a: 4 });
  d.send({ type: 'session', incarnation: 'm-2', validUntil: 1_000_000 });
  expect(d.units('a')).toBe(0);
  d.advance(GRANT_ROUND_MS, { a: [3, 1] });
  expect(d.units('a')).toBe(4);
  expect(table.quota('a')?.grants).toEqual([{ member: 'm', incarnation: 'm-2', units: 4 }]);
});

test('a stopping member completes its work and then returns all units', () => {
  const table = new QuotaTable();
  const d = new Driver(table).demand({ a: [0, 4] }).limits({ a: 4 });
  d.send({ type: 'stopping' }).advance(500, { a: [2, 0] });
  expect([d.unitsInRow('a'), d.otherDecisions.some(({ type }) => type === 'released')]).toEqual([
    2,
    false,
  ]);
  d.advance(500, {});
  expect([d.unitsInRow('a'), d.otherDecisions.at(-1)]).toEqual([undefined, { type: 'released' }]);
});

test('no transaction is sent after the session has expired', () => {
  const d = new Driver(new QuotaTable());
  d.send({ type: 'session', incarnation: 'm-1', validUntil: 10 });
  d.now = 10;
  d.demand({ a: [0, 1] }).limits({ a: 1 });
  expect([d.reads, d.commits.length]).toEqual([0, 0]);
});

test('the broker treats a lost response as an unknown outcome and recovers from it', async () => {
  const table = new QuotaTable();
  const stop = new AbortController();
  let commits = 0;
  const store: Pick<TableStore, 'read' | 'commit'> = {
    read: (keys) => Promise.resolve(Ok(table.read(keys))),
    commit: (txn) => {
      commits += 1;
      const outcome = table.commit(txn);
      return Promise.resolve(commits === 1 ? fail('outcome-unknown') : Ok(outcome));
    },
  };
  let units = 0;
  const ignore = () => undefined;
  const broker = new GrantBroker(
    {
      ...{ self: 'm', clock: new SystemClock(), random: new SeededRandom(1) },
      store: store as TableStore,
      listener: {
        onUsable: (_serial, usable) => (units = usable.get('a') ?? 0),
        ...{ onUnmetDemand: ignore, onLimitInForce: ignore, onReleased: ignore },
      },
    },
    { log: silentLogger, signal: stop.signal },
  );
  broker.start();
  broker.post({ type: 'session', incarnation: 'm-1', validUntil: performance.now() + 60_000 });
  broker.post({ type: 'limits', limits: new Map([['a', { limit: 3, revision: 1 }]]) });
  broker.post({ type: 'demand', teams: [{ team: 'a', running: 0, waiting: 2 }], appliedSerial: 0 });
  await waitUntil(() => units === 2, 5_000);
  stop.abort();
});
