/** The contract of one kind of request: rank, deadline and latency target. */
import * as z from 'zod';
import {Rank} from './rank.js';

/** Longest deadline that a contract may set, milliseconds. */
const MAX_DEADLINE_MS = 600_000;

const rankSchema = z.union([
  z.literal(Rank.Urgent),
  z.literal(Rank.Live),
  z.literal(Rank.Bulk),
]);

/** Schema of a contract as operators write it. */
export const contractSchema = z.strictObject({
  /** Name, unique within the service. */
  name: z
    .string()
    .regex(
      /^[a-z][a-z0-9-]{0,62}$/,
      'a name of at most 63 lower-case letters, digits and hyphens',
    ),
  /** HTTP method, upper case. */
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /**
   * Path pattern below the service; `:name` matches a segment, `*` the rest.
   */
  path: z
    .string()
    .regex(
      /^\/[^\s?#]*$/,
      'a path that starts with / and has no ?, # or space',
    ),
  rank: rankSchema,
  /** Whether the request may run more than once. */
  idempotent: z.boolean(),
  /** Time after which a response is of no use to the caller, milliseconds. */
  deadlineMs: z.int().min(1).max(MAX_DEADLINE_MS),
  /** Latency that the service aims for, milliseconds. */
  targetMs: z.int().min(1).max(MAX_DEADLINE_MS),
});

/** Contract of one kind of request of a service, as set by an operator. */
export type Contract = z.infer<typeof contractSchema>;
