import type {
  AppError,
  Clock,
  Incarnation,
  MemberId,
  Millis,
  Random,
  Result,
} from '@turmerichoist/core';
import {
  Actor,
  LoopLateness,
  every,
  sleep,
  type ActorContext,
  type Recipient,
} from '@turmerichoist/runtime';
import {
  LeaderCandidacy,
  type CandidateRequest,
  type CandidateRows,
} from '../state/leader-candidacy.js';
import {
  LEADER_TTL_MS,
  LeaderLease,
  type ClockReadings,
  type LeaderClaim,
  type LeaderTerm,
} from '../state/leader-lease.js';
import type { JsonValue, Row, RowVersion, TableStore, TxnOutcome } from '../store/index.js';
import { callTimeout } from './store/call-timeout.js';

/** Interval between renewals of the lease. Three may fail within its lifetime, `LEADER_TTL_MS`. */
const RENEW_INTERVAL_MS: Millis = 350;
/**
 * Renewals that may be under way at once. The store may let each wait for up to a second; with one
 * at a time, the lease would end before the second one is answered.
 */
const MAX_RENEWALS_IN_FLIGHT = 3;
/** A later answer could not keep the lease from ending before the next renewal. */
const RENEW_TIMEOUT_MS: Millis = LEADER_TTL_MS - RENEW_INTERVAL_MS;
/** Upper bound of the random delay before a claim, which makes conflicting claims rare. */
const MAX_CLAIM_JITTER_MS: Millis = 40;

export const CELL_OWNER_KEY = 'cell/owner';
export const CELL_LEASE_KEY = 'cell/lease';
export const CELL_CANDIDATE_KEY = 'cell/candidate';

export type LeaderMessage =
  /** Reads the rows at once, unless a read is under way. */
  | { readonly type: 'poll' }
  | { readonly type: 'renew' }
  | { readonly type: 'stop'; readonly done: () => void };

export type LeaderEvent =
  | { readonly type: 'elected'; readonly term: LeaderTerm }
  | { readonly type: 'deposed' }
  | LeaderPublication;

/** The bulletin that the leader of the cell published with its last renewal, as of one read. */
export interface LeaderPublication {
  readonly type: 'published';
  readonly bulletin: JsonValue;
  /** Epoch of the leader that wrote it; undefined if the row does not tell. */
  readonly epoch: RowVersion | undefined;
  /** Number of the renewal, which increases within an epoch. */
  readonly beat: number;
  /** Monotonic time at which the read was sent. */
  readonly sentAt: Millis;
}

/** Value of the lease row. */
interface LeaseValue {
  readonly epoch?: RowVersion;
  readonly beat: number;
  readonly bulletin: JsonValue;
}

export interface LeaderElectorOptions {
  readonly member: MemberId;
  readonly incarnation: Incarnation;
  /** Capacity of this member for leading, as returned by `leaderCapacity`. */
  readonly capacity: number;
  readonly store: TableStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly newId: () => string;
  readonly listener: Recipient<LeaderEvent>;
  /** Builds the bulletin to publish with each renewal while this member is the leader. */
  readonly bulletin: () => JsonValue;
}

/** Leases of versions that did not publish it count as not overloaded. */
function isOverloaded(lease: Row | undefined): boolean {
  return (lease?.value as { readonly overloaded?: unknown } | undefined)?.overloaded === true;
}

/** Leader election for one cell: watches the lease, claims it when it is free and renews it. */
export class LeaderElector extends Actor<LeaderMessage> {
  readonly #options: LeaderElectorOptions;
  readonly #lease: LeaderLease;
  readonly #candidacy: LeaderCandidacy;
  readonly #lateness = new LoopLateness(RENEW_INTERVAL_MS);
  #announcedTerm: LeaderTerm | undefined;
  #stopped = false;
  #reading = false;
  /** Whether a claim or a release is under way. */
  #changingOwner = false;
  /** Monotonic time at which the last claim or release ended; earlier reads are out of date. */
  #ownerChangedAt: Millis = -Infinity;
  #renewalsInFlight = 0;
  #renewalCount = 0;

