/**
 * Keys by which instances prove to each other that they are instances. Each has a
 * key of its own in its entry in the platform's store, where callers cannot read
 * it; whoever sends something to an instance proves that it knows that key.
 */
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';

const KEY_BYTES = 32;
const NONCE_BYTES = 16;
/** The key in the store, and the one that was to be written before it was read. */
const MAX_KEYS = 2;

/** What is proved; a proof of one kind is none of another. */
export const ProofKind = {
  /** A request that is passed on. */
  Relay: 'relay',
  /** The end of a link that publishes news. */
  Source: 'source',
  /** The end of a link that receives news. */
  Listener: 'listener',
} as const;

/** A value of {@link ProofKind}. */
export type ProofKind = (typeof ProofKind)[keyof typeof ProofKind];

/** Returns a random text that is used for one proof only. */
export function createNonce(): string {
  return randomBytes(NONCE_BYTES).toString('base64url');
}

/** Proves the knowledge of a key for these fields. */
export function prove(
  key: string,
  kind: ProofKind,
  fields: readonly string[],
): string {
  const text = JSON.stringify([kind, ...fields]);
  return createHmac('sha256', key).update(text).digest('base64url');
}

/** Whether a proof was made with the key for these fields. */
export function isProved(
  key: string,
  kind: ProofKind,
  fields: readonly string[],
  proof: string,
): boolean {
  const expected = Buffer.from(prove(key, kind, fields));
  const given = Buffer.from(proof);
  return (
    given.byteLength === expected.byteLength && timingSafeEqual(given, expected)
  );
}

/** The keys of this instance. */
export class InstanceKeys {
  private keys: readonly string[] = [
    randomBytes(KEY_BYTES).toString('base64url'),
  ];
  /** Whether the key in the store is known, so that others may know it too. */
  isSettled = false;
  /** Resolves when it is. */
  readonly settled: Promise<void>;
  private notifySettled!: () => void;

  constructor() {
    this.settled = new Promise(resolve => (this.notifySettled = resolve));
  }

  /** The key that others are to know. */
  get current(): string {
    return this.keys[0]!;
  }

  /** Records the key in the store; what was proved with the one before holds. */
  settle(key: string): void {
    const others = this.keys.filter(known => known !== key);
    this.keys = [key, ...others].slice(0, MAX_KEYS);
    this.isSettled = true;
    this.notifySettled();
  }

  /** Whether another instance made the proof for these fields. */
  accepts(kind: ProofKind, fields: readonly string[], proof: string): boolean {
    return this.keys.some(key => isProved(key, kind, fields, proof));
  }
}
