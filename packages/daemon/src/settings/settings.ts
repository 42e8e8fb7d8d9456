/** Settings of one daemon: JSON with comments, validated as a whole. */
import {type DocumentProblem, parseJsonc} from '@ragworthall/contracts';
import type {Result} from 'neverthrow';
import * as z from 'zod';
import {parseAddress} from './address.js';
import {checkSettings} from './settings_checks.js';

/** A name of an instance, a cell, a failure domain or a member. */
const nameSchema = z
  .string()
  .regex(
    /^[a-z][a-z0-9-]{0,62}$/,
    'a name of at most 63 lower-case letters, digits and hyphens',
  );

/** An IP address and a port to listen on; port 0 selects a free port. */
const listenAddressSchema = z
  .string()
  .refine(text => parseAddress(text) !== undefined, {
    error: 'an IP address and a port',
    params: {remedy: 'write it like "10.0.0.1:8080" or "[fd00::1]:8080"'},
  });

/** An IP address and a port to connect to. */
const peerAddressSchema = z
  .string()
  .refine(text => (parseAddress(text)?.port ?? 0) > 0, {
    error: 'an IP address and a port above 0',
    params: {remedy: 'write it like "10.0.0.1:8080" or "[fd00::1]:8080"'},
  });

/** Levels of the log, most severe first. */
export const LOG_LEVELS = ['error', 'warn', 'info', 'debug'] as const;

/** One of {@link LOG_LEVELS}. */
export type LogLevel = (typeof LOG_LEVELS)[number];

const instanceSchema = z.strictObject({
  /** Name of the instance, unique in the fleet. */
  id: nameSchema,
  failureDomain: nameSchema,
});

const cellSchema = z.strictObject({
  /** Name of the cell, whose instances share a configuration and its backend servers. */
  name: nameSchema,
  /** Position of this instance in the cell, counted from 0. */
  seat: z.int().min(0).max(63),
  /** Number of positions in the cell; the same on all its instances. */
  seats: z.int().min(1).max(64),
  /** Secret shared by the instances of the cell. */
  secret: z.string().min(16).max(1024),
  /** Peer addresses of other instances, for a start while the table is unavailable. */
  seeds: z.array(peerAddressSchema).max(64).default([]),
});

const listenSchema = z.strictObject({
  /** Requests of callers, and address lookups. */
  callers: listenAddressSchema,
  /** Remote procedure calls of operators. */
  operators: listenAddressSchema,
  /** Connections of other instances. */
  peers: listenAddressSchema,
  /** Liveness, readiness and log level of the daemon itself. */
  health: listenAddressSchema,
});

const platformSchema = z.strictObject({
  /** Base URL of the platform. */
  url: z.url({
    protocol: /^https?$/,
    error: 'a URL, such as "http://10.0.0.1:7000"',
  }),
});

const operatorSchema = z.strictObject({
  member: nameSchema,
  /** SHA-256 of the operator's token, in hexadecimal. */
  tokenSha256: z
    .string()
    .regex(
      /^[0-9a-f]{64}$/,
      'a SHA-256 in 64 lower-case hexadecimal digits, never the token itself',
    ),
});

const shareSchema = z.strictObject({
  member: nameSchema,
  /** Fraction of the instance that the member can use even under contention. */
  share: z.number().gt(0).max(1),
});

const limitsSchema = z.strictObject({
  /** Maximum number of open connections of callers. */
  connections: z.int().min(1).max(1_000_000).default(20_000),
  /** Maximum size of a request's headers, bytes. */
  headerBytes: z.int().min(1024).max(1_048_576).default(16_384),
  /** Maximum size of the body of a request or answer, bytes. */
  bodyBytes: z.int().min(1024).max(1_073_741_824).default(1_048_576),
  /** Maximum size of all callers' request bodies in memory together, bytes. */
  bodyMemoryBytes: z
    .int()
    .min(1024)
    .max(Number.MAX_SAFE_INTEGER)
    .default(67_108_864),
  /** Time limit for receiving a request's headers, milliseconds. */
  headersMs: z.int().min(100).max(600_000).default(10_000),
  /** Time limit for receiving a request's body, milliseconds. */
  bodyMs: z.int().min(100).max(600_000).default(30_000),
  /** Time in which a caller must take some of its answer, milliseconds. */
  answerMs: z.int().min(100).max(600_000).default(100_000),
  /** Time after which an idle connection is closed, milliseconds. */
  keepAliveMs: z.int().min(1000).max(3_600_000).default(65_000),
  /** Agreed shares of members; members without one share the rest. */
  shares: z.array(shareSchema).max(1000).default([]),
});

const dispatchSchema = z.strictObject({
  /** Policy to choose a backend server; all but the default are for comparison. */
  policy: z
    .enum([
      'fastest_free',
      'power_of_two',
      'least_in_flight',
      'round_robin',
      'random',
    ])
    .default('fastest_free'),
});

const stopSchema = z.strictObject({
  /** Longest wait for requests in flight at a graceful stop, milliseconds. */
  graceMs: z.int().min(0).max(3_600_000).default(60_000),
});

const metricsSchema = z.strictObject({
  enabled: z.boolean().default(false),
  /** Address of the statsd server, UDP. */
  host: z
    .union([z.ipv4(), z.ipv6()], {error: 'an IP address'})
    .default('127.0.0.1'),
  port: z.int().min(1).max(65_535).default(8125),
  /** Prefix of each name. */
  prefix: z
    .string()
    .regex(/^[a-z0-9_.-]{0,64}$/, 'lower-case letters, digits, ".", "_", "-"')
    .default('ragworthall.'),
});

const logSchema = z.strictObject({
  /** `info` logs each routing decision, `warn` none. */
  level: z.enum(LOG_LEVELS).default('info'),
});

/** Schema of the settings file. */
export const settingsSchema = z
  .strictObject({
    instance: instanceSchema,
    cell: cellSchema,
    listen: listenSchema,
    platform: platformSchema,
    operators: z.array(operatorSchema).max(1000).default([]),
    limits: limitsSchema.prefault({}),
    dispatch: dispatchSchema.prefault({}),
    stop: stopSchema.prefault({}),
    metrics: metricsSchema.prefault({}),
    log: logSchema.prefault({}),
  })
  .superRefine(checkSettings, {when: () => true});

/** Validated settings of one daemon. */
export type Settings = z.infer<typeof settingsSchema>;

/** Parses settings; on failure returns every problem, in the order of the file. */
export function readSettings(
  text: string,
): Result<Settings, readonly DocumentProblem[]> {
  return parseJsonc(text, settingsSchema);
}
