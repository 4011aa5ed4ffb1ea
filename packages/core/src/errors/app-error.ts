import { Err, Ok, Result } from 'ts-results-es';
import type { Millis } from '../types/index.js';
import { errorResponse, type ErrorResponse, type ErrorKind } from './kinds.js';

/** An expected failure, returned as a value instead of thrown. */
export interface AppError {
  readonly kind: ErrorKind;
  /** Details of this occurrence, for example the field or key concerned. */
  readonly detail?: string;
  /** Time after which a retry may succeed, in milliseconds from now. */
  readonly retryAfterMs?: Millis;
}

export function appError(kind: ErrorKind, detail?: string, retryAfterMs?: Millis): AppError {
  return {
    kind,
    ...(detail === undefined ? {} : { detail }),
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  };
}

/** Creates a failed `Result` with an `AppError`. */
export function fail(kind: ErrorKind, detail?: string, retryAfterMs?: Millis): Err<AppError> {
  return Err(appError(kind, detail, retryAfterMs));
}

/** Body of an error response, independent of its encoding. */
export interface ErrorBody {
  readonly error: ErrorKind;
  readonly outcome: ErrorResponse['outcome'];
  readonly text: string;
  readonly detail?: string;
  readonly nextStep: string;
}

/** Builds the body of the response to an error. */
export function errorBody(err: AppError): ErrorBody {
  const { outcome, text, nextStep } = errorResponse(err.kind);
  return {
    error: err.kind,
    outcome,
    text,
    ...(err.detail === undefined ? {} : { detail: err.detail }),
    nextStep,
  };
}

export { Err, Ok, Result };
