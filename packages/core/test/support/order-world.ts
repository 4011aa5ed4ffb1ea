import {
  AnnouncedOrders,
  ORDER_SETTLE_MS,
  OrderHandover,
  SeededRandom,
  type OrdersRecord,
} from '../../src/index.js';

export const HANDOVER_MS = 3_000;
const MEMBERS = ['a', 'b', 'c'];
const INSTANCES = ['i1', 'i2', 'i3', 'i4', 'i5', 'i6'];
const DECISION_PERIOD_MS = 200;
const CLEANUP_PERIOD_MS = 1_000;
const LONGEST_TERM_MS = 6_000;
/** Between the last moment at which a leader may act and the election of one that waited for it. */
const LEAST_EXPIRY_MS = 250;
const SHORT_DELAY_MS = 30;
const LONG_DELAY_MS = 1_500;
const SLOW_SHARE = 0.15;
const LOST_SHARE = 0.2;

interface Event {
  readonly at: number;
  readonly run: () => void;
}

/** An order that the platform has carried out. */
export interface CarriedOut {
  readonly instance: string;
  readonly holder: string;
  readonly at: number;
}

/** Leaders of one cell that follow each other, on a virtual clock. */
export class OrderWorld {
  readonly random: SeededRandom;
  readonly orders: CarriedOut[] = [];
  now = 0;
  takeovers = 0;
  /** Orders that were sent less than the handover time after the sender's election. */
  earlyOrders = 0;
  epoch = 0;
  record: OrdersRecord | undefined;
  #events: Event[] = [];
  #leader: WorldLeader;

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
    this.#leader = new WorldLeader(this, 'a', true);
  }

  run(untilMs: number): void {
    this.#leader.start();
    this.#endTermLater();
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
    }
  }

  after(ms: number, run: () => void): void {
    this.#events.push({ at: this.now + ms, run });
  }

  chance(share: number): boolean {
    return this.random.next() < share;
  }

  delay(): number {
    return this.random.next() * (this.chance(SLOW_SHARE) ? LONG_DELAY_MS : SHORT_DELAY_MS);
  }

  pick<T>(from: readonly T[]): T {
    return from[this.random.nextInt(from.length)] as T;
  }

  /** Pairs of orders to one instance by two holders within the handover time. */
  conflicts(): readonly (readonly [CarriedOut, CarriedOut])[] {
    const sorted = [...this.orders].sort((a, b) => a.at - b.at);
    return sorted.flatMap((later, index) =>
      sorted
        .slice(0, index)
        .filter(
          ({ instance, holder, at }) =>
            instance === later.instance && holder !== later.holder && later.at - at < HANDOVER_MS,
        )
        .map((earlier) => [earlier, later] as const),
    );
  }

  /** The leader releases the cell, is restarted, or lets its lease lapse. */
  #endTermLater(): void {
    this.after(this.random.next() * LONGEST_TERM_MS, () => {
      const former = this.#leader;
      former.mayAct = false;
      const member = this.pick(MEMBERS);
      const atOnce = member === former.member || this.chance(0.5);
      this.after(atOnce ? this.delay() : LEAST_EXPIRY_MS + this.delay(), () => {
        this.takeovers += 1;
        this.epoch += 1;
        this.#leader = new WorldLeader(this, member, false);
        this.#leader.start();
        this.#endTermLater();
      });
    });
  }
}

/** One term, which handles orders and rows as `InstanceControl` and `OrderAnnouncer` do. */
class WorldLeader {
  readonly member: string;
  mayAct = true;
  readonly #world: OrderWorld;
  readonly #announced: AnnouncedOrders;
  readonly #handover: OrderHandover;
  readonly #electedAt: number;
  readonly #epoch: number;
  readonly #first: boolean;
  readonly #ordering = new Set<string>();
  readonly #waiting: string[] = [];
  #writing = false;
  /** Number of the latest write that has been carried out, which rules out earlier ones. */
  #carriedOut = 0;
  #writes = 0;

