import test from 'ava';
import {ColdStart} from './cold_start.js';

test('the slow factor falls linearly to 1', t => {
  const coldStart = new ColdStart({durationMs: 100, slowFactor: 5}, 1_000);
  t.is(coldStart.slowFactor(1_000), 5);
  t.is(coldStart.slowFactor(1_050), 3);
  t.true(coldStart.isActive(1_099));
  t.false(coldStart.isActive(1_100));
  t.is(coldStart.slowFactor(1_100), 1);
});
