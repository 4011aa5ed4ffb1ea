import { LineCounter, isMap, isSeq, parseAllDocuments, visit, type Document } from 'yaml';
import { Err, Ok, type Result } from '@turmerichoist/core';
import { MAX_ALIASES, MAX_DOCUMENT_PROBLEMS } from './limits.js';
import { scanText } from './scan-text.js';
import { SourceDocument, keyText, offsetOf } from './source-document.js';
import type { SourceProblem } from './source-problem.js';

/** The documents of a file and the reasons why others of its documents can't be used. */
export interface DocumentFile {
  readonly file: string;
  readonly documents: readonly SourceDocument[];
  readonly problems: readonly SourceProblem[];
}

/** Parses the YAML documents of a text. Empty documents are left out. */
export function parseDocumentText(file: string, text: string): DocumentFile {
  const exceeded = scanText(file, text);
  if (exceeded !== undefined) {
    return { file, documents: [], problems: [exceeded] };
  }
  const lineCounter = new LineCounter();
  const parsed = parseAllDocuments(text, { lineCounter, uniqueKeys: false, prettyErrors: false });
  const results = [...parsed].map((doc) => new DocumentReader(file, doc, lineCounter).read());
  return {
    file,
    documents: results.flatMap((result) => (result.isOk() ? (result.value ?? []) : [])),
    problems: results.flatMap((result) => (result.isErr() ? result.error : [])),
  };
}

/** Turns one parsed document into its value. */
class DocumentReader {
  readonly #file: string;
  readonly #doc: Document;
  readonly #lineCounter: LineCounter;

  constructor(file: string, doc: Document, lineCounter: LineCounter) {
    this.#file = file;
    this.#doc = doc;
    this.#lineCounter = lineCounter;
  }

  /** Returns the document, or undefined if it is empty. */
  read(): Result<SourceDocument | undefined, readonly SourceProblem[]> {
    const doc = this.#doc;
    const problems = doc.errors.length > 0 ? this.#syntaxProblems() : this.#keyProblems();
    if (problems.length > 0) {
      return Err(problems);
    }
    try {
      const value: unknown = doc.toJS({ maxAliasCount: MAX_ALIASES });
      if (value === null) {
        return Ok(undefined);
      }
      return isMap(doc.contents)
        ? Ok(new SourceDocument(this.#file, value, doc, this.#lineCounter))
        : Err([this.#notAnObject()]);
    } catch (err) {
      // The parser throws a ReferenceError for aliases that expand to more than the limit.
      const message = `the aliases can't be resolved: ${(err as Error).message}`;
      const nextStep = `Write the values out; at most ${MAX_ALIASES} aliases are expanded.`;
      return Err([this.#problem('alias-limit', this.#start(), message, nextStep)]);
    }
  }

  #syntaxProblems(): readonly SourceProblem[] {
    const nextStep = 'Correct the YAML syntax.';
    return this.#doc.errors
      .slice(0, MAX_DOCUMENT_PROBLEMS)
      .map((err) => this.#problem('yaml-syntax', err.pos[0], err.message, nextStep));
  }

  /** Repeated keys are found here in linear time; the parser's own check is quadratic. */
  #keyProblems(): readonly SourceProblem[] {
    const problems: SourceProblem[] = [];
    visit(this.#doc, {
      Map: (_, map) => {
        const seen = new Set<string>();
        for (const { key } of map.items) {
          const text = keyText(key);
          const problem = this.#keyProblem(key, text, text !== undefined && seen.has(text));
          if (problem !== undefined) {
            problems.push(problem);
          }
          seen.add(text ?? '');
        }
        return problems.length < MAX_DOCUMENT_PROBLEMS ? undefined : visit.BREAK;
      },
    });
    return problems.slice(0, MAX_DOCUMENT_PROBLEMS);
  }

  #keyProblem(key: unknown, text: string | undefined, seen: boolean): SourceProblem | undefined {
    const at = offsetOf(key) ?? this.#start();
    if (text === undefined) {
      return this.#problem('yaml-syntax', at, 'a field name must be text', 'Correct the field.');
    }
    const message = `the field ${text} appears more than once in the same object`;
    return seen
      ? this.#problem('duplicate-key', at, message, 'Delete one of the two fields.')
      : undefined;
  }

  #notAnObject(): SourceProblem {
    const type = isSeq(this.#doc.contents) ? 'a list' : 'a single value';
    const message = `the document is ${type}, not an object`;
    const nextStep = 'Write each resource as an object with kind, name and spec, separated by ---.';
    return this.#problem('not-an-object', this.#start(), message, nextStep);
  }

  #start(): number {
    return offsetOf(this.#doc.contents) ?? this.#doc.range?.[0] ?? 0;
  }

  #problem(rule: string, offset: number, message: string, nextStep: string): SourceProblem {
    const { line, col } = this.#lineCounter.linePos(offset);
    return { rule, position: { file: this.#file, line, column: col }, message, nextStep };
  }
}
