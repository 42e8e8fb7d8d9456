/** What the client of backend servers takes for the answer to a request. */
import {serverEntry} from '@ragworthall/balancer/dist/backend_server/server_entry.test_support.js';
import {NEVER_ABORTED, SharedServer} from '@ragworthall/balancer';
import test from 'ava';
import {once} from 'node:events';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import {TEST_WIRE} from '../platform/wire_format.test_support.js';
import {AnswerCosts} from './answer_costs.js';
import {BackendClient} from './backend_client.js';

const REFUSAL =
  'HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n';
const ANSWER =
  'HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok';

test('a late copy of a rejected probe is not taken for the rejection of a request', async t => {
  const refused = new WeakSet<Socket>();
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.on('data', chunk => {
      const isProbe = chunk.toString().startsWith('GET /health');
      if (isProbe) {
        refused.add(socket);
        socket.write(REFUSAL);
        return;
      }
      if (refused.has(socket)) socket.write(REFUSAL);
      // The request runs all the same.
      socket.write(ANSWER);
    });
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  const {port} = server.address() as AddressInfo;
  const costs = new AnswerCosts({answerBytes: 1_000, totalBytes: 1_000});
  using client = new BackendClient(TEST_WIRE, costs, () => undefined);
  const entry = serverEntry({id: 'x', address: `127.0.0.1:${port}`});
  const backendServer = new SharedServer(entry, 0);
  const probe = await client.probe(
    backendServer,
    '/health',
    5_000,
    NEVER_ABORTED,
  );
  t.like(probe, {kind: 'answered', healthy: false});
  const result = await client.send(backendServer, {
    id: 'r1',
    request: {
      method: 'POST',
      target: '/a',
      headers: ['x-id', 'r1'],
      body: Buffer.from('one seat'),
    },
    timeLeftMs: 5_000,
    giveUpMs: 5_000,
    maxIdleMs: 60_000,
    signal: NEVER_ABORTED,
  });
  t.is(result.kind, 'answered');
});
