/**
 * Bounds on a file of resources. They keep the time and memory for a hostile file small. A fleet of
 * 740 instances, as many upstreams and 300 teams has 384 KB, 1,880 documents and 177,000 tokens.
 */

/** The operator API refuses larger changes. */
export const MAX_FILE_BYTES = 4_194_304;
export const MAX_LINE_CHARS = 16_384;
/** Leading white space and list markers of a line, which bound the depth of block collections. */
export const MAX_INDENT_CHARS = 200;
/** Depth of collections in brackets and braces. */
export const MAX_FLOW_DEPTH = 32;
/** Lexical tokens, white space included. Each needs up to about 1 KB while the file is parsed. */
export const MAX_TOKENS = 400_000;
export const MAX_DOCUMENTS = 10_000;
/** Aliases after expansion, and anchors. The parser resolves each alias in linear time. */
export const MAX_ALIASES = 100;
/** Syntax problems and repeated fields that are reported for one document. */
export const MAX_DOCUMENT_PROBLEMS = 20;
