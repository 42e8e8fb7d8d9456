import test from 'ava';
import {ProbeRateLimiter} from './probe_rate_limiter.js';

const START = 1_000;

/** Questions that an instance gets to ask which always wants to. */
function asked(allowance: ProbeRateLimiter, forMs: number): number {
  let count = 0;
  for (let at = START; at < START + forMs; at += 1) {
    while (allowance.tryTake(at)) count += 1;
  }
  return count;
}

test('all instances together stay within the bound on each server', t => {
  const terms = {perServerPerS: 42, servers: 306, instances: 53};
  const all = asked(new ProbeRateLimiter(() => terms), 30_000) * 53;
  t.true(all / 306 / 30 <= 42, `${all / 306 / 30}`);
});

test('a bound holds also while half of the instances are not known', t => {
  const known = {perServerPerS: 60, servers: 43, instances: 10};
  const all = asked(new ProbeRateLimiter(() => known), 30_000) * 20;
  t.true(all / 43 / 30 <= 1.05 * 60);
});

test('what was not used is saved up for a second only', t => {
  const terms = {perServerPerS: 60, servers: 20, instances: 6};
  const allowance = new ProbeRateLimiter(() => terms);
  allowance.tryTake(START);
  let count = 0;
  while (allowance.tryTake(START + 60_000)) count += 1;
  t.is(count, 100);
});

test('an instance that knows no server asks none', t => {
  const terms = {perServerPerS: 60, servers: 0, instances: 6};
  t.false(new ProbeRateLimiter(() => terms).tryTake(START));
});
