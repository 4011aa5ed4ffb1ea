import { request, type Dispatcher } from 'undici';
import { Err, Ok, type ErrorBody, type Resource, type Result } from '@turmerichoist/core';

const REQUEST_TIMEOUT_MS = 30_000;

/** Error of an API request. `status` is 0 when no response arrived. */
export interface ApiError {
  readonly status: number;
  readonly error: ErrorBody['error'];
  readonly text: string;
  readonly detail?: string;
  readonly nextStep: string;
}

interface ApiRequest {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly body?: unknown;
}

/** Client of the operator and task API of an entry. */
export class ApiClient {
  readonly #server: string;
  readonly #token: string;

  constructor(server: string, token: string) {
    this.#server = server.replace(/\/$/, '');
    this.#token = token;
  }

  get(path: string): Promise<Result<unknown, ApiError>> {
    return this.#send({ method: 'GET', path });
  }

  post(path: string, body: unknown): Promise<Result<unknown, ApiError>> {
    return this.#send({ method: 'POST', path, body });
  }

  delete(path: string): Promise<Result<unknown, ApiError>> {
    return this.#send({ method: 'DELETE', path });
  }

  /** Reads one resource. */
  async getResource(kind: string, name: string): Promise<Result<Resource, ApiError>> {
    const result = await this.get(`/api/v1/resources/${kind}/${name}`);
    return result.map((value) => value as Resource);
  }

  /** Yields the values of a JSON Lines response until it ends. */
  async *streamLines(path: string): AsyncGenerator {
    const res = await request(`${this.#server}${path}`, { headers: this.#headers() });
    let partialLine = '';
    for await (const chunk of res.body) {
      partialLine += String(chunk);
      const lines = partialLine.split('\n');
      partialLine = lines.pop() ?? '';
      for (const line of lines.filter((text) => text !== '')) {
        yield JSON.parse(line) as unknown;
      }
    }
  }

  #headers(): Record<string, string> {
    return { authorization: `Bearer ${this.#token}`, 'content-type': 'application/json' };
  }

  async #send(apiRequest: ApiRequest): Promise<Result<unknown, ApiError>> {
    try {
      const res = await request(`${this.#server}${apiRequest.path}`, {
        method: apiRequest.method,
        headers: this.#headers(),
        headersTimeout: REQUEST_TIMEOUT_MS,
        bodyTimeout: REQUEST_TIMEOUT_MS,
        ...(apiRequest.body === undefined ? {} : { body: JSON.stringify(apiRequest.body) }),
      });
      const text = await res.body.text();
      const value: unknown = text === '' ? null : JSON.parse(text);
      return res.statusCode < 300 ? Ok(value) : Err(toApiError(res.statusCode, value));
    } catch (err) {
      return Err({
        status: 0,
        error: 'peer-unavailable',
        text: 'No response came from the server.',
        detail: err instanceof Error ? err.message : String(err),
        nextStep:
          'Check --server. The change may have been made, so read the state before you repeat it.',
      });
    }
  }
}

function toApiError(status: number, value: unknown): ApiError {
  const body = value as Partial<ErrorBody> | null;
  return {
    status,
    error: body?.error ?? 'internal',
    text: body?.text ?? `The server responded with status ${status}.`,
    ...(body?.detail === undefined ? {} : { detail: body.detail }),
    nextStep: body?.nextStep ?? 'Check the log of the server.',
  };
}
