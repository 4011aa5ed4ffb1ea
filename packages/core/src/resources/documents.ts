import { z } from 'zod';
import { Err, Ok, type AppError, type Result, appError } from '../errors/index.js';
import type { Revision } from '../types/index.js';
import {
  RESOURCE_KINDS,
  SPEC_SCHEMAS,
  nameSchema,
  type ResourceKind,
  type Specs,
} from './schemas.js';

/** A resource as declared by an operator, with every default filled in. */
export type ResourceDocument = {
  readonly [K in ResourceKind]: {
    readonly kind: K;
    readonly name: string;
    readonly spec: Specs[K];
    /** Version that the sender expects to replace; 0 means that it must not exist. */
    readonly version?: Revision;
  };
}[ResourceKind];

/** A resource as stored. `version` is the configuration revision of its last change. */
export type Resource = {
  readonly [K in ResourceKind]: {
    readonly kind: K;
    readonly name: string;
    readonly spec: Specs[K];
    readonly version: Revision;
  };
}[ResourceKind];

const envelope = z.strictObject({
  kind: z.enum(RESOURCE_KINDS as [ResourceKind, ...ResourceKind[]]),
  name: nameSchema,
  spec: z.unknown(),
  version: z.int().min(0).optional(),
});

function describe(prefix: string, issues: readonly z.core.$ZodIssue[]): string[] {
  return issues.map((issue) => {
    const path = [prefix, ...issue.path.map(String)].filter((part) => part !== '').join('.');
    return `${path}: ${issue.message}`;
  });
}

/**
 * Checks one declared document and fills in defaults.
 * Fails with `bad-document`, naming every wrong field at once.
 */
export function parseDocument(input: unknown): Result<ResourceDocument, AppError> {
  const outer = envelope.safeParse(input);
  if (!outer.success) {
    return Err(appError('bad-document', describe('', outer.error.issues).join('; ')));
  }
  const { kind, name, spec, version } = outer.data;
  const inner = SPEC_SCHEMAS[kind].safeParse(spec ?? {});
  if (!inner.success) {
    const lines = describe(`${kind}/${name}.spec`, inner.error.issues);
    return Err(appError('bad-document', lines.join('; ')));
  }
  const base = { kind, name, spec: inner.data };
  return Ok((version === undefined ? base : { ...base, version }) as ResourceDocument);
}

/** Checks a list of documents; reports the faults of all of them together. */
export function parseDocuments(
  inputs: readonly unknown[],
): Result<readonly ResourceDocument[], AppError> {
  const documents: ResourceDocument[] = [];
  const faults: string[] = [];
  for (const input of inputs) {
    const parsed = parseDocument(input);
    if (parsed.isOk()) {
      documents.push(parsed.value);
    } else {
      faults.push(parsed.error.detail ?? '');
    }
  }
  return faults.length > 0 ? Err(appError('bad-document', faults.join('; '))) : Ok(documents);
}
