/** Hash of a request's content, independent of its idempotency key. */
import xxhash from 'xxhash-wasm';
import type {CallerRequest} from './caller_server.js';

const {h64ToString, h64Raw} = await xxhash();

/** Returns a hash of the request's service, method, path and body. */
export function fingerprintOf(
  req: Pick<CallerRequest, 'serviceId' | 'method' | 'path' | 'body'>,
): string {
  const body = req.body.byteLength > 0 ? h64Raw(req.body).toString(36) : '';
  return h64ToString(`${req.serviceId} ${req.method} ${req.path} ${body}`);
}
