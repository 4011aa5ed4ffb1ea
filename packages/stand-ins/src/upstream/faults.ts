/** Faults that an upstream stand-in injects. */
export interface UpstreamFaults {
  /** Requests are handled and answered with status 500. */
  readonly fail: boolean;
  /** The connection is closed after a request was handled, without a response. */
  readonly reset: boolean;
  /** The connection is closed after half of the response body was sent. */
  readonly truncate: boolean;
  /** Delay between two chunks of a response body, in milliseconds; 0 sends the body at once. */
  readonly dripMs: number;
  /** Responses carry `x-leaving`, which announces that the upstream shuts down soon. */
  readonly leaving: boolean;
}

export const NO_UPSTREAM_FAULTS: UpstreamFaults = {
  fail: false,
  reset: false,
  truncate: false,
  dripMs: 0,
  leaving: false,
};
