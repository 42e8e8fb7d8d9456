import test from 'ava';
import {serverEntry} from '../backend_server/server_entry.test_support.js';
import {answerStating} from '../backend_server/server_statement.test_support.js';
import {SharedServer} from '../backend_server/shared_server.js';
import {ServerSnapshot} from './server_snapshot.js';

const NONE: ReadonlySet<string> = new Set();

function serverOf(id: string): SharedServer {
  return new SharedServer(serverEntry({id}), 0);
}

/**
 * A snapshot in which the cost of a server is its number of requests in flight.
 */
function snapshotOf(servers: readonly SharedServer[], known = true) {
  let estimates = 0;
  const snapshot = new ServerSnapshot(servers, server => {
    estimates += 1;
    return {
      server,
      cost: server.inFlight,
      load: server.inFlight,
      latencyFactor: 1,
      isCurrent: known,
      isKnown: known,
      mayAsk: !known,
    };
  });
  return {snapshot, estimates: () => estimates};
}

test('servers are ordered by cost, also after one is refreshed', t => {
  const servers = ['x', 'y', 'z'].map(serverOf);
  servers.forEach((server, i) => (server.inFlight = i));
  const {snapshot} = snapshotOf(servers);
  t.is(snapshot.best(NONE)?.server, servers[0]!);
  servers[0]!.inFlight = 5;
  snapshot.refresh(servers[0]!, 0);
  t.deepEqual(
    snapshot.candidates(NONE).map(c => c.server.entry.id),
    ['y', 'z', 'x'],
  );
  t.deepEqual(
    snapshot.withKnownState(new Set(['y'])).map(c => c.server.entry.id),
    ['z', 'x'],
  );
});

test('each server is estimated once for any number of requests', t => {
  const servers = Array.from({length: 100}, (unused, i) => serverOf(`s${i}`));
  const {snapshot, estimates} = snapshotOf(servers, false);
  for (let i = 0; i < 50; i++) {
    snapshot.best(NONE);
    snapshot.withKnownState(NONE);
    t.is(snapshot.serversToAsk(NONE).length, 3);
  }
  t.is(estimates(), 100);
});

test('a server that is not to be sent another request now is left out', t => {
  const servers = ['x', 'y'].map(serverOf);
  const {snapshot} = snapshotOf(servers);
  servers[0]!.backpressure.record(answerStating({kind: 'leaving'}), 0);
  snapshot.refresh(servers[0]!, 0);
  t.deepEqual(
    snapshot.candidates(NONE).map(c => c.server.entry.id),
    ['y'],
  );
});
