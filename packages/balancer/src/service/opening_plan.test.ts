/** Which requests wait while all servers of a service have asked for less. */
import test from 'ava';
import {serverEntry} from '../backend_server/server_entry.test_support.js';
import {
  type ServerStatement,
  StatementSource,
} from '../backend_server/server_statement.js';
import {SharedServer} from '../backend_server/shared_server.js';
import {withoutOpening} from './opening_plan.js';

const NOW = 50_000;
const NONE: ReadonlySet<string> = new Set();

function server(id: string, statement: ServerStatement): SharedServer {
  const created = new SharedServer(serverEntry({id}), NOW);
  created.recordSend(NOW);
  const source = StatementSource.Answer;
  const malformed = new Map<string, string>();
  const statements = [statement];
  const message = {source, statements, malformed, isLimitUnreadable: false};
  created.backpressure.record(message, NOW);
  return created;
}

function request(waitsMs: number, tried = NONE) {
  return {latestSendAt: NOW + waitsMs, tried};
}

test('the first in order get the openings that are in time, the others none', t => {
  // Opens at 500, 1,000, 1,500 ms and so on.
  const limited = [server('x', {kind: 'limit', perS: 2})];
  const inOrder = [request(600), request(700), request(1_100), request(1_400)];
  const unserved = withoutOpening(inOrder, limited, NOW);
  t.deepEqual([...unserved], [inOrder[1], inOrder[3]]);
});

test('requests wait for the end of a rest only if they can', t => {
  const resting = [server('x', {kind: 'rest', ms: 1_000})];
  const inOrder = [request(900), request(1_000), request(5_000)];
  t.deepEqual([...withoutOpening(inOrder, resting, NOW)], [inOrder[0]]);
});

test('no request waits for a server that it was sent to before', t => {
  const servers = [
    server('x', {kind: 'rest', ms: 100}),
    server('y', {kind: 'rest', ms: 900}),
  ];
  const again = request(500, new Set(['x']));
  t.deepEqual([...withoutOpening([again], servers, NOW)], [again]);
  t.is(withoutOpening([request(500)], servers, NOW).size, 0);
});