  constructor(world: OrderWorld, member: string, first: boolean) {
    this.#world = world;
    this.member = member;
    this.#first = first;
    this.#electedAt = world.now;
    this.#epoch = world.epoch;
    this.#announced = new AnnouncedOrders({ holder: member, handoverMs: HANDOVER_MS });
    this.#handover = new OrderHandover(
      first ? world.now : world.now + HANDOVER_MS + ORDER_SETTLE_MS,
    );
  }

  start(): void {
    if (!this.#first) {
      this.#readRecord();
    }
    this.#decideAndRepeat();
    this.#cleanUpAndRepeat();
  }

  #readRecord(): void {
    this.#world.after(this.#world.delay(), () => {
      const { record } = this.#world;
      this.#world.after(this.#world.delay(), () => {
        const held = record && this.#announced.inherit(record, this.#electedAt);
        this.#handover.setHeld(held ?? []);
      });
    });
  }

  #decideAndRepeat(): void {
    const { now } = this.#world;
    for (const instance of INSTANCES) {
      const free = !this.#ordering.has(instance) && !this.#handover.isHeld(instance, now);
      if (this.mayAct && free && this.#world.chance(0.3)) {
        this.#announce(instance);
      }
    }
    this.#write();
    this.#world.after(this.#world.random.next() * DECISION_PERIOD_MS, () => {
      this.#decideAndRepeat();
    });
  }

  #cleanUpAndRepeat(): void {
    if (!this.#writing && this.#announced.isOutdated(this.#world.now)) {
      this.#startWrite([]);
    }
    this.#world.after(CLEANUP_PERIOD_MS, () => {
      this.#cleanUpAndRepeat();
    });
  }

  #announce(instance: string): void {
    this.#ordering.add(instance);
    if (!this.#announced.begin(instance, this.#world.now)) {
      this.#ordering.delete(instance);
    } else if (this.#announced.isStored(instance)) {
      this.#send(instance);
    } else {
      this.#waiting.push(instance);
    }
  }

  #write(): void {
    if (!this.#writing && this.#waiting.length > 0) {
      this.#startWrite(this.#waiting.splice(0));
    }
  }

  #startWrite(batch: readonly string[]): void {
    const world = this.#world;
    this.#writing = true;
    this.#writes += 1;
    const number = this.#writes;
    const record = this.#announced.startWrite(world.now);
    const lost = world.chance(LOST_SHARE);
    world.after(lost ? world.random.next() * 2 * LONG_DELAY_MS : world.delay(), () => {
      if (world.epoch === this.#epoch && number > this.#carriedOut) {
        this.#carriedOut = number;
        world.record = record;
      }
      if (!lost) {
        this.#endWrite(batch, world.epoch === this.#epoch);
      }
    });
    if (lost) {
      world.after(world.random.next() * LONG_DELAY_MS, () => {
        this.#endWrite(batch, false);
      });
    }
  }

  #endWrite(batch: readonly string[], stored: boolean): void {
    this.#announced.endWrite(stored);
    this.#writing = false;
    batch.forEach((instance) => {
      if (stored) {
        this.#send(instance);
      } else {
        this.#end(instance, true);
      }
    });
    this.#write();
  }

  /** An order is carried out before its call times out, whether its answer arrives or not. */
  #send(instance: string): void {
    const world = this.#world;
    if (!this.mayAct) {
      this.#end(instance, true);
      return;
    }
    world.earlyOrders += world.now - this.#electedAt < HANDOVER_MS && !this.#first ? 1 : 0;
    const takesMs = world.chance(SLOW_SHARE)
      ? world.random.next() * ORDER_SETTLE_MS
      : world.delay() / 2;
    const answered = !world.chance(LOST_SHARE);
    world.after(takesMs, () => {
      world.orders.push({ instance, holder: this.member, at: world.now });
      if (answered) {
        this.#end(instance, true);
      }
    });
    if (!answered) {
      world.after(ORDER_SETTLE_MS, () => {
        this.#end(instance, false);
      });
    }
  }

  #end(instance: string, answered: boolean): void {
    this.#announced.end(instance, answered, this.#world.now);
    this.#ordering.delete(instance);
  }
}
