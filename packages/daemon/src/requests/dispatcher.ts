import type {
  Clock,
  Configuration,
  Decider,
  DemandRow,
  Millis,
  RequestDecision,
  RequestEvent,
} from '@turmerichoist/core';
import { Actor, every, type ActorContext, type Recipient } from '@turmerichoist/runtime';

/** Longest delay with which a passed deadline is noticed. */
const TICK_MS: Millis = 25;

/** The request decisions, with the demand that other entries need to know. */
export interface RequestDecisions extends Decider<RequestEvent, RequestDecision> {
  demand(): readonly DemandRow[];
}

export type DispatcherMessage =
  | RequestEvent
  | { readonly type: 'ask-demand'; readonly reply: (rows: readonly DemandRow[]) => void };

export interface DispatcherOptions {
  readonly clock: Clock;
  readonly decisions: RequestDecisions;
  readonly front: () => Recipient<RequestDecision>;
  readonly onConfig?: (cfg: Configuration) => void;
}

/** Owns the request decisions and carries events to them and decisions from them. */
export class Dispatcher extends Actor<DispatcherMessage> {
  readonly #options: DispatcherOptions;

  constructor(context: ActorContext, options: DispatcherOptions) {
    super('dispatcher', context);
    this.#options = options;
    every(TICK_MS, this.signal, () => this.post({ type: 'tick' }));
  }

  protected receive(message: DispatcherMessage): void {
    const { clock, decisions, front } = this.#options;
    if (message.type === 'ask-demand') {
      message.reply(decisions.demand());
      return;
    }
    for (const decision of decisions.handle(message, clock.now())) {
      front().post(decision);
    }
  }
}
