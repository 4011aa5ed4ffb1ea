/** Fault switches of an upstream stand-in. */
export interface UpstreamFaults {
  /** Requests end with status 500 at once. */
  readonly fail: boolean;
  /** Connections are reset while the request is handled. */
  readonly reset: boolean;
  /** Answers break off after half of their body. */
  readonly truncate: boolean;
  /** Milliseconds between two parts of an answer; 0 sends it at once. */
  readonly dripMs: number;
  /** Answers say that the upstream is about to leave. */
  readonly leaving: boolean;
}

export const NO_UPSTREAM_FAULTS: UpstreamFaults = {
  fail: false,
  reset: false,
  truncate: false,
  dripMs: 0,
  leaving: false,
};
