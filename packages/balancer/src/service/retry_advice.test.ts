/** Tests of when refused callers are told to come back. */
import test from 'ava';
import {SeededRandom} from '../link/random.js';
import {drainTimeMs, retryDelayMs} from './retry_advice.js';

const BASELINE_MS = 100;

function delays(timeLeftMs: number, waitMs: number): readonly number[] {
  const random = new SeededRandom(1);
  const refused = {timeLeftMs, baselineMs: BASELINE_MS, waitMs};
  return Array.from({length: 200}, () => retryDelayMs(refused, random));
}

test('callers come back when those who wait are served, spread in time', t => {
  const spread = delays(10_000, 1_000);
  t.true(spread.every(ms => ms >= 600 && ms <= 1_400));
  t.true(Math.max(...spread) - Math.min(...spread) > 600);
});

test('a delay leaves time for an answer', t => {
  // Two baselines before the end, and at most 40 % later than that.
  t.true(delays(500, 5_000).every(ms => ms <= 1.4 * 300));
  t.true(delays(50, 5_000).every(ms => ms >= 40 && ms <= 1.4 * 40));
});

test('the drain time grows with the requests that wait at all instances', t => {
  const load = {waiting: 6, instances: 8, slots: 24, baselineMs: BASELINE_MS};
  t.is(drainTimeMs(load), 200);
  t.is(drainTimeMs({...load, waiting: 12}), 400);
  t.is(drainTimeMs({...load, instances: 0}), 25);
});
