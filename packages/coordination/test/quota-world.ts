import { SeededRandom, type Random } from '@turmerichoist/core';
import {
  GrantLedger,
  encodeQuotaRow,
  grantedUnits,
  type DeclaredLimit,
  type QuotaDecision,
  type QuotaEvent,
  type Transaction,
  type TxnOutcome,
} from '@turmerichoist/coordination';
import { QuotaTable, Timeline } from './quota-support.js';

const TICK_MS = 400;
const RENEW_MS = 2_000;
const SESSION_TTL_MS = 8_000;
const SESSION_EXPIRY_MS = SESSION_TTL_MS * 1.01 + 1_000;
const STORE_TIMEOUT_MS = 2_000;
export const MAX_WORK_MS = 60_000;

export type CommitFault = 'lost-request' | 'lost-answer' | 'late' | 'doubled';

interface Session {
  readonly incarnation: string;
  readonly beat: number;
}

/** Simulates one member: a ledger, a limiter, a session, and a clock that runs at its own rate. */
export class Holder {
  readonly id: string;
  readonly #world: World;
  readonly #clockRate: number;
  /** Delay of messages between ledger and limiter, which stay in order. */
  readonly #lag: number;
  #ledger: GrantLedger;
  #process = 0;
  #sessions = 0;
  #incarnation = '';
  #sessionUntil = Number.NEGATIVE_INFINITY;
  #pausedUntil = 0;
  partitionedUntil = 0;
  faults: CommitFault[] = [];
  alive = true;
  stopping = false;
  released = false;
  #usable: { serial: number; units: ReadonlyMap<string, number>; validUntil: number };
  readonly running = new Map<string, number>();
  readonly #waiting = new Map<string, number[]>();
  #limits: ReadonlyMap<string, DeclaredLimit> = new Map();
  #reported = '';
  readonly #seen = new Map<string, { session: string; changedAt: number }>();
  #observedAt = Number.NEGATIVE_INFINITY;

  constructor(world: World, id: string, rate: number) {
    this.#world = world;
    this.id = id;
    this.#clockRate = rate;
    this.#lag = world.random.nextInt(60);
    this.#usable = { serial: 0, units: new Map(), validUntil: 0 };
    this.#ledger = new GrantLedger({ self: id, random: world.random });
    this.#startTimers(this.#process);
  }

  /** Time on this member's monotonic clock. */
  get clock(): number {
    return 1_000 + this.#world.time.now * this.#clockRate;
  }

  pause(ms: number): void {
    this.#pausedUntil = Math.max(this.#pausedUntil, this.#world.time.now + ms);
  }

  /** Ends the process. Work that it started continues at the upstreams until its deadline. */
  crash(): void {
    this.alive = false;
    this.#process += 1;
    this.#waiting.clear();
  }

  restart(): void {
    if (!this.alive) {
      this.alive = true;
      this.stopping = false;
      this.released = false;
      this.#limits = new Map();
      this.#reported = '';
      this.#incarnation = '';
      this.#sessionUntil = Number.NEGATIVE_INFINITY;
      this.#usable = { serial: 0, units: new Map(), validUntil: 0 };
      this.running.clear();
      this.#ledger = new GrantLedger({ self: this.id, random: this.#world.random });
      this.#startTimers(this.#process);
    }
  }

