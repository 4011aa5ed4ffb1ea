import {
  Configuration,
  Err,
  Ok,
  RESOURCE_KINDS,
  checkDocument,
  formatField,
  type Resource,
  type Result,
} from '@turmerichoist/core';
import type { ApiClient } from '../client/index.js';
import { formatPosition, readDocumentFile } from '../documents/index.js';
import { DeclaredResources } from './declared-resources.js';

/** Reads of a configuration that changes meanwhile, before the comparison is given up. */
const MAX_READ_ATTEMPTS = 3;

/** Why the version in force can't be read. */
export interface ReadError {
  readonly message: string;
  readonly nextStep: string;
}

/** Where the version in force comes from. */
export interface VersionInForce {
  read(): Promise<Result<Configuration, ReadError>>;
}

/** A file with all resources in force. */
export class FileVersion implements VersionInForce {
  readonly #file: string;

  constructor(file: string) {
    this.#file = file;
  }

  async read(): Promise<Result<Configuration, ReadError>> {
    const declared = new DeclaredResources([await readDocumentFile(this.#file)]);
    const [first] = declared.errors;
    if (first !== undefined) {
      const { line, column, resource, field, message, nextStep } = first;
      const position = { file: this.#file, ...(line && { line }), ...(column && { column }) };
      const place = [formatPosition(position), resource ?? '', field].filter((part) => part !== '');
      return Err({ message: `${place.join(' ')}: ${message}`, nextStep });
    }
    return Ok(Configuration.empty.with(1, declared.changes(Configuration.empty)));
  }
}

/** The configuration of an entry, read by the operators' API. */
export class ServerVersion implements VersionInForce {
  readonly #client: ApiClient;

  constructor(client: ApiClient) {
    this.#client = client;
  }

  async read(): Promise<Result<Configuration, ReadError>> {
    for (let attempt = 0; attempt < MAX_READ_ATTEMPTS; attempt += 1) {
      const read = await this.#readOnce();
      if (read.isErr() || read.value !== undefined) {
        return read.andThen((values) => toConfiguration(values ?? []));
      }
    }
    const message = 'the configuration changed during each read';
    return Err({ message, nextStep: 'Repeat the check.' });
  }

  /** Reads all resources; undefined if the configuration changed meanwhile. */
  async #readOnce(): Promise<Result<readonly unknown[] | undefined, ReadError>> {
    const before = await this.#list('');
    const resources = await this.#listAll();
    const after = await this.#list('');
    if (before.isErr() || after.isErr()) {
      return before.isErr() ? before : after;
    }
    const isUnchanged = JSON.stringify(before.value) === JSON.stringify(after.value);
    return resources.map((values) => (isUnchanged ? values : undefined));
  }

  async #listAll(): Promise<Result<readonly unknown[], ReadError>> {
    const lists: unknown[] = [];
    for (const kind of RESOURCE_KINDS) {
      const list = await this.#list(`/${kind}`);
      if (list.isErr()) {
        return list;
      }
      lists.push(...list.value);
    }
    return Ok(lists);
  }

  async #list(suffix: string): Promise<Result<readonly unknown[], ReadError>> {
    const result = await this.#client.get(`/api/v1/resources${suffix}`);
    if (result.isErr()) {
      const { error, text, detail, nextStep } = result.error;
      const message = `${error}: ${text}${detail === undefined ? '' : ` (${detail})`}`;
      return Err({ message, nextStep });
    }
    return Array.isArray(result.value)
      ? Ok(result.value)
      : Err({ message: 'the response is not a list', nextStep: 'Check --server.' });
  }
}

/** Validates the resources of a server, which may be of another release. */
function toConfiguration(values: readonly unknown[]): Result<Configuration, ReadError> {
  const resources: Resource[] = [];
  for (const value of values) {
    const checked = checkDocument(value);
    if (checked.isErr()) {
      const [issue] = checked.error;
      const place = [issue?.resource ?? '', formatField(issue?.path ?? [])].join(' ').trim();
      return Err({
        message: `the server has a resource that this release can't read: ${place}: ${issue?.message ?? ''}`,
        nextStep: 'Use the release of the command line that the server has.',
      });
    }
    resources.push({ ...checked.value, version: checked.value.version ?? 0 });
  }
  const revision = Math.max(0, ...resources.map(({ version }) => version));
  return Ok(Configuration.of(revision, resources));
}
