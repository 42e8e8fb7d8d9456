/**
 * Fuzz tests of the caller server: random input must not crash it, hang it or
 * be misread.
 */
import {parseRequestKey} from '@ragworthall/balancer';
import test from 'ava';
import fc from 'fast-check';
import {once} from 'node:events';
import {connect} from 'node:net';
import {request} from 'undici';
import {echo, startServer} from './caller_server.test_support.js';
import {parseTarget} from './request_target.js';

const SEED = 20_261_204;

/** Fragments of messages and random strings, to be sent in any order. */
const fragment = fc.oneof(
  fc.constantFrom(
    'GET /s/m/s/x HTTP/1.1\r\nHost: a\r\n',
    'POST /s/m/s/x HTTP/1.1\r\nHost: a\r\n',
    'HEAD /v1/addresses/m/s HTTP/1.1\r\nHost: a\r\n',
    'CONNECT a:1 HTTP/1.1\r\nHost: a\r\n',
    'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
    'Content-Length: 3\r\n',
    'Content-Length: 99999999999999999999\r\n',
    'Transfer-Encoding: chunked\r\n',
    'Transfer-Encoding: identity\r\n',
    'Connection: upgrade\r\nUpgrade: websocket\r\n',
    'Connection: close\r\n',
    'Expect: 100-continue\r\n',
    'Idempotency-Key: ran\r\n',
    'x-request-timeout-ms: 1e3\r\n',
    'x-call-context: v1.0.1.1.1.x\r\n',
    '\r\n',
    '\r\n\r\n',
    '3\r\nabc\r\n',
    '0\r\n\r\n',
    'ffffffffffffffff\r\n',
    ' folded\r\n',
    'abc',
  ),
  fc.string({unit: 'binary', maxLength: 40}),
  fc.string({unit: 'binary-ascii', maxLength: 20}),
);

/** Sends fragments, half-closes the connection and returns all received data. */
async function send(
  port: number,
  fragments: readonly string[],
): Promise<string> {
  const socket = connect(port, '127.0.0.1');
  let received = '';
  socket.on('error', () => undefined);
  socket.on('data', chunk => (received += chunk.toString('latin1')));
  fragments.forEach(text => socket.write(Buffer.from(text, 'latin1')));
  socket.end();
  await once(socket, 'close');
  return received;
}

test('arbitrary bytes end the connection, and the next valid request is served', async t => {
  await using caller = await startServer(echo, {
    headersMs: 1_000,
    bodyMs: 1_000,
  });
  await fc.assert(
    fc.asyncProperty(fc.array(fragment, {maxLength: 12}), async fragments => {
      const received = await send(caller.port, fragments);
      t.true(received === '' || received.startsWith('HTTP/1.1 '));
      const response = await request(`${caller.url}/s/m/s/x`, {
        method: 'POST',
        body: 'good',
      });
      t.is(await response.body.text(), 'good');
    }),
    {seed: SEED, numRuns: 400},
  );
  t.is(caller.server.bodyBytes, 0);
});

test('an accepted target has no dot segments, decoded or not', t => {
  const targetPart = fc.constantFrom(
    '.',
    '..',
    '%2e',
    '%2E',
    '%2f',
    '%5c',
    '/',
    '\\',
    'a',
    '%',
    '%zz',
    '?',
    '#',
    '%00',
  );
  fc.assert(
    fc.property(fc.array(targetPart, {maxLength: 8}), parts => {
      const target = parseTarget(`/s/m/s/${parts.join('')}`);
      if (target.kind !== 'service') return;
      const path = target.path.split('?', 1)[0]!;
      const segments = decodeURIComponent(path).split(/[/\\]/);
      t.false(segments.includes('..') || segments.includes('.'), path);
    }),
    {seed: SEED, numRuns: 5_000},
  );
});

test('a key is either parsed completely or rejected as malformed', t => {
  const text = fc.oneof(
    fc.string({unit: 'binary', maxLength: 80}),
    fc.stringMatching(
      /^[a-z0-9-]{1,9}~[a-z0-9]{1,9}~[a-z0-9]{1,10}\.[\w-]{1,9}$/,
    ),
  );
  fc.assert(
    fc.property(text, key => {
      parseRequestKey(key).match(
        parts => {
          const issued = parts.issuedAt.toString(36);
          t.true(Number.isSafeInteger(parts.issuedAt));
          t.true(key.startsWith(`${parts.instance}~${parts.incarnation}~`));
          t.true(key.endsWith(`${issued}.${parts.unique}`));
        },
        fault => t.is(fault, 'malformed'),
      );
    }),
    {seed: SEED, numRuns: 5_000},
  );
});
