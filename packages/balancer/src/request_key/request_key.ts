/**
 * Keys of requests that are not idempotent. A key identifies its home: the
 * incarnation of the instance that issued its prefix in an address answer. Only
 * the home runs the request, so at-most-once execution needs no coordination
 * between instances.
 *
 * Format: `INSTANCE~INCARNATION~ISSUED.UNIQUE`. ISSUED is the number of
 * milliseconds from the start of the incarnation, on its monotonic clock, in
 * base 36.
 */
import {err, ok, type Result} from 'neverthrow';

/** Time for which a key is accepted after its prefix was issued, milliseconds. */
export const KEY_LIFETIME_MS = 5 * 60_000;

const KEY_PATTERN =
  /^([a-z0-9][a-z0-9-]{0,62})~([a-z0-9]{1,32})~([0-9a-z]{1,9})\.([A-Za-z0-9_-]{1,128})$/;

/** The parsed parts of a key. */
export interface RequestKey {
  readonly instance: string;
  readonly incarnation: string;
  /** Milliseconds from the start of the incarnation. */
  readonly issuedAt: number;
  readonly unique: string;
}

/**
 * Returns the prefix of keys issued now.
 *
 * @param sinceStartMs Milliseconds from the start of the incarnation.
 */
export function keyPrefix(
  instance: string,
  incarnation: string,
  sinceStartMs: number,
): string {
  const issued = Math.floor(sinceStartMs).toString(36);
  return `${instance}~${incarnation}~${issued}`;
}

/** Parses a key. */
export function parseRequestKey(text: string): Result<RequestKey, 'malformed'> {
  const match = KEY_PATTERN.exec(text);
  if (!match) return err('malformed');
  const [, instance, incarnation, issued, unique] = match;
  return ok({
    instance: instance!,
    incarnation: incarnation!,
    issuedAt: parseInt(issued!, 36),
    unique: unique!,
  });
}
