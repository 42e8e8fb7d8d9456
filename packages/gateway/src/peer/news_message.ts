/** Messages by which instances share the changes that they read from the store. */
import {frameCodec} from '@ragworthall/daemon';
import * as z from 'zod';

/**
 * Format of the messages that this build sends. It rises with each field that is
 * added; what an instance does not know it passes over.
 */
export const NEWS_FORMAT = 2;

const version = z.int();
/** Builds before the first numbered format leave it out. */
const format = z.int().min(0).default(0);
const nonce = z.string().min(1);
/** Instances that know of no eras leave it out. */
const era = z.int().min(0).default(0);

const row = z.object({
  key: z.string(),
  version,
  /** The stored value; left out if the row was removed. */
  text: z.string().optional(),
});

const news = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('rows'),
    era,
    from: version,
    version,
    rows: z.array(row).readonly(),
  }),
  z.object({kind: z.literal('unchanged'), era, from: version, version}),
  z.object({kind: z.literal('changed'), era, version}),
  z.object({kind: z.literal('no_answer')}),
  z.object({kind: z.literal('regained')}),
]);

const messageSchema = z.discriminatedUnion('kind', [
  /** The first message on a link: subscribes to the other instance's updates. */
  z.object({
    kind: z.literal('listen'),
    format,
    instance: z.string(),
    givesRows: z.boolean(),
    /** For the proofs of both ends; builds before them leave it out. */
    nonce: nonce.optional(),
  }),
  /** The source's answer to a subscription with a nonce. */
  z.object({kind: z.literal('challenge'), format, nonce, proof: z.string()}),
  /** The listener's answer to a challenge. */
  z.object({kind: z.literal('proof'), format, proof: z.string()}),
  z.object({
    kind: z.literal('news'),
    format,
    table: z.string(),
    news,
    /** How many instances have passed it on since one read it in the store. */
    hops: z.int().min(0).default(0),
  }),
]);

/** A message between instances. */
export type NewsMessage = z.infer<typeof messageSchema>;

const KINDS: ReadonlySet<string> = new Set(
  messageSchema.options.map(option => option.shape.kind.value),
);

const NEWS_KINDS: ReadonlySet<string> = new Set(
  news.options.map(option => option.shape.kind.value),
);

const anyNews = z.object({
  kind: z.literal('news'),
  news: z.object({kind: z.string()}),
});

/** Names news of a kind that a later build has added. */
function unknownNews(message: object): string | undefined {
  const {data} = anyNews.safeParse(message);
  if (!data || NEWS_KINDS.has(data.news.kind)) return undefined;
  return `news ${data.news.kind}`;
}

/** Encodes and decodes frames of these messages. */
export const NEWS_CODEC = frameCodec<NewsMessage>(
  messageSchema,
  KINDS,
  unknownNews,
);
