/** Encodes messages as MessagePack and validates received ones. */
import {Packr} from 'msgpackr';
import * as z from 'zod';

/** The decoded content of a frame. */
export type Decoded<M> =
  | {readonly kind: 'message'; readonly message: M}
  /** A message of an unknown kind, `name`; a later version may send it. */
  | {readonly kind: 'unknown'; readonly name: string}
  | {readonly kind: 'malformed'; readonly detail: string};

/** Encodes and decodes the frames of one protocol. */
export interface FrameCodec<M> {
  encode(message: M): Uint8Array;
  decode(frame: Uint8Array): Decoded<M>;
}

// Without records, each frame can be decoded independently of earlier ones.
const packr = new Packr({useRecords: false, mapsAsObjects: true});

/**
 * Creates the codec of the messages that `schema` describes.
 *
 * @param kinds The known kinds; a message of another kind decodes to `unknown`.
 * @param unknownPart Names a part of a message of a known kind whose own kind is
 *     not known; the whole message then decodes to `unknown`.
 */
export function frameCodec<M extends {readonly kind: string}>(
  schema: z.ZodType<M>,
  kinds: ReadonlySet<string>,
  unknownPart: (message: object) => string | undefined = () => undefined,
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
      const part = unknownPart(value as object);
      if (part !== undefined) return {kind: 'unknown', name: part};
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
