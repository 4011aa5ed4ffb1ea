import { z } from 'zod';
import { Ok, fail, type AppError, type Result } from '@turmerichoist/core';
import type { InstanceList, ListedInstance } from '../../store/index.js';
import { decodeJson } from './decode.js';
import { StoreTransport, type TransportOptions } from './transport.js';

const OK = 200;

const listSchema = z.object({
  instances: z.array(
    z.object({
      id: z.string(),
      address: z.string(),
      zone: z.string(),
      state: z.enum(['live', 'leaving']),
    }),
  ),
});

/**
 * HTTP client of the platform's instance list, which lags behind the actual state. Errors:
 * `store-unavailable`, and `store-rejected` when the response is malformed.
 */
export class HttpInstanceList implements InstanceList {
  readonly #transport: StoreTransport;

  constructor(options: TransportOptions) {
    this.#transport = new StoreTransport(options);
  }

  async instances(signal: AbortSignal): Promise<Result<readonly ListedInstance[], AppError>> {
    const called = await this.#transport.call(
      { kind: 'read', method: 'GET', path: '/v1/instances' },
      signal,
    );
    return called.andThen(({ status, bytes }) =>
      status === OK
        ? decodeJson(bytes, listSchema).andThen(({ instances }) => Ok(instances))
        : fail('store-unavailable', `status ${status}`),
    );
  }
}
