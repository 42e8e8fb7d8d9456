/** Identifies the content of a request, whoever sends it and whatever its id is. */
import {createHash} from 'node:crypto';

/** Length of a fingerprint, base64url characters of 6 bits. */
const FINGERPRINT_LENGTH = 27;

/** The parts of a request that make up its content. */
export interface Content {
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  readonly body: Uint8Array;
}

/**
 * Returns a cryptographic hash of the content: nobody can make a request that is
 * taken for one with another content.
 */
export function contentFingerprint({
  method,
  host,
  target,
  body,
}: Content): string {
  // None of the first three can contain a line break.
  return createHash('sha256')
    .update(`${method}\n${host}\n${target}\n`)
    .update(body)
    .digest('base64url')
    .slice(0, FINGERPRINT_LENGTH);
}
