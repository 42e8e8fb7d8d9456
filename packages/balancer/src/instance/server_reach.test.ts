/** When an instance takes itself for cut off from all servers. */
import test from 'ava';
import {SeededRandom} from '../link/random.js';
import {ServerReach} from './server_reach.js';

const NOW = 10_000;
const STEP_MS = 250;
const KNOWN = Array.from({length: 10}, (_, i) => `i-${i}`);

function failing(servers: readonly string[]): ServerReach {
  const reach = new ServerReach(new SeededRandom(1));
  servers.forEach(id => reach.recordFailure(id, NOW));
  return reach;
}

test('failures of few servers raise no suspicion', t => {
  t.deepEqual(
    failing(['i-0', 'i-1']).serversToCheck(() => KNOWN, NOW),
    [],
  );
  t.is(
    failing(['i-0', 'i-1', 'i-2']).serversToCheck(() => KNOWN, NOW).length,
    4,
  );
  t.is(failing(['i-0']).serversToCheck(() => ['i-0'], NOW).length, 1);
});

test('failures that are long ago are forgotten', t => {
  const reach = failing(KNOWN);
  t.deepEqual(
    reach.serversToCheck(() => KNOWN, NOW + 2_000),
    [],
  );
});

test('servers that have not failed are asked first', t => {
  const asked = failing(KNOWN.slice(0, 6)).serversToCheck(() => KNOWN, NOW);
  t.true(asked.every(id => !KNOWN.slice(0, 6).includes(id)));
});

test('one server that responds ends the suspicion, and the next check is later', t => {
  const reach = failing(KNOWN);
  reach.serversToCheck(() => KNOWN, NOW);
  t.is(reach.recordCheck(1, NOW), undefined);
  KNOWN.forEach(id => reach.recordFailure(id, NOW + STEP_MS));
  t.deepEqual(
    reach.serversToCheck(() => KNOWN, NOW + STEP_MS),
    [],
  );
  t.false(reach.isCutOff);
});

test('two checks without a response cut off, two with one bring back', t => {
  const reach = failing(KNOWN);
  reach.recordResponse(NOW);
  t.is(reach.recordCheck(0, NOW), undefined);
  t.is(reach.recordCheck(0, NOW + STEP_MS), 'cut_off');
  // Open connections may live on.
  t.false(reach.reachesNothing(NOW + STEP_MS));
  t.true(reach.reachesNothing(NOW + 1_000));
  t.true(reach.serversToCheck(() => KNOWN, NOW + 1_000).length > 0);
  t.is(reach.recordCheck(1, NOW + 1_000), undefined);
  t.is(reach.recordCheck(0, NOW + 1_250), undefined);
  t.is(reach.recordCheck(2, NOW + 1_500), undefined);
  t.is(reach.recordCheck(3, NOW + 1_750), 'reached');
  t.false(reach.reachesNothing(NOW + 9_000));
});
