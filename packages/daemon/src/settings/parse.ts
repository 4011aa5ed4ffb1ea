import { LineCounter, isMap, isNode, isScalar, parseDocument, type Document } from 'yaml';
import type { z } from 'zod';
import { Err, Ok, type Result } from 'ts-results-es';
import { settingsSchema, type Settings } from './schema.js';

/** One error in a settings file. */
export interface SettingsError {
  readonly file: string;
  readonly line: number;
  /** Path of the field, for example `platform.table`. Empty for the whole file. */
  readonly field: string;
  readonly text: string;
}

type FieldPath = readonly (string | number)[];

function keyOffset(doc: Document, path: FieldPath): number | undefined {
  const parent: unknown = path.length === 1 ? doc.contents : doc.getIn(path.slice(0, -1), true);
  if (!isMap(parent)) {
    return undefined;
  }
  const pair = parent.items.find((item) => isScalar(item.key) && item.key.value === path.at(-1));
  return isNode(pair?.key) ? pair.key.range?.[0] : undefined;
}

/** Offset of the field, or of the closest enclosing field that exists. */
function nearestOffset(doc: Document, path: FieldPath): number {
  for (let length = path.length; length > 0; length -= 1) {
    const part = path.slice(0, length);
    const node: unknown = doc.getIn(part, true);
    const offset = keyOffset(doc, part) ?? (isNode(node) ? node.range?.[0] : undefined);
    if (offset !== undefined) {
      return offset;
    }
  }
  return 0;
}

function toFieldPath(path: readonly PropertyKey[]): FieldPath {
  return path.map((part) => (typeof part === 'symbol' ? String(part) : part));
}

function toFieldErrors(issue: z.core.$ZodIssue): readonly { path: FieldPath; text: string }[] {
  const path = toFieldPath(issue.path);
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({ path: [...path, key], text: 'unknown field' }));
  }
  return [{ path, text: issue.message }];
}

function findContradictions(settings: Settings): readonly { path: FieldPath; text: string }[] {
  const errors: { path: FieldPath; text: string }[] = [];
  if (settings.listen === settings.peerListen) {
    errors.push({ path: ['peerListen'], text: 'must differ from listen' });
  }
  if (settings.drainMs >= settings.stopMs) {
    errors.push({ path: ['drainMs'], text: 'must be less than stopMs' });
  }
  const names = settings.operators.map((operator) => operator.name);
  if (new Set(names).size !== names.length) {
    errors.push({ path: ['operators'], text: 'two operators have the same name' });
  }
  return errors;
}

/**
 * Parses the text of a settings file. Reports all syntax errors, unknown fields, wrong types,
 * values out of range and contradictions at once, with file, line and field.
 */
export function parseSettings(
  text: string,
  file: string,
): Result<Settings, readonly SettingsError[]> {
  const counter = new LineCounter();
  const doc = parseDocument(text, { lineCounter: counter });
  const lineAt = (offset: number): number => Math.max(1, counter.linePos(offset).line);
  if (doc.errors.length > 0) {
    return Err(
      doc.errors.map((err) => ({
        file,
        line: lineAt(err.pos[0]),
        field: '',
        text: err.message.split('\n')[0] ?? err.code,
      })),
    );
  }
  const parsed = settingsSchema.safeParse(doc.toJS());
  const errors = parsed.success
    ? findContradictions(parsed.data)
    : parsed.error.issues.flatMap((issue) => toFieldErrors(issue));
  if (!parsed.success || errors.length > 0) {
    return Err(
      errors.map(({ path, text: message }) => ({
        file,
        line: lineAt(nearestOffset(doc, path)),
        field: path.join('.'),
        text: message,
      })),
    );
  }
  return Ok(parsed.data);
}

/** Formats an error as one line of text. */
export function formatSettingsError(error: SettingsError): string {
  const field = error.field === '' ? '' : ` ${error.field}:`;
  return `${error.file}:${error.line}:${field} ${error.text}`;
}
