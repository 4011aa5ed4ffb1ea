import type { Holding, OwnershipEvent } from '@turmerichoist/coordination';
import type { FleetEvent, Millis, StoredRow } from '@turmerichoist/core';

export type FleetOwnerMessage =
  | OwnershipEvent
  | Extract<
      FleetEvent,
      {
        type:
          | 'config-changed'
          | 'instance-seen'
          | 'drain-finished'
          | 'demand'
          | 'transaction-committed'
          | 'transaction-conflicted'
          | 'transaction-unknown'
          | 'rows-read';
      }
    >
  | { readonly type: 'freshness'; readonly configUntil: Millis; readonly ownerUntil: Millis }
  | { readonly type: 'poll' }
  | { readonly type: 'read-rows' }
  | { readonly type: 'tick' }
  | {
      readonly type: 'gained';
      readonly holding: Holding;
      readonly rows: readonly StoredRow[];
    };
