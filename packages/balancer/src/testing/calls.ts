/** Configurations and calls for tests. */
import {
  type Contract,
  Rank,
  type ServiceConfig,
  serviceSchema,
} from '@ragworthall/contracts';
import type {z} from 'zod';
import type {Call} from '../link/call.js';
import {CallRunner} from '../service/call_run.js';
import {Service, type ServiceOptions} from '../service/service.js';
import type {FakeBackend} from './fake_backend.js';
import type {FakeTime} from './fake_time.js';

/** A contract for each rank. */
export const CONTRACTS: readonly Contract[] = [
  Rank.Urgent,
  Rank.Live,
  Rank.Bulk,
].map(rank => ({
  name: `rank-${rank}`,
  method: 'GET',
  path: `/${rank}`,
  rank,
  idempotent: true,
  deadlineMs: 1_000,
  targetMs: 100,
}));

/** Returns a service with `count` servers named s0, s1 and so on. */
export function serviceConfig(
  count: number,
  slots: number,
  more: Partial<z.input<typeof serviceSchema>> = {},
): ServiceConfig {
  return serviceSchema.parse({
    member: 'altamar',
    name: 'grids',
    backendServers: Array.from({length: count}, (_, i) => ({
      id: `s${i}`,
      address: `127.0.0.1:${10_000 + i}`,
      failureDomain: 'a',
      slots,
    })),
    contracts: [...CONTRACTS],
    ...more,
  });
}

/** Returns the address of the server that `serviceConfig` names s`index`. */
export function addressOf(index: number): string {
  return `127.0.0.1:${10_000 + index}`;
}

let calls = 0;

/** Returns a call of a rank at `now`. */
export function callAt(
  now: number,
  rank: Rank = Rank.Urgent,
  more: Partial<Call> & {idempotent?: boolean; targetMs?: number} = {},
): Call {
  calls += 1;
  const {idempotent = true, targetMs = 100, ...fields} = more;
  const contract = {...CONTRACTS[rank - 1]!, idempotent, targetMs};
  return {
    id: `call-${calls}`,
    serviceId: 'altamar/grids',
    contract,
    rank,
    method: 'GET',
    path: '/',
    headers: [],
    body: new Uint8Array(),
    deadline: now + contract.deadlineMs,
    retriesLeft: 2,
    depth: 0,
    fingerprint: `content-${calls}`,
    ...fields,
  };
}

/** Returns a signal that never comes. */
export function neverAborted(): AbortSignal {
  return new AbortController().signal;
}

/** Returns a service on a test's time. */
export function serviceWithTime(
  time: FakeTime,
  cfg: ServiceConfig,
  options: ServiceOptions = {},
): Service {
  return new Service(cfg, {clock: time, timers: time, ...options});
}

/** Returns a runner without a log. */
export function callRunnerWithTime(
  time: FakeTime,
  backend: FakeBackend,
): CallRunner {
  const log = {dispatched: () => undefined, ended: () => undefined};
  return new CallRunner(backend, log, time, time);
}
