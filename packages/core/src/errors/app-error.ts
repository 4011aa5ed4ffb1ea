import { Err, Ok, Result } from 'ts-results-es';
import type { Millis } from '../types/index.js';
import { answerOf, type ErrorAnswer, type ErrorKind } from './kinds.js';

/** An expected failure, as a value. */
export interface AppError {
  readonly kind: ErrorKind;
  /** What this occurrence was about, for example a field or a key. */
  readonly detail?: string;
  /** Earliest time at which a repeat makes sense, in milliseconds from now. */
  readonly retryAfterMs?: Millis;
}

/** Makes an error value. */
export function appError(kind: ErrorKind, detail?: string, retryAfterMs?: Millis): AppError {
  return {
    kind,
    ...(detail === undefined ? {} : { detail }),
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  };
}

/** Makes a failed result. */
export function fail(kind: ErrorKind, detail?: string, retryAfterMs?: Millis): Err<AppError> {
  return Err(appError(kind, detail, retryAfterMs));
}

/** The form of an error in an answer, independent of its encoding. */
export interface ErrorBody {
  readonly error: ErrorKind;
  readonly outcome: ErrorAnswer['outcome'];
  readonly text: string;
  readonly detail?: string;
  readonly nextStep: string;
}

/** Describes an error for an answer. */
export function errorBody(err: AppError): ErrorBody {
  const { outcome, text, nextStep } = answerOf(err.kind);
  return {
    error: err.kind,
    outcome,
    text,
    ...(err.detail === undefined ? {} : { detail: err.detail }),
    nextStep,
  };
}

export { Err, Ok, Result };
