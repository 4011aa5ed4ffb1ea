import type { Exchange, HttpCall, StorePath } from './store-path.js';

/** Sends each call on the way on which the service can be reached at the moment. */
export interface StoreRoutes {
  /** Number of the present route; increases whenever another one is taken. */
  readonly number: number;
  /** Sends one call. `direct` is the caller's own path to the service. */
  exchange(call: HttpCall, direct: StorePath, signal: AbortSignal): Promise<Exchange>;
}

/** Sends all calls straight to the service. */
class DirectRoutes implements StoreRoutes {
  readonly number = 0;

  exchange(call: HttpCall, direct: StorePath, signal: AbortSignal): Promise<Exchange> {
    return direct.exchange(call, signal);
  }
}

export const DIRECT_ONLY: StoreRoutes = new DirectRoutes();
