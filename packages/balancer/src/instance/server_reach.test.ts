/** When an instance takes itself for cut off from all servers. */
import test from 'ava';
import {SeededRandom} from '../link/random.js';
import {ReachState, ServerReach} from './server_reach.js';

const NOW = 10_000;
const STEP_MS = 250;
const KNOWN = Array.from({length: 10}, (_, i) => `i-${i}`);

/** An instance that reached a server long ago. */
function reaching(): ServerReach {
  const reach = new ServerReach(new SeededRandom(1));
  reach.serversToCheck(() => KNOWN, 0);
  reach.recordResponse(0);
  reach.recordCheck(1, 0);
  return reach;
}

function failing(servers: readonly string[]): ServerReach {
  const reach = reaching();
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
  t.is(reach.state, ReachState.Suspected);
  reach.recordCheck(1, NOW);
  t.is(reach.state, ReachState.Reached);
  KNOWN.forEach(id => reach.recordFailure(id, NOW + STEP_MS));
  t.deepEqual(
    reach.serversToCheck(() => KNOWN, NOW + STEP_MS),
    [],
  );
  t.false(reach.isCutOff);
});

test('two checks without a response cut off, two with one bring back', t => {
  const reach = failing(KNOWN.slice(0, 2));
  reach.recordResponse(NOW);
  KNOWN.slice(0, 3).forEach(id => reach.recordFailure(id, NOW));
  reach.recordResponse(NOW);
  reach.serversToCheck(() => KNOWN, NOW);
  reach.recordCheck(0, NOW);
  t.is(reach.state, ReachState.Suspected);
  reach.recordCheck(0, NOW + STEP_MS);
  t.is(reach.state, ReachState.CutOff);
  // Open connections may live on.
  t.false(reach.isSilent(NOW + STEP_MS));
  t.true(reach.isSilent(NOW + 1_000));
  t.true(reach.serversToCheck(() => KNOWN, NOW + 1_000).length > 0);
  reach.recordCheck(1, NOW + 1_000);
  t.is(reach.state, ReachState.CutOff);
  reach.recordCheck(0, NOW + 1_250);
  reach.recordCheck(2, NOW + 1_500);
  t.is(reach.state, ReachState.CutOff);
  reach.recordCheck(3, NOW + 1_750);
  t.is(reach.state, ReachState.Reached);
  t.false(reach.isSilent(NOW + 9_000));
});

test('once suspicious, three servers that fail without a response between mean silence', t => {
  const reach = failing(KNOWN.slice(0, 3));
  t.false(reach.isSilent(NOW), 'not suspicious yet');
  reach.serversToCheck(() => KNOWN, NOW);
  t.true(reach.isSilent(NOW));
  reach.recordResponse(NOW);
  t.false(reach.isSilent(NOW));
  reach.recordFailure('i-0', NOW);
  reach.recordFailure('i-0', NOW + 1);
  t.false(reach.isSilent(NOW + 1));
});

test('an instance that has just started checks before it has sent anything', t => {
  const reach = new ServerReach(new SeededRandom(1));
  t.deepEqual(
    reach.serversToCheck(() => [], NOW),
    [],
  );
  t.is(reach.serversToCheck(() => KNOWN, NOW + STEP_MS).length, 4);
  t.true(reach.isSilent(NOW + STEP_MS));
  reach.recordCheck(0, NOW + 2 * STEP_MS);
  reach.recordCheck(0, NOW + 3 * STEP_MS);
  t.true(reach.isCutOff);
});

test('a server that is added may be in reach, and is soon asked', t => {
  const reach = new ServerReach(new SeededRandom(1));
  reach.serversToCheck(() => KNOWN, NOW);
  reach.recordCheck(0, NOW);
  reach.recordCheck(0, NOW);
  t.true(reach.isCutOff);
  reach.recordServerAdded();
  t.is(reach.state, ReachState.Suspected);
  t.true(reach.serversToCheck(() => KNOWN, NOW).length > 0);
  reach.recordCheck(1, NOW);
  t.is(reach.state, ReachState.Reached);
});
