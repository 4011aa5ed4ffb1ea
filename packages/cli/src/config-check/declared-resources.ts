import {
  checkDocument,
  formatField,
  resourceKey,
  type Change,
  type Configuration,
  type DocumentIssue,
  type FieldPath,
  type ResourceDocument,
} from '@turmerichoist/core';
import { formatPosition, type DocumentFile, type SourceDocument } from '../documents/index.js';
import type { LocatedFinding } from './report.js';

interface Declaration {
  readonly source: SourceDocument;
  readonly document: ResourceDocument;
}

/** The resources of some files, each with its place, and the errors of their documents. */
export class DeclaredResources {
  readonly errors: readonly LocatedFinding[];
  readonly #declarations: ReadonlyMap<string, Declaration>;

  constructor(files: readonly DocumentFile[]) {
    const declarations = new Map<string, Declaration>();
    const errors: LocatedFinding[] = [];
    for (const { file, documents, problems } of files) {
      if (documents.length === 0 && problems.length === 0) {
        errors.push(emptyFile(file));
      }
      errors.push(
        ...problems.map(({ position, ...rest }) => error({ field: '', ...position, ...rest })),
      );
      for (const source of documents) {
        const checked = checkDocument(source.value);
        if (checked.isErr()) {
          errors.push(...checked.error.flatMap((issue) => issueFindings(source, issue)));
          continue;
        }
        const key = resourceKey(checked.value.kind, checked.value.name);
        const first = declarations.get(key);
        if (first === undefined) {
          declarations.set(key, { source, document: checked.value });
        } else {
          errors.push(repeated(key, first.source, source));
        }
      }
    }
    this.errors = errors;
    this.#declarations = declarations;
  }

  /** The changes that applying all documents makes. */
  changes(inForce: Configuration): readonly Change[] {
    return [...this.#declarations.values()].map(({ document }) => {
      const current = inForce.get(document.kind, document.name);
      const version = current?.version ?? document.version ?? 0;
      return { op: 'put', resource: { ...document, version } };
    });
  }

  /**
   * Errors for documents whose expected version is not the one in force. A version in force that
   * was read from a file without versions is not compared.
   */
  versionErrors(inForce: Configuration): readonly LocatedFinding[] {
    return [...this.#declarations].flatMap(([key, { source, document }]) => {
      const resource = inForce.get(document.kind, document.name);
      const current = resource?.version ?? 0;
      const isKnown = resource === undefined || current > 0;
      if (!isKnown || document.version === undefined || document.version === current) {
        return [];
      }
      return [
        error({
          rule: 'version-conflict',
          ...source.positionOf(['version']),
          resource: key,
          field: 'version',
          message: `the document expects version ${document.version}, but ${current} is in force`,
          nextStep: 'Read the resource again and repeat the change on it.',
        }),
      ];
    });
  }

  /** Place of a field; undefined if no file declares the resource. */
  positionOf(resource: string, field: FieldPath) {
    return this.#declarations.get(resource)?.source.positionOf(field);
  }
}

function error(finding: Omit<LocatedFinding, 'severity'>): LocatedFinding {
  return { severity: 'error', ...finding };
}

function emptyFile(file: string): LocatedFinding {
  const message = 'the file has no document';
  return error({ rule: 'file-empty', file, field: '', message, nextStep: 'Check the path.' });
}

/** One finding for an invalid field, or one for each unknown field. */
function issueFindings(source: SourceDocument, issue: DocumentIssue): readonly LocatedFinding[] {
  const { resource, path, message, unknownFields } = issue;
  const about = (field: FieldPath, text: string, nextStep: string): LocatedFinding =>
    error({
      rule: unknownFields === undefined ? 'field-invalid' : 'field-unknown',
      ...source.positionOf(field),
      ...(resource === undefined ? {} : { resource }),
      field: formatField(field),
      message: text,
      nextStep,
    });
  if (unknownFields === undefined) {
    return [about(path, message, 'Correct the field.')];
  }
  return unknownFields.map((name) =>
    about(
      [...path, name],
      `there is no field ${name} here`,
      'Correct the name or delete the field.',
    ),
  );
}

function repeated(key: string, first: SourceDocument, second: SourceDocument): LocatedFinding {
  return error({
    rule: 'resource-repeated',
    ...second.positionOf(['name']),
    resource: key,
    field: 'name',
    message: `the resource is declared at ${formatPosition(first.positionOf(['name']))} already`,
    nextStep: 'Delete one of the two documents.',
  });
}
