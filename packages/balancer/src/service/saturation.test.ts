/** Tests of how many slots of a server are used under overload. */
import test from 'ava';
import {Saturation} from './saturation.js';

/** Number of loads below the slots at which one more request is allowed. */
function usable(saturation: Saturation, slots: number): number {
  return Array.from({length: slots}, (_, load) => load).filter(load =>
    saturation.mayAdd(load, slots),
  ).length;
}

test('slots that would lower the throughput are left free', t => {
  const saturation = new Saturation();
  t.deepEqual(
    [1, 2, 3, 4, 10].map(slots => usable(saturation, slots)),
    [1, 2, 2, 3, 8],
  );
});

test('all slots are used if nearly full servers are not slower', t => {
  const saturation = new Saturation();
  for (let i = 0; i < 1_000; i++) saturation.recordNearlyFull(1);
  t.deepEqual(
    [1, 2, 3, 4, 10].map(slots => usable(saturation, slots)),
    [1, 2, 3, 4, 10],
  );
});

test('a slowdown that is seen only at times keeps the last slots free', t => {
  const saturation = new Saturation();
  // A server that is filled for a part of the time only shows a part of it.
  for (let i = 0; i < 3_000; i++) saturation.recordNearlyFull(1.2);
  t.is(usable(saturation, 3), 2);
  t.is(usable(saturation, 4), 3);
});

test('the last slot is tried now and then, so that a change is noticed', t => {
  const saturation = new Saturation();
  const tries = Array.from({length: 160}, () => {
    saturation.recordPlacement();
    return saturation.mayAdd(3, 4) && saturation.mayAdd(3, 4);
  });
  t.is(tries.filter(isAllowed => isAllowed).length, 10);
});

test('a full server never gets one more request', t => {
  const saturation = new Saturation();
  for (let i = 0; i < 40; i++) t.false(saturation.mayAdd(4, 4));
});
