/** A place in a file. Lines and columns start at 1. */
export interface Position {
  readonly file: string;
  /** Absent when the file as a whole is concerned. */
  readonly line?: number;
  readonly column?: number;
}

/** A reason why a file, or a document in it, can't be used. */
export interface SourceProblem {
  /** Identifier of the rule, for documentation and filters. */
  readonly rule: string;
  readonly position: Position;
  readonly message: string;
  readonly nextStep: string;
}

/** Formats a position as `file:line:column`, which editors and terminals recognize. */
export function formatPosition({ file, line, column }: Position): string {
  return [file, line, column].filter((part) => part !== undefined).join(':');
}