  stop(): void {
    this.stopping = true;
    this.#deliver(0, () => {
      this.#handle({ type: 'stopping' });
    });
  }

  request(team: string, durations: readonly number[]): void {
    if (this.alive && !this.stopping) {
      this.#waiting.set(team, [...(this.#waiting.get(team) ?? []), ...durations]);
      this.#runLimiter();
    }
  }

  /** Cancels all waiting work. */
  cancelWaiting(): void {
    this.#waiting.clear();
    this.#runLimiter();
  }

  /** Runs a callback in the process unless that has ended; a paused one runs it on resuming. */
  #deliver(delay: number, run: () => void): void {
    const process = this.#process;
    const attempt = (): void => {
      const pause = this.#pausedUntil - this.#world.time.now;
      if (process === this.#process && pause > 0) {
        this.#world.time.after(pause, attempt);
      } else if (process === this.#process) {
        run();
      }
    };
    this.#world.time.after(delay, attempt);
  }

  #startTimers(process: number): void {
    const again = (ms: number, delay: number, action: () => void): void => {
      if (process === this.#process) {
        this.#deliver(delay, () => {
          action();
          again(ms, ms, action);
        });
      }
    };
    const repeat = (ms: number, action: () => void): void => {
      again(ms, ms * this.#world.random.next(), action);
    };
    repeat(TICK_MS, () => {
      if (this.#limits !== this.#world.declared) {
        this.#limits = this.#world.declared;
        this.#handle({ type: 'limits', limits: this.#limits });
      }
      this.#handle({ type: 'tick' });
      this.#runLimiter();
    });
    repeat(RENEW_MS, () => {
      this.#renew();
    });
    repeat(1_000, () => {
      this.#observe();
    });
  }

  get #connected(): boolean {
    return this.#world.time.now >= Math.max(this.partitionedUntil, this.#world.storeDownUntil);
  }

  #renew(): void {
    if (!this.#connected) {
      return;
    }
    const sentAt = this.clock;
    if (sentAt >= this.#sessionUntil) {
      this.#sessions += 1;
      this.#incarnation = `${this.id}-${this.#sessions}`;
    }
    const beat = (this.#world.sessions.get(this.id)?.beat ?? 0) + 1;
    this.#world.sessions.set(this.id, { incarnation: this.#incarnation, beat });
    this.#deliver(this.#world.latency(), () => {
      this.#sessionUntil = sentAt + SESSION_TTL_MS;
      const { incarnation } = this;
      this.#handle({ type: 'session', incarnation, validUntil: this.#sessionUntil });
    });
  }

  get incarnation(): string {
    return this.#incarnation;
  }

  #observe(): void {
    if (!this.#connected) {
      return;
    }
    const now = this.clock;
    const gap = now - this.#observedAt > RENEW_MS;
    this.#observedAt = now;
    const rows = [...this.#world.sessions].map(([member, session]) => ({ member, ...session }));
    this.#handle({ type: 'members', rows, readAt: now });
    for (const { member, incarnation, beat } of rows) {
      const session = `${incarnation}/${beat}`;
      const before = this.#seen.get(member);
      if (gap || before?.session !== session) {
        this.#seen.set(member, { session, changedAt: now });
      } else if (now - before.changedAt > SESSION_EXPIRY_MS && member !== this.id) {
        this.#handle({ type: 'expired', member, incarnation, at: now });
      }
    }
  }

  #handle(event: QuotaEvent): void {
    for (const decision of this.#ledger.handle(event, this.clock)) {
      this.#execute(decision);
    }
  }

  #execute(decision: QuotaDecision): void {
    const world = this.#world;
    switch (decision.type) {
      case 'usable':
        this.#deliver(this.#lag, () => {
          this.#usable = decision;
          this.#runLimiter();
        });
        break;
      case 'read':
        world.read(this, decision.keys, (event) => {
          this.#deliver(world.latency(), () => {
            this.#handle(event);
          });
        });
        break;
      case 'commit':
        world.commit(this, decision.txn, (event, delay) => {
          this.#deliver(delay, () => {
            this.#handle(event);
          });
        });
        break;
      case 'want':
        for (const other of world.holders.filter((holder) => holder !== this)) {
          other.#deliver(world.latency(), () => {
            other.#handle({ type: 'peer-want', member: this.id, wants: decision.wants });
          });
        }
        break;
      case 'released':
        this.released = true;
        break;
      case 'limit-in-force':
        break;
    }
  }

  /** The limiter: starts the work that the grants allow, then reports the demand. */
  #runLimiter(): void {
    if (this.#world.time.now < this.#pausedUntil || !this.alive) {
      return;
    }
    for (const [team, durations] of this.#waiting) {
      while (durations.length > 0 && this.#mayStart(team)) {
        this.#start(team, durations.shift() ?? 0);
      }
    }
    const teams = new Set([...this.running.keys(), ...this.#waiting.keys()]);
    const demand = [...teams].map((team) => ({
      ...{ team, running: this.running.get(team) ?? 0 },
      waiting: this.#waiting.get(team)?.length ?? 0,
    }));
    const appliedSerial = this.#usable.serial;
    const report = JSON.stringify([demand, appliedSerial]);
    if (report === this.#reported) {
      return;
    }
    this.#reported = report;
    this.#deliver(this.#lag, () => {
      this.#handle({ type: 'demand', teams: demand, appliedSerial });
    });
  }

  #mayStart(team: string): boolean {
    const { units, validUntil } = this.#usable;
    return (this.running.get(team) ?? 0) < (units.get(team) ?? 0) && this.clock < validUntil;
  }

  #start(team: string, duration: number): void {
    this.running.set(team, (this.running.get(team) ?? 0) + 1);
    this.#world.started(team);
    const process = this.#process;
    this.#world.time.after(Math.min(duration, MAX_WORK_MS) / this.#clockRate, () => {
      this.#world.ended(team);
      if (process === this.#process) {
        this.running.set(team, (this.running.get(team) ?? 0) - 1);
        this.#deliver(0, () => {
          this.#runLimiter();
        });
      }
    });
  }
}

