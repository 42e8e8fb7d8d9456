/** Which requests are taken while an instance stops. */
import test from 'ava';
import {StopPlan} from './stop_plan.js';

const PLAN = new StopPlan(10_000);

test('a request is taken if its deadline comes before the end', t => {
  t.true(PLAN.takes({endsAt: 9_900, usualMs: 5_000}, 9_000));
  t.false(PLAN.takes({endsAt: 10_100, usualMs: 5_000}, 9_000));
});

test('a request with a later deadline is taken if even a slow server ends in time', t => {
  t.true(PLAN.takes({endsAt: 20_000, usualMs: 100}, 9_000));
  t.false(PLAN.takes({endsAt: 20_000, usualMs: 200}, 9_000));
  t.true(PLAN.takes({endsAt: 20_000, usualMs: 0}, 9_000));
});

test('nothing is taken after the end', t => {
  t.false(PLAN.takes({endsAt: 20_000, usualMs: 0}, 10_001));
});

test('a request of unknown duration is not taken when there is hardly time to refuse it', t => {
  t.true(PLAN.takes({endsAt: 20_000, usualMs: 0}, 9_700));
  t.false(PLAN.takes({endsAt: 20_000, usualMs: 0}, 9_800));
});
