/**
 * Encodes the context of a call in the `x-call-context` header: its fields and
 * an HMAC over them, as `v1.DEADLINE.RANK.RETRIES.DEPTH.MAC` with the deadline
 * in base 36. Backend servers pass the header on with nested calls; the HMAC
 * ensures that only instances of the cell can create one.
 */
import type {CallContext} from '@ragworthall/balancer';
import type {Rank} from '@ragworthall/contracts';
import {err, ok, type Result} from 'neverthrow';
import {
  createHmac,
  createSecretKey,
  type KeyObject,
  timingSafeEqual,
} from 'node:crypto';
import {MessageFault} from './message_fault.js';

/** Length of the truncated HMAC in the header, bytes. */
const MAC_BYTES = 16;
/** Encoded deadlines are rounded down to a multiple of this, milliseconds. */
export const DEADLINE_STEP_MS = 10;
/** Maximum number of cached headers; the cache is cleared when it is full. */
const MAX_CACHED_HEADERS = 1_000;
/** Separates this key from other keys derived from the cell's secret. */
const KEY_DERIVATION_LABEL = 'ragworthall call context';

const HEADER_PATTERN =
  /^(v1\.([0-9a-z]{1,10})\.([123])\.(\d{1,2})\.(\d{1,2}))\.([A-Za-z0-9_-]{22})$/;

/** Reason for rejecting a context. */
export type ContextFault =
  | typeof MessageFault.ContextMalformed
  | typeof MessageFault.ContextForged
  | typeof MessageFault.ContextExpired;

/** Encodes and verifies the call contexts of one cell. */
export class CallContextCodec {
  private readonly key: KeyObject;
  /** Recent headers by their fields: a lookup is cheaper than an HMAC. */
  private readonly encodedHeaders = new Map<string, string>();

  /** @param secret The secret that all instances of the cell share. */
  constructor(secret: string) {
    const derived = createHmac('sha256', secret)
      .update(KEY_DERIVATION_LABEL)
      .digest();
    this.key = createSecretKey(derived);
  }

  /**
   * Encodes a context as a header. The deadline is rounded down to a multiple
   * of {@link DEADLINE_STEP_MS}, so that concurrent calls share a cached header.
   */
  encode(context: CallContext): string {
    const {rank, retriesLeft, depth} = context;
    const steps = Math.floor(context.deadline / DEADLINE_STEP_MS);
    const deadline = steps * DEADLINE_STEP_MS;
    const fields = `v1.${deadline.toString(36)}.${rank}.${retriesLeft}.${depth}`;
    const cached = this.encodedHeaders.get(fields);
    if (cached) return cached;
    const header = `${fields}.${this.macOf(fields).toString('base64url')}`;
    if (this.encodedHeaders.size >= MAX_CACHED_HEADERS)
      this.encodedHeaders.clear();
    this.encodedHeaders.set(fields, header);
    return header;
  }

  /**
   * Decodes and verifies a header. Returns undefined if there is no header.
   *
   * @param now Unix time, milliseconds.
   */
  decode(
    header: string | undefined,
    now: number,
  ): Result<CallContext | undefined, ContextFault> {
    if (header === undefined) return ok(undefined);
    const match = HEADER_PATTERN.exec(header);
    if (!match) return err(MessageFault.ContextMalformed);
    const [, fields, deadline, rank, retriesLeft, depth, mac] = match;
    const receivedMac = Buffer.from(mac!, 'base64url');
    if (!timingSafeEqual(receivedMac, this.macOf(fields!))) {
      return err(MessageFault.ContextForged);
    }
    const context: CallContext = {
      deadline: parseInt(deadline!, 36),
      rank: Number(rank) as Rank,
      retriesLeft: Number(retriesLeft),
      depth: Number(depth),
    };
    if (context.deadline <= now) return err(MessageFault.ContextExpired);
    return ok(context);
  }

  private macOf(fields: string): Buffer {
    const mac = createHmac('sha256', this.key).update(fields).digest();
    return mac.subarray(0, MAC_BYTES);
  }
}
