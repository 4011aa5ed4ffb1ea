import {
  isAlias,
  isMap,
  isScalar,
  isSeq,
  type Document,
  type LineCounter,
  type Pair,
  type YAMLMap,
} from 'yaml';
import type { FieldPath } from '@turmerichoist/core';
import type { Position } from './source-problem.js';

/** The name of a field as text; undefined for a key that is not a scalar. */
export function keyText(key: unknown): string | undefined {
  return isScalar(key) ? String(key.value) : undefined;
}

/** Offset of a node in the text of its file. */
export function offsetOf(node: unknown): number | undefined {
  return (node as { range?: readonly number[] | null } | null)?.range?.[0];
}

/** A document as read from a file, with the position of each of its fields. */
export class SourceDocument {
  readonly value: unknown;
  readonly #file: string;
  readonly #doc: Document;
  readonly #lineCounter: LineCounter;
  /** Makes many look-ups in a large object linear. */
  readonly #pairsByKey = new WeakMap<YAMLMap, ReadonlyMap<string | undefined, Pair>>();

  constructor(file: string, value: unknown, doc: Document, lineCounter: LineCounter) {
    this.#file = file;
    this.value = value;
    this.#doc = doc;
    this.#lineCounter = lineCounter;
  }

  /** Position of a field. An absent field has the position of the closest one that contains it. */
  positionOf(path: FieldPath): Position {
    let node: unknown = this.#doc.contents;
    let offset = offsetOf(node) ?? 0;
    for (const part of path) {
      const child = this.#child(node, part);
      if (child === undefined) {
        break;
      }
      offset = child.offset ?? offset;
      node = child.node;
    }
    const { line, col } = this.#lineCounter.linePos(offset);
    return { file: this.#file, line, column: col };
  }

  #child(
    parent: unknown,
    part: string | number,
  ): { readonly node: unknown; readonly offset: number | undefined } | undefined {
    const node = isAlias(parent) ? parent.resolve(this.#doc) : parent;
    if (isMap(node)) {
      const pair = this.#pairsOf(node).get(String(part));
      return pair && { node: pair.value, offset: offsetOf(pair.key) };
    }
    if (isSeq(node) && typeof part === 'number') {
      const item = node.items[part];
      return item === undefined ? undefined : { node: item, offset: offsetOf(item) };
    }
    return undefined;
  }

  #pairsOf(map: YAMLMap): ReadonlyMap<string | undefined, Pair> {
    const known = this.#pairsByKey.get(map);
    const pairs = known ?? new Map(map.items.map((pair) => [keyText(pair.key), pair] as const));
    this.#pairsByKey.set(map, pairs);
    return pairs;
  }
}
