/**
 * Counts what a server with a limit gets from whole fleets of instances that do
 * not speak to each other: the sum has to stay within the server's bound.
 */
import test from 'ava';
import {SeededRandom} from '../link/random.js';
import {Backpressure} from '../backend_server/backpressure.js';
import {StatementSource} from '../backend_server/server_statement.js';
import {LimitShares} from './limit_shares.js';

const STEP_MS = 20;
const WINDOW_MS = 4_000;
const PLAYED_MS = 40_000;
const WARM_UP_MS = 4_000;
const RANDOM_STEPS = 1_000;

/** Bound on the requests in a window: one and a half times the limit, and five. */
function maxInWindow(perS: number): number {
  return (1.5 * perS * WINDOW_MS) / 1_000 + 5;
}

interface Played {
  /** Most requests in any window. */
  readonly most: number;
  /** Requests per second over the whole time. */
  readonly perS: number;
}

/**
 * Plays instances that send whenever they may and have a request.
 *
 * @param busyOf Share of the time in which an instance has a request.
 */
function play(
  perS: number,
  instances: number,
  busyOf: (i: number) => number,
  knownTo: (i: number) => number = () => instances,
): Played {
  const random = new SeededRandom(7);
  const ids = Array.from({length: instances}, (_, i) => `front-${i}`);
  const servers = ids.map((id, i) => {
    const known = ids.slice(0, knownTo(i));
    const shares = new LimitShares(id, () => known);
    const server = new Backpressure(limit => shares.shareOf('i-1', limit));
    const statements = [{kind: 'limit', perS}] as const;
    server.record(
      {
        source: StatementSource.Answer,
        statements,
        malformed: new Map(),
        isLimitUnreadable: false,
      },
      0,
    );
    return server;
  });
  const sends: number[] = [];
  for (let now = 0; now < PLAYED_MS; now += STEP_MS) {
    servers.forEach((server, i) => {
      const isBusy = random.nextInt(RANDOM_STEPS) < RANDOM_STEPS * busyOf(i);
      if (!isBusy || server.nextSendAt(now) > now) return;
      server.recordSend(now);
      sends.push(now);
    });
  }
  const inWindow = sends.map(
    end => sends.filter(at => at <= end && at > end - WINDOW_MS).length,
  );
  const late = sends.filter(at => at >= WARM_UP_MS).length;
  return {
    most: Math.max(0, ...inWindow),
    perS: late / ((PLAYED_MS - WARM_UP_MS) / 1_000),
  };
}

const FLEETS = [3, 7, 30, 123, 300];
const LIMITS = [0, 0.4, 1, 1.6, 5, 40];

FLEETS.forEach(instances => {
  test(`${instances} instances keep to the limit of a server together`, t => {
    LIMITS.forEach(perS => {
      const busy = play(perS, instances, () => 1);
      t.true(busy.most <= maxInWindow(perS), `${perS}: ${busy.most}`);
      // What the server takes is used when all instances have requests.
      if (perS >= 1) t.true(busy.perS >= 0.9 * perS, `${perS}: ${busy.perS}`);
      const uneven = play(perS, instances, i => (i % 5 === 0 ? 1 : 0.02));
      t.true(uneven.most <= maxInWindow(perS), `${perS}: ${uneven.most}`);
    });
  });
});

test('the limit holds while instances that were added are unknown to the others', t => {
  LIMITS.forEach(perS => {
    const added = play(
      perS,
      9,
      () => 1,
      i => (i < 7 ? 7 : 9),
    );
    t.true(added.most <= maxInWindow(perS), `${perS}: ${added.most}`);
  });
});

test('an instance that does not know the fleet sends next to nothing', t => {
  const shares = new LimitShares('front-1', () => []);
  t.true(shares.shareOf('i-1', 10) < 0.01);
});

test('each instance has a share in about as many servers as the others', t => {
  const ids = Array.from({length: 30}, (_, i) => `front-${i}`);
  const counts = ids.map(id => {
    const shares = new LimitShares(id, () => ids);
    const servers = Array.from({length: 200}, (_, i) => `i-${i}`);
    return servers.filter(server => shares.shareOf(server, 1) > 0).length;
  });
  // Five of 30 instances share each of 200 servers: 33 for each instance.
  t.true(Math.min(...counts) >= 17 && Math.max(...counts) <= 50);
});
