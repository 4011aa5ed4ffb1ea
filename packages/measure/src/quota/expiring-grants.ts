import type { Millis } from '@turmerichoist/core';
import {
  GrantLedger,
  TableState,
  type GrantPolicy,
  type QuotaDecision,
  type QuotaEvent,
} from '@turmerichoist/coordination';
import {
  DEATH_OBSERVED_MS,
  PEER_DELAY_MS,
  STORE_DELAY_MS,
  type QuotaScheme,
  type QuotaSimulation,
} from './simulation.js';

const TEAM = 'team';
const TICK_MS: Millis = 50;
const MEMBERS_READ_PERIOD_MS: Millis = 1_000;
/** Delay of a message between the limiter and the grant broker of one entry. */
const MAILBOX_DELAY_MS: Millis = 0.1;

/** Grant ledger of one entry and the units that its limiter may use. */
class GrantHolder {
  readonly ledger: GrantLedger;
  usableUnits = 0;
  appliedSerial = 0;
  alive = true;

  constructor(ledger: GrantLedger) {
    this.ledger = ledger;
  }
}

/** The scheme in use: grants of the limit that expire with the holder's session. */
export class ExpiringGrants implements QuotaScheme {
  readonly name: string;
  readonly #simulation: QuotaSimulation;
  readonly #table = new TableState();
  readonly #holders: readonly GrantHolder[];
  #peerMessages = 0;
  #storeCalls = 0;

  constructor(simulation: QuotaSimulation, policy: GrantPolicy, name: string) {
    this.name = name;
    this.#simulation = simulation;
    const { entries, limit, random } = simulation.options;
    this.#holders = Array.from(
      { length: entries },
      (_, i) => new GrantHolder(new GrantLedger({ self: `e${i}`, random, policy })),
    );
    const limits = new Map([[TEAM, { limit, revision: 1 }]]);
    this.#holders.forEach((_, i) => {
      simulation.time.after(random.next() * TICK_MS, () => {
        this.#deliver(i, {
          type: 'session',
          incarnation: '1',
          validUntil: Number.MAX_SAFE_INTEGER,
        });
        this.#deliver(i, { type: 'limits', limits });
        simulation.time.every(TICK_MS, () => {
          this.#deliver(i, { type: 'tick' });
        });
        simulation.time.every(MEMBERS_READ_PERIOD_MS, () => {
          const rows = this.#holders.map((__, member) => ({
            member: `e${member}`,
            incarnation: '1',
          }));
          this.#deliver(i, { type: 'members', rows, readAt: simulation.time.now() });
        });
      });
    });
  }

  get traffic(): { readonly peer: number; readonly store: number } {
    return { peer: this.#peerMessages, store: this.#storeCalls };
  }

  acquire(entry: number): boolean {
    return this.#simulation.entry(entry).running < (this.#holders[entry]?.usableUnits ?? 0);
  }

  release(entry: number): void {
    this.demandChanged(entry);
  }

  demandChanged(entry: number): void {
    const { running, waiting } = this.#simulation.entry(entry);
    const appliedSerial = this.#holders[entry]?.appliedSerial ?? 0;
    this.#simulation.time.after(MAILBOX_DELAY_MS, () => {
      const teams = [{ team: TEAM, running, waiting }];
      this.#deliver(entry, { type: 'demand', teams, appliedSerial });
    });
  }

  entryDied(entry: number): void {
    const holder = this.#holders[entry];
    if (holder !== undefined) {
      holder.alive = false;
      holder.usableUnits = 0;
    }
    this.#simulation.time.after(DEATH_OBSERVED_MS, () => {
      const at = this.#simulation.time.now();
      this.#holders.forEach((_, i) => {
        this.#deliver(i, { type: 'expired', member: `e${entry}`, incarnation: '1', at });
      });
    });
  }

  #deliver(entry: number, event: QuotaEvent): void {
    const holder = this.#holders[entry];
    if (holder?.alive === true) {
      for (const decision of holder.ledger.handle(event, this.#simulation.time.now())) {
        this.#execute(entry, holder, decision);
      }
    }
  }

  #execute(entry: number, holder: GrantHolder, decision: QuotaDecision): void {
    switch (decision.type) {
      case 'usable':
        this.#simulation.time.after(MAILBOX_DELAY_MS, () => {
          holder.usableUnits = decision.units.get(TEAM) ?? 0;
          holder.appliedSerial = decision.serial;
          this.#simulation.startWaiting(entry);
          this.demandChanged(entry);
        });
        break;
      case 'read':
        this.#callStore(entry, () => {
          const rows = this.#table.read(decision.keys);
          return { type: 'rows', keys: decision.keys, rows };
        });
        break;
      case 'commit':
        this.#callStore(entry, () => {
          const result = this.#table.commit(decision.txn);
          return { type: 'settled', txnId: decision.txn.txnId, result };
        });
        break;
      case 'want':
        this.#holders.forEach((_, i) => {
          if (i !== entry) {
            this.#peerMessages += 1;
            this.#simulation.time.after(PEER_DELAY_MS, () => {
              this.#deliver(i, { type: 'peer-want', member: `e${entry}`, wants: decision.wants });
            });
          }
        });
        break;
      default:
        break;
    }
  }

  #callStore(entry: number, execute: () => QuotaEvent): void {
    this.#storeCalls += 1;
    this.#simulation.time.after(STORE_DELAY_MS, () => {
      const answer = execute();
      this.#simulation.time.after(STORE_DELAY_MS, () => {
        this.#deliver(entry, answer);
      });
    });
  }
}
