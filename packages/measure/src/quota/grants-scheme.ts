import type { Millis } from '@turmerichoist/core';
import {
  GrantLedger,
  type GrantPolicy,
  type JsonValue,
  type QuotaDecision,
  type QuotaEvent,
  type Transaction,
  type TxnOutcome,
} from '@turmerichoist/coordination';
import {
  DEATH_OBSERVED_MS,
  PEER_DELAY_MS,
  STORE_DELAY_MS,
  type LimitScheme,
  type Simulation,
} from './simulation.js';

const TEAM = 'team';
const TICK_MS: Millis = 50;
const MEMBERS_READ_MS: Millis = 1_000;
/** Delay between the limiter and the broker of one entry. */
const MAILBOX_MS: Millis = 0.1;

interface StoredRow {
  readonly key: string;
  readonly version: number;
  readonly value: JsonValue;
}

/** Rows with versions, at the interface of the table service. */
class FakeTable {
  readonly #rows = new Map<string, StoredRow>();

  read(keys: readonly string[]): readonly StoredRow[] {
    return keys.flatMap((key) => this.#rows.get(key) ?? []);
  }

  commit({ conditions, writes }: Transaction): TxnOutcome {
    const failed = conditions.filter((c) => (this.#rows.get(c.key)?.version ?? 0) !== c.version);
    if (failed.length > 0) {
      return { committed: false, failed: failed.map(({ key }) => key) };
    }
    const versions: Record<string, number> = {};
    for (const { key, value } of writes) {
      versions[key] = (this.#rows.get(key)?.version ?? 0) + 1;
      this.#rows.set(key, { key, value, version: versions[key] });
    }
    return { committed: true, versions };
  }
}

/** One entry's ledger. */
class Holder {
  readonly ledger: GrantLedger;
  usable = 0;
  serial = 0;
  alive = true;

  constructor(ledger: GrantLedger) {
    this.ledger = ledger;
  }
}

/** Grants of the limit that lapse with the holder's session: the scheme in use. */
export class LapsingGrants implements LimitScheme {
  readonly name: string;
  readonly #simulation: Simulation;
  readonly #table = new FakeTable();
  readonly #holders: readonly Holder[];
  #peer = 0;
  #store = 0;

  constructor(simulation: Simulation, policy: GrantPolicy, name: string) {
    this.name = name;
    this.#simulation = simulation;
    const { entries, limit, random } = simulation.options;
    this.#holders = Array.from(
      { length: entries },
      (_, i) => new Holder(new GrantLedger({ self: `e${i}`, random, policy })),
    );
    const limits = new Map([[TEAM, { limit, revision: 1 }]]);
    this.#holders.forEach((_, i) => {
      simulation.time.after(random.next() * TICK_MS, () => {
        this.#send(i, { type: 'session', incarnation: '1', validUntil: Number.MAX_SAFE_INTEGER });
        this.#send(i, { type: 'limits', limits });
        simulation.time.every(TICK_MS, () => {
          this.#send(i, { type: 'tick' });
        });
        simulation.time.every(MEMBERS_READ_MS, () => {
          const rows = this.#holders.map((__, member) => ({
            member: `e${member}`,
            incarnation: '1',
          }));
          this.#send(i, { type: 'members', rows, readAt: simulation.time.now() });
        });
      });
    });
  }

  get traffic(): { readonly peer: number; readonly store: number } {
    return { peer: this.#peer, store: this.#store };
  }

  acquire(entry: number): boolean {
    return this.#simulation.entry(entry).running < (this.#holders[entry]?.usable ?? 0);
  }

  release(entry: number): void {
    this.demandChanged(entry);
  }

  demandChanged(entry: number): void {
    const { running, waiting } = this.#simulation.entry(entry);
    const appliedSerial = this.#holders[entry]?.serial ?? 0;
    this.#simulation.time.after(MAILBOX_MS, () => {
      const teams = [{ team: TEAM, running, waiting }];
      this.#send(entry, { type: 'demand', teams, appliedSerial });
    });
  }

  died(entry: number): void {
    const holder = this.#holders[entry];
    if (holder !== undefined) {
      holder.alive = false;
      holder.usable = 0;
    }
    this.#simulation.time.after(DEATH_OBSERVED_MS, () => {
      const at = this.#simulation.time.now();
      this.#holders.forEach((_, i) => {
        this.#send(i, { type: 'expired', member: `e${entry}`, incarnation: '1', at });
      });
    });
  }

  #send(entry: number, event: QuotaEvent): void {
    const holder = this.#holders[entry];
    if (holder?.alive === true) {
      for (const decision of holder.ledger.handle(event, this.#simulation.time.now())) {
        this.#execute(entry, holder, decision);
      }
    }
  }

  #execute(entry: number, holder: Holder, decision: QuotaDecision): void {
    switch (decision.type) {
      case 'usable':
        this.#simulation.time.after(MAILBOX_MS, () => {
          holder.usable = decision.units.get(TEAM) ?? 0;
          holder.serial = decision.serial;
          this.#simulation.wake(entry);
          this.demandChanged(entry);
        });
        break;
      case 'read':
        this.#call(entry, () => {
          const rows = this.#table.read(decision.keys);
          return { type: 'rows', keys: decision.keys, rows };
        });
        break;
      case 'commit':
        this.#call(entry, () => {
          const result = this.#table.commit(decision.txn);
          return { type: 'settled', txnId: decision.txn.txnId, result };
        });
        break;
      case 'want':
        this.#holders.forEach((_, i) => {
          if (i !== entry) {
            this.#peer += 1;
            this.#simulation.time.after(PEER_DELAY_MS, () => {
              this.#send(i, { type: 'peer-want', member: `e${entry}`, wants: decision.wants });
            });
          }
        });
        break;
      default:
        break;
    }
  }

  #call(entry: number, execute: () => QuotaEvent): void {
    this.#store += 1;
    this.#simulation.time.after(STORE_DELAY_MS, () => {
      const answer = execute();
      this.#simulation.time.after(STORE_DELAY_MS, () => {
        this.#send(entry, answer);
      });
    });
  }
}
