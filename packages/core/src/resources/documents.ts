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

/** Field names and list indices that lead from a document to one of its fields. */
export type FieldPath = readonly (string | number)[];

/** One invalid field of a document. */
export interface DocumentIssue {
  /** The resource, as `kind/name`; absent while these two fields are invalid themselves. */
  readonly resource?: string;
  readonly path: FieldPath;
  readonly message: string;
  /** Fields below `path` that the schema does not have. */
  readonly unknownFields?: readonly string[];
}

function toIssue(issue: z.core.$ZodIssue, prefix: FieldPath, resource?: string): DocumentIssue {
  return {
    ...(resource === undefined ? {} : { resource }),
    path: [...prefix, ...issue.path.map((part) => (typeof part === 'symbol' ? '' : part))],
    message: issue.message,
    ...(issue.code === 'unrecognized_keys' ? { unknownFields: issue.keys } : {}),
  };
}

function formatIssue({ resource, path, message }: DocumentIssue): string {
  const parts = [resource ?? '', ...path.map(String)].filter((part) => part !== '');
  return `${parts.join('.')}: ${message}`;
}

/** Validates one document and applies defaults. Fails with every invalid field. */
export function checkDocument(input: unknown): Result<ResourceDocument, readonly DocumentIssue[]> {
  const outer = envelopeSchema.safeParse(input);
  if (!outer.success) {
    return Err(outer.error.issues.map((issue) => toIssue(issue, [])));
  }
  const { kind, name, spec, version } = outer.data;
  const inner = SPEC_SCHEMAS[kind].safeParse(spec ?? {});
  if (!inner.success) {
    return Err(inner.error.issues.map((issue) => toIssue(issue, ['spec'], `${kind}/${name}`)));
  }
  const base = { kind, name, spec: inner.data };
  return Ok((version === undefined ? base : { ...base, version }) as ResourceDocument);
}

/**
 * Validates one document and applies defaults.
 * Fails with `bad-document`, whose detail names every invalid field.
 */
export function parseDocument(input: unknown): Result<ResourceDocument, AppError> {
  return checkDocument(input).mapErr((issues) =>
    appError('bad-document', issues.map(formatIssue).join('; ')),
  );
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
