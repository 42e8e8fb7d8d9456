/** Reads the body of a caller's request. */
import type {IncomingMessage} from 'node:http';

/** What came of reading a body. */
export type WholeBody =
  | {readonly kind: 'whole'; readonly bytes: Uint8Array}
  | {readonly kind: 'too_large'}
  /** The connection ended before the body. */
  | {readonly kind: 'cut'};

const EMPTY = new Uint8Array(0);

/** Reads a body of at most `limit` bytes. Never rejects. */
export async function readWhole(
  req: IncomingMessage,
  limit: number,
): Promise<WholeBody> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of req as AsyncIterable<Buffer>) {
      bytes += chunk.byteLength;
      if (bytes > limit) return {kind: 'too_large'};
      chunks.push(chunk);
    }
  } catch {
    // The stream rejects only when its connection has ended.
    return {kind: 'cut'};
  }
  if (!req.complete) return {kind: 'cut'};
  const whole = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
  return {kind: 'whole', bytes: bytes === 0 ? EMPTY : whole};
}
