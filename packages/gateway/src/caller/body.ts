/** Reads the body of a caller's request. */
import type {IncomingMessage} from 'node:http';

/** The result of reading a body. */
export type BodyResult =
  | {readonly kind: 'complete'; readonly bytes: Uint8Array}
  | {readonly kind: 'too_large'}
  /** The connection ended before the body was complete. */
  | {readonly kind: 'truncated'};

const EMPTY = new Uint8Array(0);

/** Reads a body of at most `maxBytes` bytes. Never rejects. */
export async function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<BodyResult> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of req as AsyncIterable<Buffer>) {
      bytes += chunk.byteLength;
      if (bytes > maxBytes) return {kind: 'too_large'};
      chunks.push(chunk);
    }
  } catch {
    // The stream fails only if its connection has ended.
    return {kind: 'truncated'};
  }
  if (!req.complete) return {kind: 'truncated'};
  const body = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
  return {kind: 'complete', bytes: bytes === 0 ? EMPTY : body};
}
