import test from 'ava';
import {ShortChunkPace} from './short_chunk_pace.js';

test('short chunks above the rate wait for the next interval', t => {
  const pace = new ShortChunkPace(3);
  const waits = [0, 100, 200, 300, 400].map(now => pace.record(1, now));
  t.deepEqual(waits, [0, 0, 0, 700, 600]);
  t.is(pace.record(1, 1_000), 0);
});

test('long chunks do not wait and are not counted', t => {
  const pace = new ShortChunkPace(1);
  t.true([0, 1, 2, 3].every(now => pace.record(64, now) === 0));
  t.is(pace.record(63, 4), 0);
  t.true(pace.record(63, 5) > 0);
});
