/** Authenticates operators by their member's token; only hashes are kept. */
import {createHash, timingSafeEqual} from 'node:crypto';

/** Looks up the member that a token belongs to. */
export interface OperatorTokens {
  /** Returns the member, or undefined if the token belongs to none. */
  memberOf(token: string): string | undefined;
}

/**
 * Returns the hash of a token as stored in the settings: SHA-256, hexadecimal.
 * Tokens are long and random, so a slow password hash would not add security.
 */
export function hashOperatorToken(token: string): string {
  return createHash('sha256').update(token, 'utf8').digest('hex');
}

/** Verifies tokens against the hashes in the settings. */
export class HashedOperatorTokens implements OperatorTokens {
  private readonly hashes: ReadonlyMap<string, Buffer>;

  /** `hashes` has the {@link hashOperatorToken} of each member's token. */
  constructor(hashes: ReadonlyMap<string, string>) {
    this.hashes = new Map(
      [...hashes].map(([member, hash]) => [member, Buffer.from(hash, 'hex')]),
    );
  }

  memberOf(token: string): string | undefined {
    const presented = Buffer.from(hashOperatorToken(token), 'hex');
    // Compares with the hashes of all members, so that the response time does
    // not reveal which one matches.
    const matches = [...this.hashes].filter(
      ([, hash]) =>
        hash.length === presented.length && timingSafeEqual(hash, presented),
    );
    return matches[0]?.[0];
  }
}
