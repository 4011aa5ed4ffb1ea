import { SeededRandom } from '@turmerichoist/core';
import { LeaderCandidacy } from '../src/state/leader-candidacy.js';
import { LeaderLease } from '../src/state/leader-lease.js';
import { TableState, type Row, type Transaction, type TxnOutcome } from '../src/store/index.js';

const OWNER = 'cell/owner';
const LEASE = 'cell/lease';
const CANDIDATE = 'cell/candidate';
const POLL_MS = 250;
const RENEW_MS = 350;
const CALL_TIMEOUT_MS = 1_200;
/** Share of commits that are carried out up to `LONG_DELAY_MS` after they were sent. */
const SLOW_SHARE = 0.1;
/** Share of reads in which the leader says that it is overloaded. */
const OVERLOADED_SHARE = 0.3;
const SHORT_DELAY_MS = 40;
const LONG_DELAY_MS = 3_000;

interface Event {
  readonly at: number;
  readonly run: () => void;
}

/** Members of one cell on a virtual clock, with a store that answers late or not at all. */
export class LeaderWorld {
  readonly state = new TableState();
  readonly random: SeededRandom;
  now = 0;
  handovers = 0;
  claims = 0;
  /** Moments at which more than one member held a valid lease. */
  conflicts = 0;
  readonly #members: readonly WorldMember[];
  #events: Event[] = [];

  constructor(seed: number, capacities: readonly number[]) {
    this.random = new SeededRandom(seed);
    this.#members = capacities.map((capacity, i) => new WorldMember(this, `m${i}`, capacity));
  }

  run(untilMs: number): void {
    this.#members.forEach((member) => {
      member.start(this.random.nextInt(4_000));
    });
    for (;;) {
      const next = this.#events.reduce<Event | undefined>(
        (first, event) => (first === undefined || event.at < first.at ? event : first),
        undefined,
      );
      if (next === undefined || next.at > untilMs) {
        return;
      }
      this.#events = this.#events.filter((event) => event !== next);
      this.now = next.at;
      next.run();
      this.conflicts += this.#members.filter((member) => member.leads).length > 1 ? 1 : 0;
    }
  }

  after(ms: number, run: () => void): void {
    this.#events.push({ at: this.now + ms, run });
  }

  delay(): number {
    const bound = this.random.next() < SLOW_SHARE ? LONG_DELAY_MS : SHORT_DELAY_MS;
    return this.random.next() * bound;
  }

  /** Commits at some time; answers undefined if that takes longer than the time-out. */
  commit(txn: Omit<Transaction, 'txnId'>, onAnswer: (outcome: TxnOutcome | undefined) => void) {
    const [there, back] = [this.delay(), this.delay()];
    const late = there + back > CALL_TIMEOUT_MS;
    this.after(there, () => {
      const outcome = this.state.commit({ txnId: '', ...txn });
      if (!late) {
        this.after(back, () => {
          onAnswer(outcome);
        });
      }
    });
    if (late) {
      this.after(CALL_TIMEOUT_MS, () => {
        onAnswer(undefined);
      });
    }
  }
}

/** One member, which handles reads and answers as `LeaderElector` does. */
class WorldMember {
  readonly #world: LeaderWorld;
  readonly #lease: LeaderLease;
  readonly #candidacy: LeaderCandidacy;
  #changingOwner = false;
  #ownerChangedAt = -Infinity;
  #beat = 0;

  constructor(world: LeaderWorld, member: string, capacity: number) {
    this.#world = world;
    this.#lease = new LeaderLease(member, `${member}/1`, capacity);
    this.#candidacy = new LeaderCandidacy(member, `${member}/1`, capacity);
  }

  get leads(): boolean {
    const { now } = this.#world;
    return this.#lease.isValid({ now, wall: now });
  }

  start(delayMs: number): void {
    this.#world.after(delayMs, () => {
      this.#pollAndRepeat();
      this.#renewAndRepeat();
    });
  }

  #pollAndRepeat(): void {
    const world = this.#world;
    const sentAt = world.now;
    world.after(world.delay(), () => {
      const rows = world.state.range('cell/', '', 10);
      world.after(world.delay(), () => {
        this.#onRows(rows, sentAt);
        world.after(world.random.next() * POLL_MS, () => {
          this.#pollAndRepeat();
        });
      });
    });
  }

  #renewAndRepeat(): void {
    this.#renew();
    this.#world.after(RENEW_MS, () => {
      this.#renewAndRepeat();
    });
  }

  #onRows(rows: readonly Row[], sentAt: number): void {
    if (this.#changingOwner || sentAt < this.#ownerChangedAt) {
      return;
    }
    const [owner, lease, candidate] = [OWNER, LEASE, CANDIDATE].map((name) =>
      rows.find(({ key }) => key === name),
    );
    const { now } = this.#world;
    const claim = this.#lease.observe({ owner, lease, sentAt, receivedAt: now });
    if (claim !== undefined) {
      this.#claim(claim);
      return;
    }
    const leaderOverloaded = this.#world.random.next() < OVERLOADED_SHARE;
    const read = { owner, candidate, leaderOverloaded, busy: false, now };
    this.#candidacy.observe(read);
    if (this.#lease.term === undefined) {
      this.#ask(this.#candidacy.request(read));
      return;
    }
    const successor = this.#candidacy.successor(read);
    if (successor !== undefined) {
      this.#handOver(successor);
    }
  }

  #claim(claim: NonNullable<ReturnType<LeaderLease['observe']>>): void {
    const { now } = this.#world;
    const conditions = [
      { key: OWNER, version: claim.version },
      { key: LEASE, version: claim.leaseVersion },
    ];
    this.#changeOwner({ conditions, writes: [{ key: OWNER, value: claim.value }] }, (outcome) => {
      if (outcome?.committed === true) {
        this.#world.claims += 1;
        this.#lease.recordClaim(claim, outcome.versions[OWNER] ?? 0, { now, wall: now });
      }
    });
  }

  #handOver(successor: string): void {
    const released = this.#lease.release(successor);
    if (released !== undefined) {
      this.#world.handovers += 1;
      const { version, value } = released;
      const txn = { conditions: [{ key: OWNER, version }], writes: [{ key: OWNER, value }] };
      this.#changeOwner(txn, () => undefined);
    }
  }

  #changeOwner(
    txn: Omit<Transaction, 'txnId'>,
    onAnswer: (outcome: TxnOutcome | undefined) => void,
  ): void {
    this.#changingOwner = true;
    this.#world.commit(txn, (outcome) => {
      onAnswer(outcome);
      this.#changingOwner = false;
      this.#ownerChangedAt = this.#world.now;
    });
  }

  #ask(request: ReturnType<LeaderCandidacy['request']>): void {
    if (request !== undefined) {
      const { version, value } = request;
      const conditions = [{ key: CANDIDATE, version }];
      this.#world.commit({ conditions, writes: [{ key: CANDIDATE, value }] }, () => undefined);
    }
  }

  #renew(): void {
    const { term } = this.#lease;
    if (term === undefined) {
      return;
    }
    const { now } = this.#world;
    this.#beat += 1;
    const conditions = [{ key: OWNER, version: term.epoch }];
    const writes = [{ key: LEASE, value: { beat: this.#beat } }];
    this.#world.commit({ conditions, writes }, (outcome) => {
      if (outcome === undefined || this.#lease.term?.epoch !== term.epoch) {
        return;
      }
      if (outcome.committed) {
        this.#lease.recordRenewal({ now, wall: now });
      } else {
        this.#lease.lost();
      }
    });
  }
}
