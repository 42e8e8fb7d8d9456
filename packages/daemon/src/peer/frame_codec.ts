/** Messages as MessagePack in binary frames, checked against a schema. */
import {Packr} from 'msgpackr';
import {z} from 'zod';

/** What a frame holds. */
export type Decoded<M> =
  | {readonly kind: 'message'; readonly message: M}
  | {readonly kind: 'unknown'; readonly name: string}
  | {readonly kind: 'malformed'; readonly detail: string};

/** Writes and reads the frames of one protocol. */
export interface FrameCodec<M> {
  encode(message: M): Uint8Array;
  decode(frame: Uint8Array): Decoded<M>;
}

// Plain maps: a frame can be read without those before it.
const packr = new Packr({useRecords: false, mapsAsObjects: true});

/**
 * Returns the codec of messages that `schema` describes.
 *
 * @param kinds Their kinds; other kinds belong to a later version.
 */
export function frameCodec<M extends {readonly kind: string}>(
  schema: z.ZodType<M>,
  kinds: ReadonlySet<string>,
): FrameCodec<M> {
  return {
    encode: message => packr.pack(message),
    decode(frame) {
      const value = unpack(frame);
      const name = (value as {kind?: unknown} | null | undefined)?.kind;
      if (typeof name !== 'string') {
        return {kind: 'malformed', detail: 'no kind'};
      }
      if (!kinds.has(name)) return {kind: 'unknown', name};
      const parsed = schema.safeParse(value);
      if (parsed.success) return {kind: 'message', message: parsed.data};
      return {kind: 'malformed', detail: z.prettifyError(parsed.error)};
    },
  };
}

function unpack(frame: Uint8Array): unknown {
  try {
    return packr.unpack(frame) as unknown;
  } catch {
    return undefined;
  }
}
