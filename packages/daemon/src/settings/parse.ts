import { LineCounter, isMap, isNode, isScalar, parseDocument, type Document } from 'yaml';
import type { z } from 'zod';
import { Err, Ok, type Result } from 'ts-results-es';
import { settingsSchema, type Settings } from './schema.js';

/** One fault in a settings file. */
export interface SettingsFault {
  readonly file: string;
  readonly line: number;
  /** Path of the field, for example `platform.table`; empty for the whole file. */
  readonly field: string;
  readonly text: string;
}

type Path = readonly (string | number)[];

function keyOffset(doc: Document, path: Path): number | undefined {
  const parent: unknown = path.length === 1 ? doc.contents : doc.getIn(path.slice(0, -1), true);
  if (!isMap(parent)) {
    return undefined;
  }
  const pair = parent.items.find((item) => isScalar(item.key) && item.key.value === path.at(-1));
  return isNode(pair?.key) ? pair.key.range?.[0] : undefined;
}

/** Offset of the field, or of the closest field round it that exists. */
function offsetOf(doc: Document, path: Path): number {
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

function toPath(path: readonly PropertyKey[]): Path {
  return path.map((part) => (typeof part === 'symbol' ? String(part) : part));
}

function expand(issue: z.core.$ZodIssue): readonly { path: Path; text: string }[] {
  const path = toPath(issue.path);
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({ path: [...path, key], text: 'unknown field' }));
  }
  return [{ path, text: issue.message }];
}

function contradictions(settings: Settings): readonly { path: Path; text: string }[] {
  const faults: { path: Path; text: string }[] = [];
  if (settings.listen === settings.peerListen) {
    faults.push({ path: ['peerListen'], text: 'must differ from listen' });
  }
  if (settings.drainMs >= settings.stopMs) {
    faults.push({ path: ['drainMs'], text: 'must be less than stopMs' });
  }
  const names = settings.operators.map((operator) => operator.name);
  if (new Set(names).size !== names.length) {
    faults.push({ path: ['operators'], text: 'two operators have the same name' });
  }
  return faults;
}

/**
 * Parses the text of a settings file. Reports syntax errors, unknown fields, wrong types, values out
 * of range and contradictions, all at once, with file, line and field.
 */
export function parseSettings(
  text: string,
  file: string,
): Result<Settings, readonly SettingsFault[]> {
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
  const found = parsed.success
    ? contradictions(parsed.data)
    : parsed.error.issues.flatMap((issue) => expand(issue));
  if (!parsed.success || found.length > 0) {
    return Err(
      found.map(({ path, text: message }) => ({
        file,
        line: lineAt(offsetOf(doc, path)),
        field: path.join('.'),
        text: message,
      })),
    );
  }
  return Ok(parsed.data);
}

/** One line for people about one fault. */
export function describeFault(fault: SettingsFault): string {
  const field = fault.field === '' ? '' : ` ${fault.field}:`;
  return `${fault.file}:${fault.line}:${field} ${fault.text}`;
}
