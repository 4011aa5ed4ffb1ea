import { CST, Lexer } from 'yaml';
import {
  MAX_ALIASES,
  MAX_DOCUMENTS,
  MAX_FLOW_DEPTH,
  MAX_INDENT_CHARS,
  MAX_LINE_CHARS,
  MAX_TOKENS,
} from './limits.js';
import type { SourceProblem } from './source-problem.js';

const LEADING_MARKERS = /[ \t]*(?:[-?:][ \t]+)*/y;
const SPLIT = 'Split it into several files.';

/**
 * Checks the bounds that the YAML parser lacks, before it builds a tree: the parser is recursive in
 * the depth of collections, and quadratic in the number of anchors.
 */
export function scanText(file: string, text: string): SourceProblem | undefined {
  return scanLines(file, text) ?? scanTokens(file, text);
}

function scanLines(file: string, text: string): SourceProblem | undefined {
  let line = 1;
  for (let start = 0; start < text.length; line += 1) {
    const newline = text.indexOf('\n', start);
    const end = newline < 0 ? text.length : newline;
    if (end - start > MAX_LINE_CHARS) {
      const message = `the line has ${end - start} characters; the limit is ${MAX_LINE_CHARS}`;
      const nextStep = 'Break the line.';
      return { rule: 'line-too-long', position: { file, line }, message, nextStep };
    }
    LEADING_MARKERS.lastIndex = start;
    const indent = LEADING_MARKERS.exec(text)?.[0].split('\n', 1)[0] ?? '';
    if (indent.length > MAX_INDENT_CHARS) {
      return tooDeep(file, line, `the line is indented by more than ${MAX_INDENT_CHARS} columns`);
    }
    start = end + 1;
  }
  return undefined;
}

function tooDeep(file: string, line: number, message: string): SourceProblem {
  const nextStep = 'Write the document with fewer levels.';
  return { rule: 'nesting-too-deep', position: { file, line }, message, nextStep };
}

/** Counts of the tokens seen so far. */
interface TokenCounts {
  tokens: number;
  documents: number;
  references: number;
  flowDepth: number;
}

function scanTokens(file: string, text: string): SourceProblem | undefined {
  const counts: TokenCounts = { tokens: 0, documents: 0, references: 0, flowDepth: 0 };
  let offset = 0;
  let isScalarContent = false;
  for (const token of new Lexer().lex(text)) {
    const isControl = token === CST.DOCUMENT || token === CST.FLOW_END || token === CST.SCALAR;
    if (!isControl) {
      count(counts, isScalarContent ? 'scalar' : CST.tokenType(token));
      offset += token.length;
    }
    isScalarContent = token === CST.SCALAR;
    const exceeded = exceededBound(counts);
    if (exceeded !== undefined) {
      const line = text.slice(0, offset).split('\n').length;
      return exceeded === 'depth'
        ? tooDeep(file, line, `collections are nested deeper than ${MAX_FLOW_DEPTH} levels`)
        : { rule: 'file-too-large', position: { file, line }, message: exceeded, nextStep: SPLIT };
    }
  }
  return undefined;
}

function count(counts: TokenCounts, type: CST.TokenType | null): void {
  counts.tokens += 1;
  switch (type) {
    case 'doc-start':
      counts.documents += 1;
      break;
    case 'alias':
    case 'anchor':
      counts.references += 1;
      break;
    case 'flow-map-start':
    case 'flow-seq-start':
      counts.flowDepth += 1;
      break;
    case 'flow-map-end':
    case 'flow-seq-end':
      counts.flowDepth = Math.max(0, counts.flowDepth - 1);
      break;
    default:
  }
}

function exceededBound(counts: TokenCounts): string | undefined {
  if (counts.flowDepth > MAX_FLOW_DEPTH) {
    return 'depth';
  }
  if (counts.tokens > MAX_TOKENS) {
    return `the file has more than ${MAX_TOKENS} tokens`;
  }
  if (counts.documents > MAX_DOCUMENTS) {
    return `the file has more than ${MAX_DOCUMENTS} documents`;
  }
  return counts.references > 2 * MAX_ALIASES
    ? `the file has more than ${2 * MAX_ALIASES} anchors and aliases`
    : undefined;
}
