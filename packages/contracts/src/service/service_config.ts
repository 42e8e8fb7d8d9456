/** Configuration of one service: its backend servers, contracts and budgets. */
import * as z from 'zod';
import {contractSchema} from '../contract/contract.js';
import {checkService, isIpAndPort} from './service_checks.js';

const nameSchema = z
  .string()
  .regex(
    /^[a-z][a-z0-9-]{0,62}$/,
    'a name of at most 63 lower-case letters, digits and hyphens',
  );

/** Schema of one backend server. */
export const backendServerSchema = z.strictObject({
  /** Id on the platform's list of instances. */
  id: z
    .string()
    .regex(
      /^[a-z0-9][a-z0-9.-]{0,126}$/,
      'an id of at most 127 lower-case letters, digits, dots and hyphens',
    ),
  /** IP address and port. */
  address: z
    .string()
    .refine(isIpAndPort, 'an IP address and a port, such as "10.0.0.1:8080"'),
  failureDomain: nameSchema,
  /** Number of requests that it runs concurrently. */
  slots: z.int().min(1).max(1024),
  /** Whether it finishes its current requests and gets no new ones. */
  draining: z.boolean().default(false),
});

/** Schema of the shares of a service's slots reserved for each rank, 0 to 1. */
const floorsSchema = z
  .strictObject({
    urgent: z.number().min(0).max(1).default(0),
    live: z.number().min(0).max(1).default(0.2),
    bulk: z.number().min(0).max(1).default(0.05),
  })
  .refine(f => f.urgent + f.live + f.bulk <= 1, {
    error: 'floors that add up to at most 1',
    params: {remedy: 'lower one of urgent, live (0.2) and bulk (0.05)'},
  });

/** Schema of a service's budgets. */
const budgetsSchema = z.strictObject({
  /** Maximum share of a backend server's time spent on probes. */
  measurementShare: z.number().min(0).max(0.1).default(0.01),
  /** Processing time of one probe at a backend server, milliseconds. */
  probeCostMs: z.number().min(0.1).max(1000).default(6),
  /** Retries as a share of successful requests. */
  retryShare: z.number().min(0).max(1).default(0.1),
  /** Hedged requests as a share of successful requests. */
  hedgeShare: z.number().min(0).max(1).default(0.02),
});

/** Schema of a service as operators write it. */
export const serviceSchema = z
  .strictObject({
    member: nameSchema,
    name: nameSchema,
    backendServers: z.array(backendServerSchema).max(10_000),
    contracts: z.array(contractSchema).min(1).max(200),
    floors: floorsSchema.prefault({}),
    budgets: budgetsSchema.prefault({}),
    /** Number of instances that share the scheduling of its backend servers. */
    owners: z.int().min(1).max(64).default(1),
  })
  .superRefine(checkService, {when: () => true});

/** One backend server of a service. */
export type BackendServerConfig = z.infer<typeof backendServerSchema>;
/** Shares of a service's slots reserved for each rank, 0 to 1. */
export type Floors = z.infer<typeof floorsSchema>;
/** Budgets of a service. */
export type Budgets = z.infer<typeof budgetsSchema>;
/** One service. */
export type ServiceConfig = z.infer<typeof serviceSchema>;

/** Globally unique name of a service: `member/name`. */
export type ServiceId = `${string}/${string}`;

/** Returns the globally unique name of a service. */
export function serviceIdOf(cfg: {member: string; name: string}): ServiceId {
  return `${cfg.member}/${cfg.name}`;
}
