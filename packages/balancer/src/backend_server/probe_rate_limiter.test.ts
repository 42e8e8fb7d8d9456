/** Tests of the rate limit on load queries. */
import test from 'ava';
import {ProbeRateLimiter} from './probe_rate_limiter.js';

const START = 1_000;

/** Returns the number of queries of an instance that always tries to query. */
function takenTokens(limiter: ProbeRateLimiter, forMs: number): number {
  let count = 0;
  for (let at = START; at < START + forMs; at += 1) {
    while (limiter.tryTake(at)) count += 1;
  }
  return count;
}

test('queries of all instances stay within the bound of each server', t => {
  const inputs = {perServerPerS: 42, servers: 306, instances: 53};
  const total = takenTokens(new ProbeRateLimiter(() => inputs), 30_000) * 53;
  t.true(total / 306 / 30 <= 42, `${total / 306 / 30}`);
});

test('the bound holds while half of the instances are unknown', t => {
  const known = {perServerPerS: 60, servers: 43, instances: 10};
  const total = takenTokens(new ProbeRateLimiter(() => known), 30_000) * 20;
  t.true(total / 43 / 30 <= 1.05 * 60);
});

test('unused tokens accumulate for one second only', t => {
  const inputs = {perServerPerS: 60, servers: 20, instances: 6};
  const limiter = new ProbeRateLimiter(() => inputs);
  limiter.tryTake(START);
  let count = 0;
  while (limiter.tryTake(START + 60_000)) count += 1;
  t.is(count, 100);
});

test('an instance without servers gets no tokens', t => {
  const inputs = {perServerPerS: 60, servers: 0, instances: 6};
  t.false(new ProbeRateLimiter(() => inputs).tryTake(START));
});
