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

/** A resource as declared by an operator, with all defaults applied. */
export type ResourceDocument = {
  readonly [K in ResourceKind]: {
    readonly kind: K;
    readonly name: string;
    readonly spec: Specs[K];
    /**
     * Version that the sender expects to replace; 0 requires that the resource does not exist yet.
     */
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

const envelopeSchema = z.strictObject({
  kind: z.enum(RESOURCE_KINDS as [ResourceKind, ...ResourceKind[]]),
  name: nameSchema,
  spec: z.unknown(),
  version: z.int().min(0).optional(),
});

function formatIssues(prefix: string, issues: readonly z.core.$ZodIssue[]): string[] {
  return issues.map((issue) => {
    const path = [prefix, ...issue.path.map(String)].filter((part) => part !== '').join('.');
    return `${path}: ${issue.message}`;
  });
}

/**
 * Validates one document and applies defaults.
 * Fails with `bad-document`, whose detail names every invalid field.
 */
export function parseDocument(input: unknown): Result<ResourceDocument, AppError> {
  const outer = envelopeSchema.safeParse(input);
  if (!outer.success) {
    return Err(appError('bad-document', formatIssues('', outer.error.issues).join('; ')));
  }
  const { kind, name, spec, version } = outer.data;
  const inner = SPEC_SCHEMAS[kind].safeParse(spec ?? {});
  if (!inner.success) {
    const lines = formatIssues(`${kind}/${name}.spec`, inner.error.issues);
    return Err(appError('bad-document', lines.join('; ')));
  }
  const base = { kind, name, spec: inner.data };
  return Ok((version === undefined ? base : { ...base, version }) as ResourceDocument);
}

/** Validates a list of documents. Fails with the invalid fields of all of them. */
export function parseDocuments(
  inputs: readonly unknown[],
): Result<readonly ResourceDocument[], AppError> {
  const documents: ResourceDocument[] = [];
  const problems: string[] = [];
  for (const input of inputs) {
    const parsed = parseDocument(input);
    if (parsed.isOk()) {
      documents.push(parsed.value);
    } else {
      problems.push(parsed.error.detail ?? '');
    }
  }
  return problems.length > 0 ? Err(appError('bad-document', problems.join('; '))) : Ok(documents);
}
