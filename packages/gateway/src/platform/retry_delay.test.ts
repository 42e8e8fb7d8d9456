import test from 'ava';
import {retryDelayAfter} from './retry_delay.js';

const TIMING = {minRetryMs: 150, maxRetryMs: 800};
/** Time after which a call into silence fails, milliseconds. */
const SILENT_MS = 800;

test('the delay doubles with each call that fails at once, up to its maximum', t => {
  const delays = [0, 1, 2, 3, 20].map(n => retryDelayAfter(n, 0, TIMING));
  t.deepEqual(delays, [150, 300, 600, 800, 800]);
});

test('a silent store is asked at least once a second', t => {
  const intervals = [0, 1, 2, 3, 20].map(
    n => SILENT_MS + retryDelayAfter(n, SILENT_MS, TIMING),
  );
  t.true(intervals.every(ms => ms <= 1_000));
});
