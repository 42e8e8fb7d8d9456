import test from 'ava';
import {ServiceTimeModel} from './service_time_model.js';
import {
  ServiceTimeDistribution,
  ServiceTimeSampler,
} from './service_time_sampler.js';

test('cold start and straggler fault slow a run; overhead is added to one run only', t => {
  const model = new ServiceTimeModel(
    new ServiceTimeSampler(10, ServiceTimeDistribution.Fixed, 0),
  );
  model.beginColdStart({durationMs: 100, slowFactor: 3}, 0);
  model.stragglerFactor = 2;
  model.addOverhead(6);
  t.is(model.nextRunMs(50), 10 * 2 * 2 + 6);
  t.is(model.nextRunMs(100), 10 * 2);
  t.is(model.applySlowdown(6, 0), 6 * 3 * 2);
  t.true(model.isColdStarting(99));
  t.false(model.isColdStarting(100));
});
