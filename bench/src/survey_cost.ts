/**
 * Prints the time that the gateway takes for a snapshot of a service's servers,
 * alone and with the placement of 30 waiting requests.
 * Run: `node bench/dist/survey_cost.js`.
 */
import {
  RepeatBudget,
  EntryState,
  type PlacementRequest,
  SeededRandom,
  SharedServer,
  SharedService,
} from '@ragworthall/balancer';

const SERVER_COUNTS = [10, 40, 125, 1_000] as const;
const WAITING_REQUESTS = 30;
const ROUNDS = 1_000;
const US_PER_MS = 1_000;
/** Times of the servers' load reports and of the snapshots, milliseconds. */
const REPORTED_AT = 1_000;
const SNAPSHOT_AT = REPORTED_AT + 50;

const BUDGET = {ratio: 0.2, extra: 1, windowMs: 10_000};
const REQUESTS: readonly PlacementRequest[] = Array.from(
  {length: WAITING_REQUESTS},
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

/** Returns a service whose servers are all full; some of them are slow. */
function fullService(size: number): SharedService {
  const random = new SeededRandom(1);
  const service = new SharedService(
    's',
    'a',
    random,
    new RepeatBudget(BUDGET, {instanceCount: () => 1, restartedAt: -Infinity}),
    undefined,
  );
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

/** Returns the mean time of `run`, microseconds. */
function meanTimeUs(run: () => void): number {
  for (let i = 0; i < ROUNDS; i++) run();
  const start = performance.now();
  for (let i = 0; i < ROUNDS; i++) run();
  return ((performance.now() - start) / ROUNDS) * US_PER_MS;
}

process.stdout.write('servers  alone, us       with 30 requests, us\n');
SERVER_COUNTS.forEach(size => {
  const service = fullService(size);
  const snapshotUs = meanTimeUs(() => service.snapshot(SNAPSHOT_AT));
  const withRequestsUs = meanTimeUs(() => {
    const snapshot = service.snapshot(SNAPSHOT_AT);
    REQUESTS.forEach(request => service.place(request, SNAPSHOT_AT, snapshot));
  });
  const cells = [String(size).padStart(7), snapshotUs.toFixed(1).padStart(11)];
  process.stdout.write(
    `${cells.join('')}${withRequestsUs.toFixed(1).padStart(27)}\n`,
  );
});
