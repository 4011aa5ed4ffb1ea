import { expect, test } from '@jest/globals';
import fc from 'fast-check';
import { ManualClock } from '@turmerichoist/core';
import {
  MemoryTableStore,
  OwnershipManager,
  OwnershipState,
  RoleGuard,
  SESSION_RENEW_MS,
  SessionLease,
  SessionObserver,
  TableState,
  fencingCondition,
  preferredOwner,
  memberKey,
  decodeMemberValue,
  ownerKey,
  type Holding,
  type OwnershipEvent,
} from '@turmerichoist/coordination';
import { silentLogger } from '@turmerichoist/runtime';
import { RUNS, SEED } from './support/runs.js';

// Capturing a stack trace for every `Err` would take most of the time of the runs below.
Error.stackTraceLimit = 0;

const ROLES = ['pool-a', 'pool-b'];
const POLL_MS = 1_000;
type AnswerFault = 'none' | 'lost' | 'late' | 'doubled';

interface RoleWrite {
  readonly role: string;
  readonly epoch: number;
  readonly incarnation: string;
}

/** Simulates one member with its own clock; all calls to the store are synchronous. */
class Member {
  readonly guard = new RoleGuard();
  paused = false;
  partitioned = false;
  fault: AnswerFault = 'none';
  readonly #id: string;
  readonly #table: TableState;
  readonly #clock: () => number;
  readonly #observer = new SessionObserver();
  readonly #ownership: OwnershipState;
  #lease: SessionLease;
  #beat = 0;
  #renewedAt = -Infinity;
  #polledAt = -Infinity;
  /** Delayed responses, from which the member learns the outcomes later. */
  #late: readonly (() => void)[] = [];

  constructor(id: string, table: TableState, clock: () => number) {
    this.#id = id;
    this.#table = table;
    this.#clock = clock;
    this.#ownership = new OwnershipState(id);
    this.#ownership.setRoles(ROLES);
    this.#lease = new SessionLease(`${id}/0`);
  }

  run(): void {
    const now = this.#clock();
    if (this.paused) {
      return;
    }
    if (this.#lease.hasLapsed(now)) {
      this.#endSession();
    }
    if (!this.partitioned && now - this.#renewedAt >= SESSION_RENEW_MS) {
      this.#renew(now);
    }
    if (!this.partitioned && now - this.#polledAt >= POLL_MS) {
      this.#poll(now);
    }
  }

  /** Delivers the delayed responses. */
  deliver(): void {
    this.#late.forEach((arrive) => {
      arrive();
    });
    this.#late = [];
  }

  /** Writes under a role; returns the write if the store accepted it. */
  act(role: string, checked = this.guard.check(role, this.#clock())): RoleWrite | undefined {
    if (checked.isErr()) {
      return undefined;
    }
    const { epoch } = checked.value;
    const { incarnation } = this.#lease;
    const outcome = this.#table.commit({
      txnId: 'act',
      conditions: [fencingCondition(checked.value)],
      writes: [{ key: `act/${role}`, value: epoch }],
    });
    return outcome.committed ? { role, epoch, incarnation } : undefined;
  }

  #endSession(): void {
    this.#ownership.onSessionEnded(this.#lease.incarnation);
    this.guard.handle({ type: 'session-ended' });
    this.#lease.end();
    this.#beat += 1;
    this.#lease = new SessionLease(`${this.#id}/${this.#beat}`);
    this.#renewedAt = -Infinity;
  }

  #renew(sentAt: number): void {
    const key = memberKey(this.#id);
    const { incarnation } = this.#lease;
    this.#beat += 1;
    const value = { incarnation, beat: this.#beat, address: '', zone: '', appliedRevision: 0 };
    this.#table.commit({ txnId: 'renew', conditions: [], writes: [{ key, value }] });
    this.#respond(() => {
      if (
        this.#lease.incarnation !== incarnation ||
        !this.#lease.recordRenewal(sentAt, this.#clock())
      ) {
        return;
      }
      this.#renewedAt = sentAt;
      this.#ownership.onSessionValid(incarnation);
      this.guard.handle({ type: 'session', validUntil: this.#lease.validUntil });
    });
  }

  #poll(sentAt: number): void {
    this.#polledAt = sentAt;
    const members = this.#table.range('member/', '', 9).map(({ key, version, value }) => {
      const incarnation = decodeMemberValue(value)?.incarnation ?? '';
      return { memberId: key.slice('member/'.length), version, incarnation };
    });
    this.#observer.observe(members, { sentAt, receivedAt: this.#clock() });
    const decisions = this.#ownership.plan(this.#table.range('owner/', '', 9), this.#observer);
    for (const decision of decisions) {
      if (decision.type !== 'claim') {
        this.guard.handle(decision);
        continue;
      }
      const { update } = decision;
      const txn = { txnId: 'claim', conditions: [update.condition], writes: [update.write] };
      const outcome = this.#table.commit(txn);
      const doubled = this.fault === 'doubled' && !this.#table.commit(txn).committed;
      if (outcome.committed && !doubled) {
        const version = outcome.versions[update.condition.key];
        this.#respond(() => {
          this.#ownership.onClaimed(update, version).forEach((event) => {
            if (event.type !== 'claim') {
              this.guard.handle(event);
            }
          });
        });
      }
    }
  }

  #respond(arrive: () => void): void {
    if (this.fault === 'late') {
      this.#late = [...this.#late, arrive];
    } else if (this.fault !== 'lost') {
      arrive();
    }
  }
}

