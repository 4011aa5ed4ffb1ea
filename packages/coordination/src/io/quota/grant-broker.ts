import type { Clock, Millis, Random, Revision, TeamName } from '@turmerichoist/core';
import { Actor, every, timeoutSignal, type ActorContext } from '@turmerichoist/runtime';
import type { TableStore, Transaction } from '../../store/index.js';
import {
  GrantLedger,
  type GrantPolicy,
  type QuotaDecision,
  type QuotaEvent,
  type Settlement,
  type UnmetDemand,
} from '../../state/quota/index.js';

/** Interval of ledger ticks, which start due grant rounds and update time-dependent demand. */
const TICK_INTERVAL_MS: Millis = 50;
/** Time-out of store calls. A call that times out has failed or has an unknown outcome. */
const STORE_TIMEOUT_MS: Millis = 2_000;

/** Receives the decisions of the broker. Methods must not block. */
export interface GrantListener {
  /**
   * Units that work may use until `validUntil`. The listener returns the last applied `serial` in
   * its `demand` events.
   */
  onUsable(serial: number, units: ReadonlyMap<TeamName, number>, validUntil: Millis): void;
  /** All unmet demand of this member, to be published to the peers. */
  onUnmetDemand(wants: readonly UnmetDemand[]): void;
  onLimitInForce(team: TeamName, limit: number, revision: Revision): void;
  /** All units have been returned after `stopping`. */
  onReleased(): void;
}

export interface GrantBrokerOptions {
  readonly self: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly store: TableStore;
  readonly listener: GrantListener;
  readonly policy?: GrantPolicy;
}

/** Owns the quota grants of this member and executes the decisions of its `GrantLedger`. */
export class GrantBroker extends Actor<QuotaEvent> {
  readonly #options: GrantBrokerOptions;
  readonly #ledger: GrantLedger;

  constructor(options: GrantBrokerOptions, context: ActorContext) {
    super('grant-broker', context);
    this.#options = options;
    this.#ledger = new GrantLedger(options);
  }

  start(): void {
    every(TICK_INTERVAL_MS, this.signal, () => this.post({ type: 'tick' }));
  }

  protected receive(event: QuotaEvent): void {
    for (const decision of this.#ledger.handle(event, this.#options.clock.now())) {
      this.#execute(decision);
    }
  }

  #execute(decision: QuotaDecision): void {
    const { listener } = this.#options;
    switch (decision.type) {
      case 'usable':
        listener.onUsable(decision.serial, decision.units, decision.validUntil);
        break;
      case 'read':
        void this.#read(decision.keys);
        break;
      case 'commit':
        void this.#commit(decision.txn);
        break;
      case 'want':
        listener.onUnmetDemand(decision.wants);
        break;
      case 'limit-in-force':
        this.log.info('team limit in force', { team: decision.team, limit: decision.limit });
        listener.onLimitInForce(decision.team, decision.limit, decision.revision);
        break;
      case 'released':
        listener.onReleased();
        break;
    }
  }

  async #read(keys: readonly string[]): Promise<void> {
    const signal = timeoutSignal(this.signal, STORE_TIMEOUT_MS);
    const read = await this.#options.store.read(keys, signal);
    this.post(read.isOk() ? { type: 'rows', keys, rows: read.value } : { type: 'read-failed' });
  }

  async #commit(txn: Transaction): Promise<void> {
    const signal = timeoutSignal(this.signal, STORE_TIMEOUT_MS);
    const outcome = await this.#options.store.commit(txn, signal);
    let result: Settlement;
    if (outcome.isOk()) {
      result = outcome.value;
    } else {
      // Only `store-unavailable` guarantees that the transaction did not and will not take effect.
      const kind = outcome.error.kind;
      result = { committed: kind === 'store-unavailable' ? 'no' : 'unknown' };
      this.log.warn('quota transaction failed', { kind, txnId: txn.txnId });
    }
    this.post({ type: 'settled', txnId: txn.txnId, result });
  }
}
