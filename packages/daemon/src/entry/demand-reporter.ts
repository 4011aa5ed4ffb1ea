import type { PeerMesh, QuotaEvent, TeamDemand } from '@turmerichoist/coordination';
import type { DemandRow, Millis, TeamName } from '@turmerichoist/core';
import { every, type Recipient } from '@turmerichoist/runtime';
import type { DispatcherMessage } from '../requests/index.js';

/** Period of demand reports to the grant broker. */
const REPORT_PERIOD_MS: Millis = 100;

/** Period of demand broadcasts to the other entries. */
const PUBLISH_PERIOD_MS: Millis = 500;

export interface DemandReporterOptions {
  readonly dispatcher: Recipient<DispatcherMessage>;
  readonly broker: Recipient<QuotaEvent>;
  readonly mesh: Pick<PeerMesh, 'publish'>;
  readonly signal: AbortSignal;
}

/**
 * Reports the requests that wait and run at this entry to the grant broker and the other entries.
 */
export class DemandReporter {
  readonly #options: DemandReporterOptions;
  #appliedSerial = 0;
  #publishedDemand = false;

  constructor(options: DemandReporterOptions) {
    this.#options = options;
  }

  start(): void {
    const { signal } = this.#options;
    every(REPORT_PERIOD_MS, signal, () => {
      this.#requestDemand((rows, serial) => {
        this.#options.broker.post({
          type: 'demand',
          teams: sumByTeam(rows),
          appliedSerial: serial,
        });
      });
    });
    every(PUBLISH_PERIOD_MS, signal, () => {
      this.#requestDemand((rows) => {
        this.#publish(rows);
      });
    });
  }

  /**
   * Posts usable units to the dispatcher. Demand that is requested afterwards takes them into
   * account.
   */
  grantsChanged(serial: number, units: ReadonlyMap<TeamName, number>, validUntil: Millis): void {
    this.#options.dispatcher.post({ type: 'grants-changed', units, validUntil });
    this.#appliedSerial = serial;
  }

  #requestDemand(onDemand: (rows: readonly DemandRow[], serial: number) => void): void {
    const serial = this.#appliedSerial;
    const reply = (rows: readonly DemandRow[]): void => {
      onDemand(rows, serial);
    };
    this.#options.dispatcher.post({ type: 'ask-demand', reply });
  }

  /** Publishes the queues with waiting requests, and one empty message when none has any left. */
  #publish(rows: readonly DemandRow[]): void {
    const contended = new Set(rows.filter(({ waiting }) => waiting > 0).map(({ queue }) => queue));
    const sent = rows.filter(({ queue }) => contended.has(queue));
    if (sent.length > 0 || this.#publishedDemand) {
      this.#options.mesh.publish({ type: 'demand', rows: sent });
    }
    this.#publishedDemand = sent.length > 0;
  }
}

function sumByTeam(rows: readonly DemandRow[]): readonly TeamDemand[] {
  const teams = new Map<TeamName, TeamDemand>();
  for (const { team, running, waiting } of rows) {
    const known = teams.get(team) ?? { team, running: 0, waiting: 0 };
    teams.set(team, { team, running: known.running + running, waiting: known.waiting + waiting });
  }
  return [...teams.values()];
}
