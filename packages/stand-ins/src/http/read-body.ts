import type { IncomingMessage } from 'node:http';

/** Reads a whole request body. Throws when it is longer than `maxBytes`. */
export async function readBody(
  req: IncomingMessage,
  maxBytes = Number.MAX_SAFE_INTEGER,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of req as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > maxBytes) {
      throw new Error('request body too large');
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}
