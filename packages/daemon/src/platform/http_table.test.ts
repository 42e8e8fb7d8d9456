import {Platform} from '@ragworthall/standins';
import test from 'ava';
import fc from 'fast-check';
import {CircuitBreaker} from './circuit_breaker.js';
import {HttpTable} from './http_table.js';
import {PlatformClient} from './platform_client.js';

const HOST = {clock: {now: () => performance.now()}, random: () => 0};
const TX = {
  conditions: [{key: 'k', version: 0}],
  writes: [{key: 'k', value: 1}],
};

test('a row is written if its condition holds, and read back', async t => {
  await using platform = await Platform.start();
  await using client = new PlatformClient(platform.url, 'i1', HOST);
  const table = new HttpTable(client);
  t.deepEqual(await table.transact(TX), {kind: 'done', versions: {k: 1}});
  const row = {key: 'k', version: 1, value: 1};
  t.deepEqual(await table.transact(TX), {kind: 'conflict', failed: [row]});
  t.deepEqual(await table.read('k'), {kind: 'rows', rows: [row]});
  t.deepEqual(await table.list('k'), {kind: 'rows', rows: [row]});
  t.deepEqual(await table.read('absent'), {kind: 'rows', rows: []});
});

test('a write whose answer is lost has an unknown outcome and is not retried', async t => {
  await using platform = await Platform.start();
  await using client = new PlatformClient(platform.url, 'i1', HOST);
  const table = new HttpTable(client);
  platform.setFaults([{kind: 'lose_write_answers', count: 1}]);
  t.is((await table.transact(TX)).kind, 'unknown');
  t.is(platform.accessCounts().writes, 1);
});

test('concurrent reads of a row share one request', async t => {
  await using platform = await Platform.start();
  await using client = new PlatformClient(platform.url, 'i1', HOST);
  const table = new HttpTable(client);
  await Promise.all(Array.from({length: 20}, () => table.read('k')));
  t.is(platform.accessCounts().reads, 1);
});

test('the circuit breaker opens while the store is down, and closes afterwards', async t => {
  await using platform = await Platform.start();
  let now = 0;
  const host = {clock: {now: () => now}, random: () => 0};
  await using client = new PlatformClient(platform.url, 'i1', host);
  const table = new HttpTable(client);
  platform.setFaults([{kind: 'down'}]);
  for (let i = 0; i < 100; i += 1) await table.transact(TX);
  t.is(client.state.kind, 'open');
  t.is((await table.transact(TX)).kind, 'unavailable');
  platform.setFaults([]);
  now += 2_000;
  t.is((await table.transact(TX)).kind, 'done');
  t.is(client.state.kind, 'closed');
});

test('a half-open breaker admits one request at a time', t => {
  const step = fc.record({
    action: fc.constantFrom(...(['admit', 'fail', 'succeed'] as const)),
    ms: fc.nat({max: 3_000}),
  });
  fc.assert(
    fc.property(fc.array(step), steps => {
      const breaker = new CircuitBreaker(() => 0.5);
      let now = 0;
      let halfOpenRequests = 0;
      steps.forEach(({action, ms}) => {
        now += ms;
        const isClosed = breaker.state.kind === 'closed';
        switch (action) {
          case 'admit':
            if (breaker.tryAdmit(now) && !isClosed) halfOpenRequests += 1;
            break;
          case 'fail':
            breaker.recordFailure(now);
            halfOpenRequests = 0;
            break;
          case 'succeed':
            breaker.recordSuccess();
            halfOpenRequests = 0;
            break;
          default:
            throw new Error(`unexpected action: ${action satisfies never}`);
        }
        t.true(halfOpenRequests <= 1);
        // This bounds the time until a recovered store is used again.
        if (breaker.state.kind === 'open') {
          t.true(breaker.state.until - now <= 2_000);
        }
      });
    }),
    {seed: 3, numRuns: 200},
  );
});

test('breakers that open at the same time retry at different times', t => {
  const retryTimes = Array.from({length: 300}, (unused, i) => {
    // Multiples of 0.618 modulo 1 are evenly distributed.
    const breaker = new CircuitBreaker(() => (i * 0.618) % 1);
    Array.from({length: 5}, () => breaker.recordFailure(0));
    const {state} = breaker;
    return state.kind === 'open' ? state.until : 0;
  });
  const countsPerInterval = Array.from(
    {length: 10},
    (unused, i) => retryTimes.filter(at => Math.floor(at / 25) === i).length,
  );
  t.true(Math.max(...countsPerInterval) <= 300 / 4);
});
