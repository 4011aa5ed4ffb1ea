import type { PeerMesh, QuotaEvent, TeamDemand } from '@turmerichoist/coordination';
import type { DemandRow, Millis, TeamName } from '@turmerichoist/core';
import { every, type Recipient } from '@turmerichoist/runtime';
import type { DispatcherMessage } from '../requests/index.js';

/** Period at which the grant broker hears of the demand. */
const REPORT_MS: Millis = 100;

/** Period at which the other entries hear of the demand. */
const SHARE_PUBLISH_MS: Millis = 500;

export interface DemandReporterOptions {
  readonly dispatcher: Recipient<DispatcherMessage>;
  readonly broker: Recipient<QuotaEvent>;
  readonly mesh: Pick<PeerMesh, 'publish'>;
  readonly signal: AbortSignal;
}

/** Tells the grant broker and the other entries about the work that waits and runs here. */
export class DemandReporter {
  readonly #options: DemandReporterOptions;
  #appliedSerial = 0;
  #published = false;

  constructor(options: DemandReporterOptions) {
    this.#options = options;
  }

  start(): void {
    const { signal } = this.#options;
    every(REPORT_MS, signal, () => {
      this.#ask((rows, serial) => {
        this.#options.broker.post({ type: 'demand', teams: byTeam(rows), appliedSerial: serial });
      });
    });
    every(SHARE_PUBLISH_MS, signal, () => {
      this.#ask((rows) => {
        this.#publish(rows);
      });
    });
  }

  /** Passes usable units on; demand that is asked for afterwards follows them. */
  grantsChanged(serial: number, units: ReadonlyMap<TeamName, number>, validUntil: Millis): void {
    this.#options.dispatcher.post({ type: 'grants-changed', units, validUntil });
    this.#appliedSerial = serial;
  }

  #ask(use: (rows: readonly DemandRow[], serial: number) => void): void {
    const serial = this.#appliedSerial;
    const reply = (rows: readonly DemandRow[]): void => {
      use(rows, serial);
    };
    this.#options.dispatcher.post({ type: 'ask-demand', reply });
  }

  /** Publishes the queues in which work waits; once more empty when none does any longer. */
  #publish(rows: readonly DemandRow[]): void {
    const contended = new Set(rows.filter(({ waiting }) => waiting > 0).map(({ queue }) => queue));
    const sent = rows.filter(({ queue }) => contended.has(queue));
    if (sent.length > 0 || this.#published) {
      this.#options.mesh.publish({ type: 'demand', rows: sent });
    }
    this.#published = sent.length > 0;
  }
}

function byTeam(rows: readonly DemandRow[]): readonly TeamDemand[] {
  const teams = new Map<TeamName, TeamDemand>();
  for (const { team, running, waiting } of rows) {
    const known = teams.get(team) ?? { team, running: 0, waiting: 0 };
    teams.set(team, { team, running: known.running + running, waiting: known.waiting + waiting });
  }
  return [...teams.values()];
}
