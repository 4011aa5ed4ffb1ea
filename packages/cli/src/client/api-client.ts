import { request, type Dispatcher } from 'undici';
import { Err, Ok, type ErrorBody, type Resource, type Result } from '@turmerichoist/core';

const REQUEST_TIMEOUT_MS = 30_000;

/** Why a call did not succeed. `status` is 0 when no answer came. */
export interface CallFailure {
  readonly status: number;
  readonly error: ErrorBody['error'];
  readonly text: string;
  readonly detail?: string;
  readonly nextStep: string;
}

export interface ApplyBody {
  readonly documents: readonly unknown[];
  readonly dryRun: boolean;
}

interface Call {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly body?: unknown;
}

/** Calls the operator and task API of an entry. */
export class ApiClient {
  readonly #server: string;
  readonly #token: string;

  constructor(server: string, token: string) {
    this.#server = server.replace(/\/$/, '');
    this.#token = token;
  }

  get(path: string): Promise<Result<unknown, CallFailure>> {
    return this.#call({ method: 'GET', path });
  }

  post(path: string, body: unknown): Promise<Result<unknown, CallFailure>> {
    return this.#call({ method: 'POST', path, body });
  }

  delete(path: string): Promise<Result<unknown, CallFailure>> {
    return this.#call({ method: 'DELETE', path });
  }

  /** Reads one resource. */
  async resource(kind: string, name: string): Promise<Result<Resource, CallFailure>> {
    const answer = await this.get(`/api/v1/resources/${kind}/${name}`);
    return answer.map((value) => value as Resource);
  }

  /** Yields the values of a JSON lines answer until it ends. */
  async *lines(path: string): AsyncGenerator {
    const res = await request(`${this.#server}${path}`, { headers: this.#headers() });
    let rest = '';
    for await (const chunk of res.body) {
      rest += String(chunk);
      const lines = rest.split('\n');
      rest = lines.pop() ?? '';
      for (const line of lines.filter((text) => text !== '')) {
        yield JSON.parse(line) as unknown;
      }
    }
  }

  #headers(): Record<string, string> {
    return { authorization: `Bearer ${this.#token}`, 'content-type': 'application/json' };
  }

  async #call(call: Call): Promise<Result<unknown, CallFailure>> {
    try {
      const res = await request(`${this.#server}${call.path}`, {
        method: call.method,
        headers: this.#headers(),
        headersTimeout: REQUEST_TIMEOUT_MS,
        bodyTimeout: REQUEST_TIMEOUT_MS,
        ...(call.body === undefined ? {} : { body: JSON.stringify(call.body) }),
      });
      const text = await res.body.text();
      const value: unknown = text === '' ? null : JSON.parse(text);
      return res.statusCode < 300 ? Ok(value) : Err(failure(res.statusCode, value));
    } catch (err) {
      return Err({
        status: 0,
        error: 'peer-unavailable',
        text: 'No answer came from the server.',
        detail: err instanceof Error ? err.message : String(err),
        nextStep: 'Check --server; a change may have been made, so read before repeating.',
      });
    }
  }
}

function failure(status: number, value: unknown): CallFailure {
  const body = value as Partial<ErrorBody> | null;
  return {
    status,
    error: body?.error ?? 'internal',
    text: body?.text ?? `The server answered with status ${status}.`,
    ...(body?.detail === undefined ? {} : { detail: body.detail }),
    nextStep: body?.nextStep ?? 'See the log of the server.',
  };
}
