import {
  Configuration,
  Err,
  Ok,
  RESOURCE_KINDS,
  checkDocument,
  type Resource,
  type Result,
} from '@turmerichoist/core';
import type { ApiClient } from '../client/index.js';
import { formatPosition, readDocumentFile } from '../documents/index.js';
import { DeclaredResources } from './declared-resources.js';

/** Reads of a configuration that changes meanwhile, before the comparison is given up. */
const MAX_READ_ATTEMPTS = 3;

/** Where the version in force comes from. */
export interface VersionInForce {
  /** Fails with a message for the operator. */
  read(): Promise<Result<Configuration, string>>;
}

/** A file with all resources in force. */
export class FileVersion implements VersionInForce {
  readonly #file: string;

  constructor(file: string) {
    this.#file = file;
  }

  async read(): Promise<Result<Configuration, string>> {
    const declared = new DeclaredResources([await readDocumentFile(this.#file)]);
    const [first] = declared.errors;
    if (first !== undefined) {
      const { line, column, message } = first;
      const position = { file: this.#file, ...(line && { line }), ...(column && { column }) };
      return Err(`${formatPosition(position)}: ${message}`);
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

  async read(): Promise<Result<Configuration, string>> {
    for (let attempt = 0; attempt < MAX_READ_ATTEMPTS; attempt += 1) {
      const read = await this.#readOnce();
      if (read.isErr() || read.value !== undefined) {
        return read.andThen((values) => toConfiguration(values ?? []));
      }
    }
    return Err('the configuration changed during each read; repeat the check');
  }

  /** Reads all resources; undefined if the configuration changed meanwhile. */
  async #readOnce(): Promise<Result<readonly unknown[] | undefined, string>> {
    const before = await this.#list('');
    const resources = await this.#listAll();
    const after = await this.#list('');
    if (before.isErr() || after.isErr()) {
      return before.isErr() ? before : after;
    }
    const isUnchanged = JSON.stringify(before.value) === JSON.stringify(after.value);
    return resources.map((values) => (isUnchanged ? values : undefined));
  }

  async #listAll(): Promise<Result<readonly unknown[], string>> {
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

  async #list(suffix: string): Promise<Result<readonly unknown[], string>> {
    const result = await this.#client.get(`/api/v1/resources${suffix}`);
    if (result.isErr()) {
      const { error, text, detail } = result.error;
      return Err(`${error}: ${text}${detail === undefined ? '' : ` (${detail})`}`);
    }
    return Array.isArray(result.value) ? Ok(result.value) : Err('the response is not a list');
  }
}

/** Validates the resources of a server, which may be of another release. */
function toConfiguration(values: readonly unknown[]): Result<Configuration, string> {
  const resources: Resource[] = [];
  for (const value of values) {
    const checked = checkDocument(value);
    if (checked.isErr()) {
      const [issue] = checked.error;
      return Err(`the server has a resource that this release can't read: ${issue?.message ?? ''}`);
    }
    resources.push({ ...checked.value, version: checked.value.version ?? 0 });
  }
  const revision = Math.max(0, ...resources.map(({ version }) => version));
  return Ok(Configuration.of(revision, resources));
}
