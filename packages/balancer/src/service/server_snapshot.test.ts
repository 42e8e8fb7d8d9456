import test from 'ava';
import {serverEntry} from '../backend_server/server_entry.test_support.js';
import {SharedServer} from '../backend_server/shared_server.js';
import {ServerSnapshot} from './server_snapshot.js';

const NONE: ReadonlySet<string> = new Set();

function serverOf(id: string): SharedServer {
  return new SharedServer(serverEntry({id}), 0);
}

/** A survey of servers whose cost is what they have in flight. */
function surveyOf(servers: readonly SharedServer[], known = true) {
  let looks = 0;
  const survey = new ServerSnapshot(servers, server => {
    looks += 1;
    return {
      server,
      cost: server.inFlight,
      load: server.inFlight,
      slowdown: 1,
      isCurrent: known,
      isKnown: known,
      mayAsk: !known,
    };
  });
  return {survey, looks: () => looks};
}

test('servers come in the order of their cost, also after a send', t => {
  const servers = ['x', 'y', 'z'].map(serverOf);
  servers.forEach((server, i) => (server.inFlight = i));
  const {survey} = surveyOf(servers);
  t.is(survey.best(NONE)?.server, servers[0]!);
  servers[0]!.inFlight = 5;
  survey.refresh(servers[0]!);
  t.deepEqual(
    survey.candidates(NONE).map(c => c.server.entry.id),
    ['y', 'z', 'x'],
  );
  t.deepEqual(
    survey.withKnownState(new Set(['y'])).map(c => c.server.entry.id),
    ['z', 'x'],
  );
});

test('a server is looked at once for any number of requests', t => {
  const servers = Array.from({length: 100}, (unused, i) => serverOf(`s${i}`));
  const {survey, looks} = surveyOf(servers, false);
  for (let i = 0; i < 50; i++) {
    survey.best(NONE);
    survey.withKnownState(NONE);
    t.is(survey.serversToAsk(NONE).length, 3);
  }
  t.is(looks(), 100);
});
