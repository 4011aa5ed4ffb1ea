import { parseDocumentText, type DocumentFile } from './parse-documents.js';
import { readText } from './read-text.js';

/** Reads the YAML documents of a file, or of standard input for `-`, within the documented bounds. */
export async function readDocumentFile(file: string): Promise<DocumentFile> {
  const text = await readText(file);
  return text.isOk()
    ? parseDocumentText(file, text.value)
    : { file, documents: [], problems: [text.error] };
}

export * from './parse-documents.js';
export * from './read-text.js';
export * from './source-document.js';
export * from './source-problem.js';
