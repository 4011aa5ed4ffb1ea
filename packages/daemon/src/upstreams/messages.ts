import type { Readable } from 'node:stream';
import type {
  AttemptResult,
  LoadReport,
  Millis,
  RequestId,
  UpstreamName,
} from '@turmerichoist/core';

export type HeaderFields = Readonly<Record<string, string | readonly string[]>>;

/** A caller's request in the form in which it goes to an upstream. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderFields;
  readonly idempotent: boolean;
  /** A buffered body can be sent again; a stream can be sent only once. */
  readonly body: Uint8Array | Readable | null;
}

/** Receives the response to one request as it arrives. */
export interface ResponseSink {
  head(status: number, headers: HeaderFields): void;
  /** Returns false when the caller's buffer is full. `onDrain` then signals when to resume. */
  data(chunk: Uint8Array): boolean;
  onDrain(resume: () => void): void;
  end(): void;
  /** Breaks the caller's connection, so that it does not take a truncated response as complete. */
  abort(): void;
}

/** Address and connection settings of an upstream. */
export interface UpstreamTarget {
  readonly name: UpstreamName;
  /** IP:port. */
  readonly address: string;
  readonly connections: number;
  readonly probePath: string;
}

export type UpstreamMessage =
  | {
      readonly type: 'send';
      readonly id: RequestId;
      readonly upstream: UpstreamName;
      readonly request: OutgoingRequest;
      readonly sink: ResponseSink;
      readonly deadline: Millis;
    }
  | { readonly type: 'abort'; readonly id: RequestId }
  /** Replaces the set of upstreams that the platform lists as leaving. */
  | { readonly type: 'listed-leaving'; readonly upstreams: readonly UpstreamName[] }
  | { readonly type: 'targets'; readonly targets: readonly UpstreamTarget[] }
  | {
      readonly type: 'probed';
      readonly upstream: UpstreamName;
      readonly generation: number;
      readonly alive: boolean;
    }
  | { readonly type: 'tick' };

/** Events that the upstream pool reports to the dispatcher. */
export type UpstreamEvent =
  | {
      readonly type: 'attempt-ended';
      readonly id: RequestId;
      readonly upstream: UpstreamName;
      readonly result: AttemptResult;
      readonly load?: LoadReport;
    }
  | {
      readonly type: 'upstream-state';
      readonly upstream: UpstreamName;
      readonly state: 'healthy' | 'suspect' | 'leaving';
    };