  constructor(options: LeaderElectorOptions, context: ActorContext) {
    super('leader', context);
    this.#options = options;
    const { member, incarnation, capacity } = options;
    this.#lease = new LeaderLease(member, incarnation, capacity);
    this.#candidacy = new LeaderCandidacy(member, incarnation, capacity);
  }

  start(): void {
    void this.#runReads();
    every(RENEW_INTERVAL_MS, this.signal, () => {
      this.#lateness.tick(this.#options.clock.now());
      this.post({ type: 'renew' });
    });
  }

  /** Whether this member is the leader of `term` now, with a lease that has not expired. */
  isLeaderOf(term: LeaderTerm): boolean {
    return this.#lease.term?.epoch === term.epoch && this.#lease.isValid(this.#readClocks());
  }

  protected async receive(message: LeaderMessage): Promise<void> {
    switch (message.type) {
      case 'poll':
        void this.#read(this.#options.clock.now());
        return;
      case 'renew':
        void this.#renew();
        return;
      case 'stop':
        await this.#stop();
        message.done();
    }
  }

  #readClocks(): ClockReadings {
    const { clock } = this.#options;
    return { now: clock.now(), wall: clock.wall() };
  }

  /** Reads the rows one read at a time, at the times that the lease asks for. */
  async #runReads(): Promise<void> {
    const { clock } = this.#options;
    while (!this.signal.aborted) {
      const sentAt = clock.now();
      await this.#read(sentAt);
      await sleep(Math.max(0, this.#lease.nextReadAt(sentAt) - clock.now()), this.signal);
    }
  }

  async #read(sentAt: Millis): Promise<void> {
    if (this.#reading) {
      return;
    }
    this.#reading = true;
    const read = await this.#options.store.range('cell/', '', 10, this.signal);
    this.#reading = false;
    if (read.isErr()) {
      this.log.debug('cell rows not readable', { error: read.error.kind });
      return;
    }
    // What follows from the rows may take a transaction, during which reads go on.
    void this.#onRowsRead(read.value, sentAt);
  }

  async #onRowsRead(rows: readonly Row[], sentAt: Millis): Promise<void> {
    const owner = rows.find(({ key }) => key === CELL_OWNER_KEY);
    const lease = rows.find(({ key }) => key === CELL_LEASE_KEY);
    if (lease !== undefined) {
      const { bulletin, beat, epoch } = lease.value as unknown as LeaseValue;
      this.#options.listener.post({ type: 'published', bulletin, epoch, beat, sentAt });
    }
    if (this.#stopped || this.#changingOwner || sentAt < this.#ownerChangedAt) {
      return;
    }
    const receivedAt = this.#options.clock.now();
    const claim = this.#lease.observe({ owner, lease, sentAt, receivedAt });
    this.#notifyIfTermChanged();
    if (claim !== undefined) {
      await this.#changeOwner(() => this.#claim(claim));
      return;
    }
    const candidate = rows.find(({ key }) => key === CELL_CANDIDATE_KEY);
    await this.#considerHandover({
      owner,
      candidate,
      leaderOverloaded: isOverloaded(lease),
      busy: this.#lateness.late,
      now: receivedAt,
    });
  }

  /** Asks a smaller leader for the cell, or hands it over to a larger candidate. */
  async #considerHandover(rows: CandidateRows): Promise<void> {
    this.#candidacy.observe(rows);
    const { term } = this.#lease;
    const request = term === undefined ? this.#candidacy.request(rows) : undefined;
    if (request !== undefined) {
      await this.#writeCandidate(request);
    }
    const successor = term === undefined ? undefined : this.#candidacy.successor(rows);
    if (successor !== undefined) {
      await this.#changeOwner(() => this.#release(successor));
    }
  }

  async #writeCandidate({ version, value }: CandidateRequest): Promise<void> {
    const { store, newId } = this.#options;
    const key = CELL_CANDIDATE_KEY;
    const conditions = [{ key, version }];
    const writes = [{ key, value }];
    const written = await store.commit({ txnId: newId(), conditions, writes }, this.signal);
    this.log.info('leadership asked for', { written: written.isOk(), capacity: value.capacity });
  }

  /** Keeps reads that overlap a change of the owner row from being taken for what follows it. */
  async #changeOwner(change: () => Promise<void>): Promise<void> {
    this.#changingOwner = true;
    await change();
    this.#ownerChangedAt = this.#options.clock.now();
    this.#changingOwner = false;
  }

  async #claim(claim: LeaderClaim): Promise<void> {
    await sleep(this.#options.random.next() * MAX_CLAIM_JITTER_MS, this.signal);
    if (this.#stopped) {
      return;
    }
    const { store, newId } = this.#options;
    const sentAt = this.#readClocks();
    const claimed = await store.commit(
      {
        txnId: newId(),
        conditions: [
          { key: CELL_OWNER_KEY, version: claim.version },
          { key: CELL_LEASE_KEY, version: claim.leaseVersion },
        ],
        writes: [{ key: CELL_OWNER_KEY, value: claim.value }],
      },
      this.signal,
    );
    if (claimed.isOk() && claimed.value.committed) {
      this.#lease.recordClaim(claim, claimed.value.versions[CELL_OWNER_KEY] ?? 0, sentAt);
      this.log.info('leadership claimed', {
        epoch: this.#lease.term?.epoch,
        generation: claim.value.generation,
        capacity: claim.value.capacity,
      });
      this.#notifyIfTermChanged();
      void this.#renew();
    }
  }

  async #renew(): Promise<void> {
    const term = this.#lease.term;
    if (term === undefined || this.#renewalsInFlight >= MAX_RENEWALS_IN_FLIGHT || this.#stopped) {
      return;
    }
    this.#renewalsInFlight += 1;
    const sentAt = this.#readClocks();
    const renewed = await this.#writeLease(term);
    this.#renewalsInFlight -= 1;
    if (renewed.isErr()) {
      this.log.warn('leadership not renewed', { error: renewed.error.kind, epoch: term.epoch });
      return;
    }
    // A late answer says nothing about a term that has begun since.
    if (this.#lease.term?.epoch !== term.epoch) {
      return;
    }
    if (renewed.value.committed) {
      this.#lease.recordRenewal(sentAt);
    } else {
      this.#lease.lost();
      this.#notifyIfTermChanged();
    }
  }

  async #writeLease({ epoch }: LeaderTerm): Promise<Result<TxnOutcome, AppError>> {
    this.#renewalCount += 1;
    const { overloaded } = this.#lateness;
    const bulletin = this.#options.bulletin();
    const value = { epoch, beat: this.#renewalCount, bulletin, overloaded };
    const timeout = callTimeout(this.signal, RENEW_TIMEOUT_MS);
    try {
      return await this.#options.store.commit(
        {
          txnId: this.#options.newId(),
          conditions: [{ key: CELL_OWNER_KEY, version: epoch }],
          writes: [{ key: CELL_LEASE_KEY, value }],
        },
        timeout.signal,
      );
    } finally {
      timeout.clear();
    }
  }

  /** Notifies the listener when the term has changed. */
  #notifyIfTermChanged(): void {
    const term = this.#lease.term;
    if (term?.epoch === this.#announcedTerm?.epoch) {
      return;
    }
    if (this.#announcedTerm !== undefined) {
      this.log.warn('leadership lost', { epoch: this.#announcedTerm.epoch });
      this.#options.listener.post({ type: 'deposed' });
    }
    this.#announcedTerm = term;
    if (term !== undefined) {
      this.#options.listener.post({ type: 'elected', term });
    }
  }

  async #stop(): Promise<void> {
    this.#stopped = true;
    await this.#release('');
  }

  /** Ends the term, so that another member can claim the cell without waiting for its expiry. */
  async #release(successor: MemberId): Promise<void> {
    const released = this.#lease.release(successor);
    if (released === undefined) {
      return;
    }
    const { store, newId } = this.#options;
    const { version, value } = released;
    await store.commit(
      {
        txnId: newId(),
        conditions: [{ key: CELL_OWNER_KEY, version }],
        writes: [{ key: CELL_OWNER_KEY, value }],
      },
      this.signal,
    );
    this.#notifyIfTermChanged();
    this.log.info('leadership released', { epoch: version, successor });
  }
}
