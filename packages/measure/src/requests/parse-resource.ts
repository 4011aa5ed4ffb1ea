import { parseDocument, type Resource } from '@turmerichoist/core';

/** The stored form of a valid document, at version 1. */
export function parseResource(kind: string, name: string, spec: unknown): Resource {
  return { ...parseDocument({ kind, name, spec }).unwrap(), version: 1 };
}