test('at most one member may act on a role, and a write of an earlier owner never takes effect', () => {
  const step = fc.record({
    member: fc.nat({ max: 2 }),
    paused: fc.boolean(),
    cut: fc.boolean(),
    storeDown: fc.constantFrom(false, false, false, true),
    fault: fc.constantFrom<AnswerFault>('none', 'none', 'none', 'lost', 'late', 'doubled'),
    deliver: fc.boolean(),
    seconds: fc.integer({ min: 1, max: 14 }),
  });
  const rates = fc.array(fc.constantFrom(1, 1.005, 1.01), { minLength: 3, maxLength: 3 });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 8 }), rates, (steps, drawnRates) => {
      let now = 0;
      const table = new TableState();
      const members = drawnRates.map(
        (rate, index) => new Member(`m${index}`, table, () => now * rate),
      );
      const acts: RoleWrite[] = [];
      for (const { member, paused, cut, storeDown, fault, deliver, seconds } of steps) {
        const target = members[member];
        if (target === undefined) {
          continue;
        }
        // A member may be paused between its check and the write, which it sends when it resumes.
        const stale = ROLES.map((role) => ({ role, checked: target.guard.check(role, now) }));
        Object.assign(target, { paused, fault });
        members.forEach((one) => {
          one.partitioned = storeDown || (cut && one === target);
        });
        for (let at = 0; at < seconds * 4; at++) {
          now += 250;
          members.forEach((one) => {
            one.run();
          });
          for (const role of ROLES) {
            const eligible = members.filter((one, index) =>
              one.guard.check(role, now * (drawnRates[index] ?? 1)).isOk(),
            );
            if (eligible.length > 1) {
              throw new Error(`${eligible.length} members may act on ${role} at ${now}`);
            }
            acts.push(...eligible.flatMap((one) => one.act(role) ?? []));
          }
        }
        acts.push(...stale.flatMap(({ role, checked }) => target.act(role, checked) ?? []));
        if (deliver) {
          target.deliver();
        }
      }
      for (const role of ROLES) {
        const epochs = acts.filter((act) => act.role === role).map(({ epoch }) => epoch);
        expect(epochs).toEqual(epochs.toSorted((a, b) => a - b));
      }
    }),
    { seed: SEED, numRuns: RUNS, endOnFailure: true },
  );
});

test('a role moves only from members that leave', () => {
  const all = ['a', 'b', 'c', 'd'];
  const roles = Array.from({ length: 200 }, (_, index) => `pool-${index}`);
  const moved = roles.filter((role) => {
    const before = preferredOwner(role, all);
    return before !== 'd' && before !== preferredOwner(role, ['a', 'b', 'c']);
  });
  expect(moved).toEqual([]);
});

test('a claim of a role that is already taken does not succeed', () => {
  const table = new TableState();
  const claims = ['a', 'b'].map((id) => {
    const ownership = new OwnershipState(id);
    const observer = new SessionObserver();
    ownership.setRoles(['r']);
    ownership.onSessionValid(`${id}/1`);
    observer.observe([{ memberId: id, version: 1, incarnation: `${id}/1` }], {
      sentAt: 0,
      receivedAt: 0,
    });
    return ownership.plan([], observer)[0];
  });
  const outcomes = claims.map((claim) =>
    claim?.type === 'claim'
      ? table.commit({
          txnId: 't',
          conditions: [claim.update.condition],
          writes: [claim.update.write],
        }).committed
      : undefined,
  );
  expect(outcomes).toEqual([true, false]);
});

function createManager(store: MemoryTableStore, memberId: string) {
  const clock = new ManualClock();
  const events: OwnershipEvent[] = [];
  let ids = 0;
  const actor = new OwnershipManager(
    {
      memberId,
      store,
      clock,
      newId: () => `${memberId}-${(ids += 1)}`,
      listeners: [{ post: (event) => events.push(event) > 0 }],
    },
    { log: silentLogger, signal: new AbortController().signal },
  );
  const member = {
    incarnation: `${memberId}/1`,
    beat: 1,
    address: '',
    zone: '',
    appliedRevision: 0,
  };
  store.state.commit({
    txnId: 't',
    conditions: [],
    writes: [{ key: memberKey(memberId), value: member }],
  });
  actor.post({
    type: 'session',
    incarnation: `${memberId}/1`,
    validUntil: 9e9,
    requestsUntil: 9e9,
  });
  actor.post({ type: 'roles', roles: ['r'] });
  const tick = async (): Promise<void> => {
    clock.advance(POLL_MS);
    actor.post({ type: 'tick' });
    for (let turn = 0; turn < 3; turn++) {
      await new Promise((resolve) => setImmediate(resolve));
      await actor.idle();
    }
  };
  return { actor, events, tick };
}

test('a claim whose response was lost is found by reading the row', async () => {
  const store = new MemoryTableStore();
  const { events, tick } = createManager(store, 'a');
  store.setFaults({ loseAnswers: 1 });
  await tick();
  expect(events).toEqual([]);
  await tick();
  const holding: Holding = { role: 'r', epoch: 1, version: 1 };
  expect(events).toEqual([{ type: 'owned', holding }]);
});

test('a planned stop lets the next member take over at its next poll', async () => {
  const store = new MemoryTableStore();
  const first = createManager(store, 'a');
  await first.tick();
  const second = createManager(store, 'b');
  await second.tick();
  expect(second.events).toEqual([]);
  await new Promise<void>((resolve) => {
    first.actor.post({ type: 'stop', done: resolve });
  });
  store.state.commit({
    txnId: 't',
    conditions: [],
    writes: [{ key: memberKey('a'), value: null }],
  });
  await second.tick();
  expect(first.events.at(-1)).toEqual({ type: 'lost', role: 'r' });
  expect(second.events).toEqual([{ type: 'owned', holding: { role: 'r', epoch: 2, version: 3 } }]);
  expect(store.state.read([ownerKey('r')])).toHaveLength(1);
});
