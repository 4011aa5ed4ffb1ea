import {
  Configuration,
  SeededRandom,
  parseDocuments,
  type Millis,
  type Resource,
  type TeamName,
} from '@turmerichoist/core';
import {
  GRANT_ROUND_MS,
  GrantLedger,
  TableState,
  decodeSnapshot,
  encodeSnapshot,
  planChange,
  type QuotaDecision,
  type QuotaEvent,
} from '@turmerichoist/coordination';
import { parseResource } from '../requests/parse-resource.js';
import { keySha256Of } from '../requests/request-simulation.js';
import { cpuMillis, median, usedHeapMb } from './probes.js';

const APPLY_COUNT = 200;
const TEAM_FRACTION = 0.3;
const ROUNDS = 200;
const WARM_UP_ROUNDS = 20;
const LIMIT = 400;
const FOREVER: Millis = Number.MAX_SAFE_INTEGER;

export interface ApplyCost {
  readonly applyMs: number;
  readonly snapshotMs: number;
  readonly snapshotBytes: number;
  readonly heapMb: number;
}

function makeResources(count: number): readonly Resource[] {
  const teams = Math.floor(count * TEAM_FRACTION);
  return Array.from({ length: count - 2 }, (_, i) =>
    i < teams
      ? teamResource(i, 100)
      : parseResource('instance', `i${i}`, {
          ...{ pool: 'p', zone: 'z', rack: `r${Math.floor(i / 4)}`, address: '10.0.0.1:9000' },
          ...{ processors: 64, memoryMb: 131_072, accelerators: 0 },
        }),
  ).concat(
    parseResource('zone', 'z', { region: 'r' }),
    parseResource('pool', 'p', { size: count, budget: { maxUnavailable: 1 } }),
  );
}

function teamResource(i: number, requests: number): Resource {
  const keys = [{ id: 'k', sha256: keySha256Of(`t${i}`) }];
  return parseResource('team', `t${i}`, { share: 1, limit: { requests }, keys });
}

/** Measures applying a change of one team and loading a snapshot, with `count` resources. */
export function measureApply(count: number): ApplyCost {
  const before = usedHeapMb();
  let cfg = Configuration.of(1, makeResources(count));
  const heapMb = usedHeapMb() - before;
  const times: number[] = [];
  for (let i = 0; i < APPLY_COUNT; i += 1) {
    const { kind, name, spec } = teamResource(0, 100 + (i % 2) + 1);
    const started = process.hrtime.bigint();
    const documents = parseDocuments([{ kind, name, spec }]).unwrap();
    const request = { id: String(i), documents, removals: [], actor: 'measure', wallMs: 0 };
    cfg = planChange(cfg, request).unwrap().cfg;
    times.push(Number(process.hrtime.bigint() - started) / 1e6);
  }
  const bytes = encodeSnapshot(cfg);
  const started = cpuMillis();
  decodeSnapshot(bytes).unwrap();
  const snapshotMs = cpuMillis() - started;
  return { applyMs: median(times), snapshotMs, snapshotBytes: bytes.length, heapMb };
}

export interface RoundCost {
  readonly roundMs: number;
  readonly commitsPerRound: number;
  readonly heapMb: number;
}

/** Processor time of one grant round in which the demand of every team has changed. */
export function measureGrantRound(teams: number, seed: number): RoundCost {
  const before = usedHeapMb();
  const entry = new GrantBenchmark(teams, seed);
  entry.run(WARM_UP_ROUNDS);
  const warmUp = entry.commits;
  const started = cpuMillis();
  entry.run(ROUNDS);
  const roundMs = (cpuMillis() - started) / ROUNDS;
  const heapMb = usedHeapMb() - before;
  const commitsPerRound = (entry.commits - warmUp) / ROUNDS;
  return { roundMs, commitsPerRound, heapMb };
}

/** Runs grant rounds of one ledger against a table that commits immediately. */
class GrantBenchmark {
  readonly #ledger: GrantLedger;
  readonly #table = new TableState();
  readonly #teams: readonly TeamName[];
  #now: Millis = 0;
  #round = 0;
  #serial = 0;
  #commits = 0;

  constructor(teams: number, seed: number) {
    this.#ledger = new GrantLedger({ self: 'm0', random: new SeededRandom(seed) });
    this.#teams = Array.from({ length: teams }, (_, i) => `t${i}`);
    const limits = new Map(this.#teams.map((name) => [name, { limit: LIMIT, revision: 1 }]));
    this.#handle({ type: 'session', incarnation: 'i0', validUntil: FOREVER });
    this.#handle({ type: 'limits', limits });
  }

  /** Number of transactions sent to the table. */
  get commits(): number {
    return this.#commits;
  }

  run(rounds: number): void {
    for (let i = 0; i < rounds; i += 1) {
      this.#round += 1;
      this.#now += GRANT_ROUND_MS;
      const running = 5 + (this.#round % 40);
      const demand = this.#teams.map((team) => ({ team, running, waiting: running }));
      const members = [{ member: 'm0', incarnation: 'i0' }];
      this.#handle({ type: 'members', rows: members, readAt: this.#now });
      this.#handle({ type: 'demand', teams: demand, appliedSerial: this.#serial });
      this.#handle({ type: 'tick' });
    }
  }

  #handle(event: QuotaEvent): void {
    for (const decision of this.#ledger.handle(event, this.#now)) {
      this.#execute(decision);
    }
  }

  #execute(decision: QuotaDecision): void {
    switch (decision.type) {
      case 'usable':
        this.#serial = decision.serial;
        return;
      case 'read': {
        const rows = this.#table.read(decision.keys);
        this.#handle({ type: 'rows', keys: decision.keys, rows });
        return;
      }
      case 'commit': {
        const { txn } = decision;
        this.#commits += 1;
        this.#handle({ type: 'settled', txnId: txn.txnId, result: this.#table.commit(txn) });
        return;
      }
      default:
        return;
    }
  }
}
