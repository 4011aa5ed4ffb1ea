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

/** Period of ticks, which bounds the delay until a passed deadline is noticed. */
const TICK_MS: Millis = 25;

/** The decider for requests, which also reports the demand that other entries need to know. */
export interface RequestDeciderWithDemand extends Decider<RequestEvent, RequestDecision> {
  demand(): readonly DemandRow[];
}

export type DispatcherMessage =
  | RequestEvent
  | { readonly type: 'ask-demand'; readonly reply: (rows: readonly DemandRow[]) => void };

export interface DispatcherOptions {
  readonly clock: Clock;
  readonly decider: RequestDeciderWithDemand;
  readonly front: () => Recipient<RequestDecision>;
  readonly onConfig?: (cfg: Configuration) => void;
}

/** Owns the request decider: passes events to it and posts its decisions to the front end. */
export class Dispatcher extends Actor<DispatcherMessage> {
  readonly #options: DispatcherOptions;

  constructor(context: ActorContext, options: DispatcherOptions) {
    super('dispatcher', context);
    this.#options = options;
    every(TICK_MS, this.signal, () => this.post({ type: 'tick' }));
  }

  protected receive(message: DispatcherMessage): void {
    const { clock, decider, front } = this.#options;
    if (message.type === 'ask-demand') {
      message.reply(decider.demand());
      return;
    }
    for (const decision of decider.handle(message, clock.now())) {
      front().post(decision);
    }
  }
}
