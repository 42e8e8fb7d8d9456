/** Tests that faulty messages are refused, over real connections. */
import type {Refusal} from '@ragworthall/contracts';
import test from 'ava';
import {request} from 'undici';
import {
  CONNECTION_CLOSE,
  echo,
  GET_LINE,
  POST_LINE,
  rawMessage,
  sendRaw,
  startServer,
} from './caller_server.test_support.js';

/** Name, raw message, expected status code and expected reason. */
const FAULTY_MESSAGES: ReadonlyArray<[string, string, number, string]> = [
  [
    'length and coding',
    rawMessage(
      POST_LINE,
      ['Content-Length: 3', 'Transfer-Encoding: chunked'],
      '0\r\n\r\n',
    ),
    400,
    'framing_ambiguous',
  ],
  [
    'two lengths',
    rawMessage(POST_LINE, ['Content-Length: 3', 'Content-Length: 4'], 'abcd'),
    400,
    'framing_ambiguous',
  ],
  [
    'coding that is not chunked',
    rawMessage(
      POST_LINE,
      ['Transfer-Encoding: gzip, chunked', CONNECTION_CLOSE],
      '0\r\n\r\n',
    ),
    501,
    'coding_unsupported',
  ],
  [
    'folded header',
    rawMessage(GET_LINE, ['X: a', ' b']),
    400,
    'header_malformed',
  ],
  ['control byte', rawMessage(GET_LINE, ['X: a\x01']), 400, 'header_malformed'],
  [
    'space before colon',
    rawMessage(GET_LINE, ['X : a']),
    400,
    'header_malformed',
  ],
  [
    'bad chunk',
    rawMessage(POST_LINE, ['Transfer-Encoding: chunked'], 'zz\r\n'),
    400,
    'message_malformed',
  ],
  [
    'two hosts',
    rawMessage(GET_LINE, ['Host: b', CONNECTION_CLOSE]),
    400,
    'header_repeated',
  ],
  [
    'two keys',
    rawMessage(GET_LINE, [
      'Idempotency-Key: a',
      'Idempotency-Key: b',
      CONNECTION_CLOSE,
    ]),
    400,
    'header_repeated',
  ],
  [
    'HTTP/1.0',
    rawMessage('GET /s/m/s/x HTTP/1.0', []),
    505,
    'version_unsupported',
  ],
  [
    'HTTP/2.0',
    rawMessage('GET /s/m/s/x HTTP/2.0', [CONNECTION_CLOSE]),
    505,
    'version_unsupported',
  ],
  [
    'unknown expectation',
    rawMessage(GET_LINE, ['Expect: tea']),
    417,
    'expectation_unsupported',
  ],
  [
    'large headers',
    rawMessage(GET_LINE, [`X: ${'a'.repeat(3_000)}`]),
    431,
    'headers_too_large',
  ],
  [
    'bad escape',
    rawMessage('GET /s/m/s/%zz HTTP/1.1', [CONNECTION_CLOSE]),
    400,
    'target_malformed',
  ],
  [
    'dot segment',
    rawMessage('GET /s/m/s/a/../b HTTP/1.1', [CONNECTION_CLOSE]),
    400,
    'target_malformed',
  ],
  [
    'escaped dot segment',
    rawMessage('GET /s/m/s/%2e%2E%2fb HTTP/1.1', [CONNECTION_CLOSE]),
    400,
    'target_malformed',
  ],
  [
    'absolute target',
    rawMessage('GET http://a/s/m/s/x HTTP/1.1', [CONNECTION_CLOSE]),
    400,
    'target_malformed',
  ],
  [
    'fragment',
    rawMessage('GET /s/m/s/x#y HTTP/1.1', [CONNECTION_CLOSE]),
    400,
    'target_malformed',
  ],
  [
    'timeout with a unit',
    rawMessage(GET_LINE, ['x-request-timeout-ms: 5s', CONNECTION_CLOSE]),
    400,
    'timeout_malformed',
  ],
  [
    'negative timeout',
    rawMessage(GET_LINE, ['x-request-timeout-ms: -5', CONNECTION_CLOSE]),
    400,
    'timeout_malformed',
  ],
  [
    'claimed rank',
    rawMessage(GET_LINE, ['x-request-rank: 1', CONNECTION_CLOSE]),
    400,
    'rank_claimed',
  ],
  [
    'declared body too large',
    rawMessage(POST_LINE, ['Content-Length: 5000'], 'a'.repeat(10)),
    413,
    'body_too_large',
  ],
  [
    'chunked body too large',
    rawMessage(
      POST_LINE,
      ['Transfer-Encoding: chunked'],
      `800\r\n${'a'.repeat(2048)}`,
    ),
    413,
    'body_too_large',
  ],
  [
    'slow headers',
    'GET /s/m/s/x HTTP/1.1\r\nHost: a\r\n',
    408,
    'request_too_slow',
  ],
  [
    'slow body',
    rawMessage(POST_LINE, ['Content-Length: 5'], 'ab'),
    408,
    'request_too_slow',
  ],
];

test('a faulty message is refused with its reason and not run, and the next request is served', async t => {
  await using caller = await startServer(echo);
  for (const [name, text, status, reason] of FAULTY_MESSAGES) {
    const received = await sendRaw(caller.port, text);
    const [head, body] = received.split('\r\n\r\n');
    t.true(head!.startsWith(`HTTP/1.1 ${status} `), `${name}: ${head}`);
    const refusal = JSON.parse(body!) as Refusal;
    // With slow headers the key is unknown: another copy of the request, whose
    // headers arrived in time, may have run.
    const outcome = name === 'slow headers' ? 'unknown' : 'not-run';
    t.like(refusal, {outcome, reason}, name);
    t.true(refusal.message.length > 0);
  }
  t.is(caller.calls.length, 0);
  const response = await request(`${caller.url}/s/m/s/x`);
  t.is(response.statusCode, 200);
});

test('refusing a request does not claim "not-run" if another copy of it may have run', async t => {
  await using caller = await startServer(echo);
  const refuse = (key: string) =>
    sendRaw(
      caller.port,
      rawMessage(POST_LINE, [
        `Idempotency-Key: ${key}`,
        'x-request-rank: 1',
        CONNECTION_CLOSE,
      ]),
    );
  t.true((await refuse('ran')).includes('"outcome":"unknown"'));
  t.true((await refuse('new')).includes('"outcome":"not-run"'));
});
