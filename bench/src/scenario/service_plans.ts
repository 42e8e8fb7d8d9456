/** The services of both members in their current sizes, run on stand-ins. */
import {
  type Contract,
  Rank,
  type ServiceConfig,
  serviceSchema,
} from '@ragworthall/contracts';
import type {RequestKind} from '../caller/observation.js';
import type {RunningServer, ServerSpec} from '../launch/cluster.js';

/** A service to set up for a scenario. */
export interface ServicePlan {
  readonly member: string;
  readonly name: string;
  readonly servers: number;
  readonly slots: number;
  readonly failureDomains: readonly string[];
  readonly contracts: readonly Contract[];
}

/** Default mean service time of a backend server, milliseconds. */
export const SERVICE_MS = 150;

const STEPS_DOMAINS = ['steps-a', 'steps-b', 'steps-c', 'steps-d'];
const ALTAMAR_DOMAINS = ['altamar-a', 'altamar-b', 'altamar-c'];

function read(name: string, rank: Rank, targetMs: number): Contract {
  return {
    name,
    method: 'GET',
    path: `/${name}/:id`,
    rank,
    idempotent: true,
    deadlineMs: targetMs * 3,
    targetMs,
  };
}

function write(name: string, rank: Rank, targetMs: number): Contract {
  return {...read(name, rank, targetMs), method: 'POST', idempotent: false};
}

/** All services of both members. */
export const SERVICE_PLANS: readonly ServicePlan[] = [
  plan('ubuntu-steps', 'listings', 15, [
    read('show', Rank.Live, 1_500),
    read('reprint', Rank.Bulk, 3_000),
    write('hold', Rank.Urgent, 1_500),
  ]),
  plan('ubuntu-steps', 'archive', 12, [read('lesson', Rank.Bulk, 3_000)]),
  plan('ubuntu-steps', 'reservations', 8, [
    write('book', Rank.Urgent, 1_500),
    read('seats', Rank.Live, 1_500),
  ]),
  plan('ubuntu-steps', 'settlement', 8, [write('payout', Rank.Urgent, 2_500)]),
  plan('altamar', 'playlists', 10, [read('playlist', Rank.Live, 1_500)]),
  plan('altamar', 'grids', 8, [read('grid', Rank.Bulk, 3_000)]),
  plan('altamar', 'bookings', 6, [
    write('slot', Rank.Urgent, 1_500),
    read('offers', Rank.Live, 1_500),
  ]),
  plan('altamar', 'royalties', 6, [write('invoice', Rank.Urgent, 2_500)]),
];

function plan(
  member: string,
  name: string,
  servers: number,
  contracts: readonly Contract[],
): ServicePlan {
  const isSteps = member === 'ubuntu-steps';
  return {
    member,
    name,
    servers,
    slots: isSteps ? 3 : 2,
    failureDomains: isSteps ? STEPS_DOMAINS : ALTAMAR_DOMAINS,
    contracts,
  };
}

/** Returns the plans of the given services (`member/name`). */
export function plansOf(...ids: readonly string[]): ServicePlan[] {
  return SERVICE_PLANS.filter(p => ids.includes(`${p.member}/${p.name}`));
}

/** Returns the specifications of a plan's backend servers. */
export function serversOf(
  plan: ServicePlan,
  seed: number,
  serviceMs = SERVICE_MS,
): ServerSpec[] {
  return Array.from({length: plan.servers}, (_, i) => ({
    id: `${plan.name}-${i + 1}`,
    slots: plan.slots,
    serviceMs,
    distribution: 'exponential' as const,
    seed: seed * 1_000 + i,
    failureDomain: plan.failureDomains[i % plan.failureDomains.length]!,
  }));
}

/** Returns the service configuration of a plan for its running servers. */
export function configOf(
  plan: ServicePlan,
  servers: readonly RunningServer[],
): ServiceConfig {
  return serviceSchema.parse({
    member: plan.member,
    name: plan.name,
    contracts: plan.contracts,
    backendServers: servers.map(s => ({
      id: s.id,
      address: s.address,
      failureDomain: s.failureDomain,
      slots: s.slots,
    })),
  });
}

/** Returns one kind of request for each contract of a plan. */
export function requestKindsOf(plan: ServicePlan): RequestKind[] {
  return plan.contracts.map(contract => ({
    serviceId: `${plan.member}/${plan.name}`,
    contract: contract.name,
    rank: contract.rank,
    method: contract.method as 'GET' | 'POST',
    path: contract.path.replace('/:id', ''),
    idempotent: contract.idempotent,
    targetMs: contract.targetMs,
    deadlineMs: contract.deadlineMs,
  }));
}

/** Returns the capacity of a plan's servers, requests per second. */
export function capacityOf(plan: ServicePlan, serviceMs = SERVICE_MS): number {
  return (plan.servers * plan.slots * 1000) / serviceMs;
}
