import type { InstanceOrder } from './messages.js';
import type { Run } from './run-table.js';

/** An instance that can't be maintained yet. */
export interface WaitingInstance {
  readonly instance: string;
  readonly reason:
    | 'not-up'
    | 'order-handover'
    | 'order-unanswered'
    | 'executor-unseen'
    | 'budget'
    | 'no-room'
    | 'finite-tasks'
    | 'peak';
  /** The lasting step whose `maxUnavailable` budget is used up or whose tasks have no other room. */
  readonly step?: string;
}

/** What is done next with an instance that remains to be maintained. */
export type NextAction =
  | { readonly type: 'order'; readonly order: InstanceOrder }
  /** Stop one lasting task, so that it restarts on another instance. */
  | { readonly type: 'stop'; readonly run: Run }
  | { readonly type: 'wait'; readonly waiting: WaitingInstance; readonly usesSlot: boolean };

/** Whether an instance that was not in flight is so, or is being drained, with this action. */
export function usesSlot(action: NextAction): boolean {
  switch (action.type) {
    case 'wait':
      return action.usesSlot;
    case 'order':
    case 'stop':
      return true;
  }
}

export function wait(waiting: WaitingInstance, usesSlot: boolean): NextAction {
  return { type: 'wait', waiting, usesSlot };
}
