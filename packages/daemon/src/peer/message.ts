/**
 * Messages between instances, as MessagePack in binary WebSocket frames.
 *
 * Both ends send `hello`, then `proof`; any other message before them is
 * refused. After the handshake, messages may arrive in any order. A message of
 * an unknown kind comes from a later version and is ignored. Times are sent as
 * ages or remaining times in milliseconds, because the clocks of the instances
 * are not synchronized.
 */
import {contractSchema, serviceSchema} from '@ragworthall/contracts';
import type {CallResult} from '@ragworthall/balancer';
import type {ServiceId} from '@ragworthall/contracts';
import * as z from 'zod';
import {areValidFields} from '../caller/header_syntax.js';
import {frameCodec} from './frame_codec.js';

/** Protocol version; instances with different versions refuse to link. */
export const PROTOCOL_VERSION = 1;

const serviceId = z.string().transform(id => id as ServiceId);
const age = z.number();
const bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array);
const callNumber = z.int();

const holder = z.object({
  instance: z.string(),
  incarnation: z.string(),
  failureDomain: z.string(),
  peerAddress: z.string(),
  callerUrl: z.string(),
});

const hello = z.object({
  kind: z.literal('hello'),
  version: z.int(),
  cell: z.string(),
  seat: z.int(),
  seats: z.int(),
  holder,
  /** Random bytes that make the proof of the other end unique to this link. */
  nonce: bytes,
});

const proof = z.object({kind: z.literal('proof'), mac: bytes});

const heartbeat = z.object({
  kind: z.literal('heartbeat'),
  /**
   * Sequence number, echo, revision, age of the newest confirmation by the
   * table in milliseconds, flags.
   */
  facts: z.tuple([z.int(), z.int(), z.int(), z.int(), z.int()]),
});

/** What the sender knows of each seat of the cell, in the order of the seats. */
const seats = z.object({
  kind: z.literal('seats'),
  reports: z.array(
    z.discriminatedUnion('kind', [
      z.object({kind: z.literal('vacant')}),
      /** `recent`: an earlier holder was heard within the last lease time. */
      z.object({kind: z.literal('held'), holder, recent: z.boolean()}),
    ]),
  ),
});

/** An accepted change, as it is stored in the table and sent on links. */
const record = z.object({
  revision: z.int().min(1),
  operationId: z.string(),
  by: z.string(),
  changes: z.array(
    z.discriminatedUnion('kind', [
      z.object({kind: z.literal('put'), service: serviceSchema}),
      z.object({kind: z.literal('remove'), serviceId}),
    ]),
  ),
});

const change = z.object({kind: z.literal('change'), record});

/** Requests the changes from a revision on, or a snapshot instead. */
const changesWanted = z.object({
  kind: z.literal('changes_wanted'),
  from: z.int().min(1),
});

/** One part of a complete configuration; the parts are sent in order. */
const snapshot = z.object({
  kind: z.literal('snapshot'),
  revision: z.int(),
  part: z.int(),
  parts: z.int(),
  services: z.array(
    z.object({
      serviceId,
      revision: z.int(),
      operationId: z.string(),
      by: z.string(),
      /** Null if the service was removed. */
      service: serviceSchema.nullable(),
    }),
  ),
});

const rawHeaders = z.array(z.string());
const requestHeaders = rawHeaders.refine(
  areValidFields,
  'invalid header field',
);

const call = z.object({
  kind: z.literal('call'),
  number: callNumber,
  role: z.enum(['home', 'owner']),
  id: z.string(),
  serviceId,
  contract: contractSchema,
  rank: z.union([z.literal(1), z.literal(2), z.literal(3)]),
  method: z.string(),
  path: z.string(),
  headers: requestHeaders,
  body: bytes,
  key: z.string().optional(),
  remainingMs: z.number(),
  retriesLeft: z.number(),
  depth: z.number(),
  fingerprint: z.string(),
});

const refused = z.object({
  kind: z.literal('refused'),
  outcome: z.enum(['not-run', 'unknown']),
  reason: z.string(),
  retryAfterMs: z.number().optional(),
});

const answered = z.object({
  kind: z.literal('answered'),
  answer: z.object({status: z.int(), headers: rawHeaders, body: bytes}),
  replayed: z.boolean(),
});

const result = z.object({
  kind: z.literal('result'),
  number: callNumber,
  result: z.discriminatedUnion('kind', [answered, refused]),
});

const cancel = z.object({kind: z.literal('cancel'), number: callNumber});

/** Serving confirmations (`fresh`) and leaving status of backend servers. */
const signs = z.object({
  kind: z.literal('signs'),
  signs: z.array(
    z.discriminatedUnion('kind', [
      z.object({
        kind: z.literal('fresh'),
        serviceId,
        backendServerId: z.string(),
        ageMs: age,
      }),
      z.object({
        kind: z.literal('leaving'),
        serviceId,
        backendServerId: z.string(),
      }),
    ]),
  ),
});

const probe = z.object({
  kind: z.literal('probe'),
  number: callNumber,
  serviceId,
  backendServerId: z.string(),
});

const probed = z.object({
  kind: z.literal('probed'),
  number: callNumber,
  reply: z.discriminatedUnion('kind', [
    z.object({
      kind: z.literal('reached'),
      load: z.object({
        inFlight: z.number().optional(),
        state: z.string().optional(),
      }),
    }),
    z.object({kind: z.literal('unreachable'), detail: z.string()}),
    z.object({kind: z.literal('declined')}),
  ]),
});

const crashes = z.object({
  kind: z.literal('crashes'),
  counts: z.array(
    z.object({
      serviceId,
      fingerprint: z.string(),
      crashes: z.int(),
      ageMs: age,
    }),
  ),
});

const messageSchema = z.discriminatedUnion('kind', [
  hello,
  proof,
  heartbeat,
  seats,
  change,
  changesWanted,
  snapshot,
  call,
  result,
  cancel,
  signs,
  probe,
  probed,
  crashes,
]);

const KINDS: ReadonlySet<string> = new Set(
  messageSchema.options.map(option => option.shape.kind.value),
);

/** A message between instances. */
export type PeerMessage = z.infer<typeof messageSchema>;
/** A message of one kind. */
export type MessageOf<K extends PeerMessage['kind']> = Extract<
  PeerMessage,
  {kind: K}
>;

/** Codec of these messages. */
export const PEER_CODEC = frameCodec<PeerMessage>(messageSchema, KINDS);
export const {encode, decode} = PEER_CODEC;

/** Returns the result of a call from its message. */
export function resultOf(message: MessageOf<'result'>): CallResult {
  // A later version may send reasons that are unknown here; they are passed on.
  return message.result as CallResult;
}
