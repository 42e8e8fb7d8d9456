/** Helpers to read HTTP requests and write responses. */
import type {
  IncomingMessage,
  OutgoingHttpHeaders,
  ServerResponse,
} from 'node:http';
import * as z from 'zod';

/** HTTP status codes used by the stand-ins. */
export const Status = {
  Ok: 200,
  NoContent: 204,
  BadRequest: 400,
  NotFound: 404,
  Conflict: 409,
  ServerError: 500,
  Unavailable: 503,
} as const;

/** One of the values of {@link Status}. */
export type Status = (typeof Status)[keyof typeof Status];

const EMPTY_BODY = Buffer.alloc(0);

/** Whether the request headers announce a body. */
export function hasBody(req: IncomingMessage): boolean {
  const length = req.headers['content-length'];
  if (length !== undefined) return length !== '0';
  return req.headers['transfer-encoding'] !== undefined;
}

/** Reads the body; undefined if the connection closes before it is complete. */
export function readBody(req: IncomingMessage): Promise<Buffer | undefined> {
  if (!hasBody(req)) return Promise.resolve(EMPTY_BODY);
  // Event listeners are cheaper here than the stream's async iterator.
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    req.on('data', (chunk: Buffer) => chunks.push(chunk));
    req.on('end', () => resolve(concatChunks(chunks)));
    req.on('close', () => resolve(undefined));
  });
}

function concatChunks(chunks: readonly Buffer[]): Buffer {
  return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
}

/**
 * Reads a JSON body and validates it. If it is invalid, responds with 400 and
 * returns undefined.
 */
export async function readValidJson<T>(
  req: IncomingMessage,
  res: ServerResponse,
  schema: z.ZodType<T>,
): Promise<T | undefined> {
  const body = await readBody(req);
  const result = schema.safeParse(parseJson(String(body)));
  if (result.success) return result.data;
  const message = z.prettifyError(result.error);
  sendJson(res, Status.BadRequest, {message});
  return undefined;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

/** A signal aborted if the connection closes before the response ends. */
export function closeSignal(res: ServerResponse): AbortSignal {
  if (res.closed || res.req.socket.destroyed) return AbortSignal.abort();
  const closed = new AbortController();
  res.once('close', () => closed.abort());
  return closed.signal;
}

/** Sends a JSON response. */
export function sendJson(
  res: ServerResponse,
  status: Status,
  body: unknown,
): void {
  const text = JSON.stringify(body);
  res.writeHead(status, jsonHeaders(Buffer.byteLength(text)));
  // Node sends a string body in the same write as the headers.
  res.end(text);
}

/** Sends the first half of a JSON body, then closes the connection. */
export function sendTruncatedJson(
  res: ServerResponse,
  status: Status,
  body: unknown,
): void {
  const bytes = Buffer.from(JSON.stringify(body));
  res.writeHead(status, jsonHeaders(bytes.length));
  const firstHalf = bytes.subarray(0, bytes.length >> 1);
  res.write(firstHalf, () => res.destroy());
}

function jsonHeaders(length: number): OutgoingHttpHeaders {
  return {'content-type': 'application/json', 'content-length': length};
}

/** Sends a response without a body. */
export function sendEmpty(res: ServerResponse, status: Status): void {
  res.writeHead(status, {'content-length': 0});
  res.end();
}

/** The value of a header; the first one if it was sent several times. */
export function headerValue(
  req: IncomingMessage,
  name: string,
): string | undefined {
  const value = req.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
