/**
 * Prints what a look at the servers of a service costs the gateway, alone and
 * with 30 requests that wait. Run: `node bench/dist/survey_cost.js`.
 */
import {
  EntryState,
  type PlacementRequest,
  SeededRandom,
  SharedServer,
  SharedService,
} from '@ragworthall/balancer';

const SIZES = [10, 40, 125, 1_000] as const;
const WAITING = 30;
const ROUNDS = 1_000;
const US_PER_MS = 1_000;
/** Time at which all servers reported, and time of the looks, milliseconds. */
const REPORTED_AT = 1_000;
const NOW = REPORTED_AT + 50;

const BUDGET = {ratio: 0.2, extra: 1, windowMs: 10_000};
const SEEKERS: readonly PlacementRequest[] = Array.from(
  {length: WAITING},
  (_, i) => ({
    route: {
      name: 'r',
      host: 'h.example',
      prefix: '/',
      idempotent: true,
      timeoutMs: 1_000,
      targetMs: 600,
      urgency: 1,
      maxAttempts: 2,
      weightedServices: [],
    },
    arrivedAt: REPORTED_AT - 20 * i,
    endsAt: REPORTED_AT + 2_000,
    tried: new Set(),
  }),
);

/** A service all of whose servers are full, some of them slow. */
function fullService(size: number): SharedService {
  const random = new SeededRandom(1);
  const service = new SharedService('s', 'a', random, BUDGET, undefined);
  service.reportsLoad = true;
  for (let i = 0; i < size; i++) {
    const entry = {
      id: `s${i}`,
      service: 's',
      address: `10.0.0.1:${i}`,
      failureDomain: 'abcd'[i % 4]!,
      slots: 2,
      state: EntryState.Ready,
      warmUpMs: 0,
      startedAt: 1,
      sequence: 1,
    };
    const server = new SharedServer(entry, 0);
    const load = {running: 2, waiting: i % 3, slots: 2, slowness: 1 + (i % 4)};
    server.recordLoadReport(load, REPORTED_AT, REPORTED_AT);
    service.put(server);
  }
  return service;
}

/** Returns the mean time of `act`, microseconds. */
function timed(act: () => void): number {
  for (let i = 0; i < ROUNDS; i++) act();
  const start = performance.now();
  for (let i = 0; i < ROUNDS; i++) act();
  return ((performance.now() - start) / ROUNDS) * US_PER_MS;
}

process.stdout.write('servers  us/survey  us/survey and 30 requests\n');
SIZES.forEach(size => {
  const service = fullService(size);
  const alone = timed(() => service.snapshot(NOW));
  const shared = timed(() => {
    const survey = service.snapshot(NOW);
    SEEKERS.forEach(seeker => service.place(seeker, NOW, survey));
  });
  const cells = [String(size).padStart(7), alone.toFixed(1).padStart(11)];
  process.stdout.write(`${cells.join('')}${shared.toFixed(1).padStart(27)}\n`);
});
