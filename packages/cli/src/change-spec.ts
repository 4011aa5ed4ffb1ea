import type { Resource } from '@turmerichoist/core';
import type { ApiClient, ApiError } from './client/index.js';
import type { Result } from '@turmerichoist/core';

export interface SpecChange {
  readonly kind: Resource['kind'];
  readonly name: string;
  readonly change: Readonly<Record<string, unknown>>;
  readonly dryRun: boolean;
}

/** Changes some fields of a resource. A concurrent change makes it fail with a version conflict. */
export async function changeSpec(
  client: ApiClient,
  { kind, name, change, dryRun }: SpecChange,
): Promise<Result<unknown, ApiError>> {
  const current = await client.getResource(kind, name);
  if (current.isErr()) {
    return current;
  }
  const { spec, version } = current.value;
  const document = { kind, name, version, spec: { ...spec, ...change } };
  return client.post('/api/v1/apply', { documents: [document], dryRun });
}
