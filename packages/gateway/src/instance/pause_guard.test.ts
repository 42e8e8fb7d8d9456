/** Tests of how a pause of the process is noticed. */
import test from 'ava';
import {PauseGuard} from './pause_guard.js';

function guardWithClocks() {
  const clocks = {steadyMs: 5_000, wallMs: 1_000_000};
  const guard = new PauseGuard({
    steady: () => clocks.steadyMs,
    wall: () => clocks.wallMs,
  });
  const pauses: number[] = [];
  guard.onPause(ms => pauses.push(ms));
  const pass = (steadyMs: number, wallMs: number) => {
    clocks.steadyMs += steadyMs;
    clocks.wallMs += wallMs;
  };
  return {guard, pauses, pass};
}

test('no pause is noticed while the process runs', t => {
  const {guard, pauses, pass} = guardWithClocks();
  for (let i = 0; i < 20; i++) {
    pass(250, 250);
    t.is(guard.settled(), undefined);
  }
  t.deepEqual(pauses, []);
  t.is(guard.now(), 10_000);
});

test('after a stop the state is confirmed before it is acted on', async t => {
  const {guard, pauses, pass} = guardWithClocks();
  let confirm: () => void = () => undefined;
  guard.onPauseConfirm(() => new Promise(resolve => (confirm = resolve)));
  pass(4_000, 4_000);
  const settled = guard.settled();
  t.truthy(settled);
  t.is(guard.settled(), settled);
  confirm();
  await settled;
  t.is(guard.settled(), undefined);
  t.deepEqual(pauses, [4_000]);
});

test('a suspension counts, though the steady clock stood still', t => {
  const {guard, pauses, pass} = guardWithClocks();
  pass(10, 3_010);
  t.truthy(guard.settled());
  t.is(guard.now(), 8_010);
  t.deepEqual(pauses, [3_010]);
});

test('a time of day that is set back is no pause', t => {
  const {guard, pauses, pass} = guardWithClocks();
  pass(100, -3_000);
  t.is(guard.settled(), undefined);
  t.is(guard.now(), 5_100);
  t.deepEqual(pauses, []);
});

test('requests do not wait longer than half a second', async t => {
  const {guard, pass} = guardWithClocks();
  guard.onPauseConfirm(() => new Promise(() => undefined));
  pass(2_000, 2_000);
  const keepAlive = setTimeout(() => undefined, 5_000);
  await guard.settled();
  clearTimeout(keepAlive);
  t.is(guard.settled(), undefined);
});
