/** Settings of a stand-in backend server, and specifications of several. */
import * as z from 'zod';
import {coldStartOptionsSchema} from './cold_start.js';
import {ServiceTimeDistribution} from './service_time_sampler.js';

/** Schema of {@link BackendServerOptions}. */
const backendServerOptionsSchema = z.strictObject({
  id: z.string(),
  /** Port on the loopback address; 0 picks a free port. */
  port: z.int().min(0).default(0),
  slots: z.int().min(1),
  /** Requests that may wait for a slot; defaults to the number of slots. */
  queueLimit: z.int().min(0).optional(),
  /** Mean service time in milliseconds. */
  serviceMs: z.number().min(0),
  distribution: z
    .enum(ServiceTimeDistribution)
    .default(ServiceTimeDistribution.Fixed),
  /** Seed for the random service times. */
  seed: z.int().default(0),
  failureDomain: z.string().default(''),
  /** Time for which a probe occupies a slot, in milliseconds. */
  probeCostMs: z.number().min(0).default(6),
  /** Delay that a new connection adds to the next run, in milliseconds. */
  connectionCostMs: z.number().min(0).default(0),
  /** Whether the ledger records requests by key; false for long benchmarks. */
  keyedLedger: z.boolean().default(true),
  /** Cold start after a crash; the initial start has none. */
  coldStart: coldStartOptionsSchema.default({durationMs: 1_000, slowFactor: 5}),
});

/** Settings of a stand-in backend server. */
export type BackendServerOptions = Readonly<
  z.input<typeof backendServerOptionsSchema>
>;

/** Settings with all defaults filled in. */
export type ResolvedBackendServerOptions = Readonly<
  z.output<typeof backendServerOptionsSchema>
>;

/** Validates the settings and fills in the defaults. */
export function withDefaults(
  options: BackendServerOptions,
): ResolvedBackendServerOptions {
  return backendServerOptionsSchema.parse(options);
}

/** Schema of a specification: the settings of several backend servers. */
export const specificationSchema = z.array(backendServerOptionsSchema);
