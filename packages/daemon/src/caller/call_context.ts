/**
 * The context of a call as the `x-call-context` header: its fields and an HMAC
 * over them, `v1.DEADLINE.RANK.RETRIES.DEPTH.MAC`, the deadline in base 36.
 * Backend servers pass it on; only instances of the cell can make one.
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

/** Bytes of the HMAC that the header carries. */
const MAC_BYTES = 16;
/** Step of the deadlines that go down, milliseconds. */
export const DEADLINE_STEP_MS = 10;
/** Headers that are kept. */
const MAX_WRITTEN = 1_000;
/** Keeps this use of the cell's secret apart from others. */
const PURPOSE = 'ragworthall call context';

const FORM =
  /^(v1\.([0-9a-z]{1,10})\.([123])\.(\d{1,2})\.(\d{1,2}))\.([A-Za-z0-9_-]{22})$/;

/** Why a context is not accepted. */
export type ContextFault =
  | typeof MessageFault.ContextMalformed
  | typeof MessageFault.ContextForged
  | typeof MessageFault.ContextExpired;

/** Writes and checks the contexts of one cell. */
export class CallContextCodec {
  private readonly key: KeyObject;
  /** Headers written lately, by their fields: a MAC costs more than a look. */
  private readonly written = new Map<string, string>();

  /** @param secret The secret that all instances of the cell share. */
  constructor(secret: string) {
    const derived = createHmac('sha256', secret).update(PURPOSE).digest();
    this.key = createSecretKey(derived);
  }

  /**
   * Writes a context as a header. The deadline is rounded down to a multiple of
   * {@link DEADLINE_STEP_MS}, so that calls of one moment share a header.
   */
  encode(context: CallContext): string {
    const {rank, retriesLeft, depth} = context;
    const steps = Math.floor(context.deadline / DEADLINE_STEP_MS);
    const deadline = steps * DEADLINE_STEP_MS;
    const fields = `v1.${deadline.toString(36)}.${rank}.${retriesLeft}.${depth}`;
    const known = this.written.get(fields);
    if (known) return known;
    const header = `${fields}.${this.macOf(fields).toString('base64url')}`;
    if (this.written.size >= MAX_WRITTEN) this.written.clear();
    this.written.set(fields, header);
    return header;
  }

  /**
   * Reads a header; without one there is no context.
   *
   * @param now Unix milliseconds.
   */
  decode(
    header: string | undefined,
    now: number,
  ): Result<CallContext | undefined, ContextFault> {
    if (header === undefined) return ok(undefined);
    const match = FORM.exec(header);
    if (!match) return err(MessageFault.ContextMalformed);
    const [, fields, deadline, rank, retriesLeft, depth, mac] = match;
    const given = Buffer.from(mac!, 'base64url');
    if (!timingSafeEqual(given, this.macOf(fields!))) {
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