/** Simulates a store and members, and checks the limits at each start of work and commit. */
export class World {
  readonly time = new Timeline();
  readonly table = new QuotaTable();
  readonly sessions = new Map<string, Session>();
  declared: ReadonlyMap<string, DeclaredLimit> = new Map();
  readonly running = new Map<string, number>();
  readonly holders: readonly Holder[];
  readonly random: Random;
  readonly violations: string[] = [];
  storeDownUntil = 0;

  constructor(seed: number, holders: number, limits: Readonly<Record<string, number>>) {
    this.random = new SeededRandom(seed);
    for (const [team, limit] of Object.entries(limits)) {
      this.declare(team, limit);
    }
    const ids = Array.from({ length: holders }, (_, i) => `m${i}`);
    // Any two clocks differ by at most 1%.
    this.holders = ids.map((id) => new Holder(this, id, 0.995 + this.random.next() * 0.01));
  }

  latency(): number {
    return 1 + this.random.nextInt(20);
  }

  declare(team: string, limit: number): void {
    const revision = (this.declared.get(team)?.revision ?? 0) + 1;
    this.declared = new Map([...this.declared, [team, { limit, revision }]]);
  }

  started(team: string): void {
    this.running.set(team, (this.running.get(team) ?? 0) + 1);
    this.#check(team);
  }

  ended(team: string): void {
    this.running.set(team, (this.running.get(team) ?? 0) - 1);
  }

  #check(team: string): void {
    const row = this.table.quota(team);
    const running = this.running.get(team) ?? 0;
    if (row === undefined ? running > 0 : running > row.limit || grantedUnits(row) > row.limit) {
      const text = JSON.stringify(row === undefined ? null : encodeQuotaRow(row));
      this.violations.push(`${this.time.now}: ${running} of ${team} run under ${text}`);
    }
  }

  read(holder: Holder, keys: readonly string[], answer: (event: QuotaEvent) => void): void {
    this.time.after(this.latency(), () => {
      const down = this.time.now < Math.max(holder.partitionedUntil, this.storeDownUntil);
      const rows = this.table.read(keys);
      answer(down ? { type: 'read-failed' } : { type: 'rows', keys, rows });
    });
  }

  commit(
    holder: Holder,
    txn: Transaction,
    answer: (event: QuotaEvent, delay: number) => void,
  ): void {
    const { txnId } = txn;
    const unknown: QuotaEvent = { type: 'settled', txnId, result: { committed: 'unknown' } };
    const fault = holder.faults.shift();
    const apply = (): TxnOutcome => {
      const outcome = this.table.commit(txn);
      for (const { key } of txn.writes) {
        this.#check(key.slice('quota/'.length));
      }
      return outcome;
    };
    if (fault === 'lost-request') {
      answer(unknown, STORE_TIMEOUT_MS);
    } else if (fault === 'late') {
      this.time.after(500 + this.random.nextInt(30_000), apply);
      answer(unknown, STORE_TIMEOUT_MS);
    } else {
      this.time.after(this.latency(), () => {
        if (this.time.now < Math.max(holder.partitionedUntil, this.storeDownUntil)) {
          answer({ type: 'settled', txnId, result: { committed: 'no' } }, this.latency());
          return;
        }
        const result = apply();
        const settled: QuotaEvent = { type: 'settled', txnId, result };
        answer(fault === 'lost-answer' ? unknown : settled, this.latency());
        if (fault === 'doubled') {
          this.time.after(this.latency(), apply);
          answer(settled, this.latency() + 500);
        }
      });
    }
  }
}
