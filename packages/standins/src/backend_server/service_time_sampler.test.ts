import test from 'ava';
import {
  ServiceTimeDistribution,
  ServiceTimeSampler,
} from './service_time_sampler.js';

const sampleTimes = (times: ServiceTimeSampler, count: number): number[] =>
  Array.from({length: count}, () => times.next());

test('the same seed produces the same times', t => {
  const times = () =>
    new ServiceTimeSampler(5, ServiceTimeDistribution.Exponential, 7);
  t.deepEqual(sampleTimes(times(), 20), sampleTimes(times(), 20));
});

test('exponential times have the configured mean', t => {
  const times = sampleTimes(
    new ServiceTimeSampler(5, ServiceTimeDistribution.Exponential, 7),
    20_000,
  );
  const mean = times.reduce((sum, ms) => sum + ms, 0) / times.length;
  t.true(Math.abs(mean - 5) < 0.2, `mean ${mean}`);
  t.true(times.every(ms => ms >= 0));
});

test('fixed times equal the mean', t => {
  t.deepEqual(
    sampleTimes(new ServiceTimeSampler(5, ServiceTimeDistribution.Fixed, 7), 2),
    [5, 5],
  );
});
