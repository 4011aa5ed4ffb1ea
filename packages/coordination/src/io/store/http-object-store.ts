import { z } from 'zod';
import { Ok, fail, type AppError, type Result } from '@turmerichoist/core';
import type { ObjectStore } from '../../store/index.js';
import { decodeJson } from './decode.js';
import type { HttpCall, HttpResponse } from './store-path.js';
import { StoreTransport, type TransportOptions } from './transport.js';

const NOT_FOUND = 404;
const FIRST_ERROR_STATUS = 400;

const namesSchema = z.object({ names: z.array(z.string()) });

function objectPath(name: string): string {
  return `/objects/${name.split('/').map(encodeURIComponent).join('/')}`;
}

/** HTTP client of the platform's object store. Errors as in `ObjectStore`, and `store-rejected`. */
export class HttpObjectStore implements ObjectStore {
  readonly #transport: StoreTransport;

  constructor(options: TransportOptions) {
    this.#transport = new StoreTransport(options);
  }

  async put(name: string, bytes: Uint8Array, signal: AbortSignal): Promise<Result<void, AppError>> {
    const call: HttpCall = { kind: 'write', method: 'PUT', path: objectPath(name), body: bytes };
    return (await this.#call(call, signal)).map(() => undefined);
  }

  async get(name: string, signal: AbortSignal): Promise<Result<Uint8Array, AppError>> {
    const call: HttpCall = { kind: 'read', method: 'GET', path: objectPath(name) };
    return (await this.#call(call, signal)).map(({ bytes }) => bytes);
  }

  async remove(name: string, signal: AbortSignal): Promise<Result<void, AppError>> {
    const call: HttpCall = { kind: 'write', method: 'DELETE', path: objectPath(name) };
    return (await this.#call(call, signal)).map(() => undefined);
  }

  async list(prefix: string, signal: AbortSignal): Promise<Result<readonly string[], AppError>> {
    const path = `/objects?${new URLSearchParams({ prefix }).toString()}`;
    const called = await this.#call({ kind: 'read', method: 'GET', path }, signal);
    return called.andThen(({ bytes }) =>
      decodeJson(bytes, namesSchema).andThen(({ names }) => Ok(names)),
    );
  }

  async #call(call: HttpCall, signal: AbortSignal): Promise<Result<HttpResponse, AppError>> {
    const called = await this.#transport.call(call, signal);
    return called.andThen((response) => {
      if (response.status < FIRST_ERROR_STATUS) {
        return Ok(response);
      }
      const kind = response.status === NOT_FOUND ? 'not-found' : 'store-rejected';
      return fail(kind, `${call.path}: status ${response.status}`);
    });
  }
}
