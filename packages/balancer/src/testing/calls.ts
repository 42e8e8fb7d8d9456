/** Service configurations and calls for tests. */
import {
  type Contract,
  Rank,
  type ServiceConfig,
  serviceSchema,
} from '@ragworthall/contracts';
import type {z} from 'zod';
import type {Call} from '../link/call.js';
import {CallRunner} from '../service/call_runner.js';
import {Service, type ServiceOptions} from '../service/service.js';
import type {FakeBackend} from './fake_backend.js';
import type {FakeTime} from './fake_time.js';

/** One contract for each rank. */
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

/** Returns a service configuration with `count` servers named s0, s1 and so on. */
export function serviceConfig(
  count: number,
  slots: number,
  overrides: Partial<z.input<typeof serviceSchema>> = {},
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
    ...overrides,
  });
}

/** Returns the address of server s`index` in `serviceConfig`. */
export function addressOf(index: number): string {
  return `127.0.0.1:${10_000 + index}`;
}

let callCount = 0;

/** Returns a new call of `rank`, received at `now`. */
export function callAt(
  now: number,
  rank: Rank = Rank.Urgent,
  overrides: Partial<Call> & {idempotent?: boolean; targetMs?: number} = {},
): Call {
  callCount += 1;
  const {idempotent = true, targetMs = 100, ...fields} = overrides;
  const contract = {...CONTRACTS[rank - 1]!, idempotent, targetMs};
  return {
    id: `call-${callCount}`,
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
    fingerprint: `content-${callCount}`,
    ...fields,
  };
}

/** Returns a signal that is never aborted. */
export function neverAborted(): AbortSignal {
  return new AbortController().signal;
}

/** Returns a service that uses `time` as its clock and timers. */
export function serviceWithTime(
  time: FakeTime,
  cfg: ServiceConfig,
  options: ServiceOptions = {},
): Service {
  return new Service(cfg, {clock: time, timers: time, ...options});
}

/** Returns a call runner that uses `time` and does not log. */
export function callRunnerWithTime(
  time: FakeTime,
  backend: FakeBackend,
): CallRunner {
  const log = {dispatched: () => undefined, ended: () => undefined};
  return new CallRunner(backend, log, time, time);
}
