/** Header fields that parsers read differently are never passed on. */
import test from 'ava';
import fc from 'fast-check';
import {areValidFields} from './header_syntax.js';
import {
  CONNECTION_CLOSE,
  echo,
  GET_LINE,
  POST_LINE,
  rawMessage,
  sendRaw,
  startServer,
} from './caller_server.test_support.js';

const SEED = 25;

test('names are tokens and values have no control characters', t => {
  t.true(
    areValidFields(['X-A', 'b', "!#$%&'*+-.^_`|~9", 'a\tb \xe9', 'c', '']),
  );
  const names = ['', 'X ', ' X', 'X\t', 'X(', 'X:', 'X\xe9', 'X\0', 'X\n'];
  names.forEach(name => t.false(areValidFields([name, 'a']), name));
  const values = ['\0', 'a\rb', 'a\nb', 'a\x7fb', '\u0142'];
  values.forEach(value => t.false(areValidFields(['X', value]), value));
});

/** Lines around which parsers disagree, and a few that all accept. */
const line = fc.oneof(
  fc.constantFrom(
    'X-Request-Id : 7',
    'Con nection: close',
    'Content-Length : 3',
    'Transfer-Encoding\t: chunked',
    'X\x0b: a',
    'X-A: b\nX-B: c',
    'X-A: b\rX-B: c',
    'X-A: b',
    '',
  ),
  fc
    .tuple(
      fc.string({unit: 'binary-ascii', maxLength: 12}),
      fc.string({unit: 'binary-ascii', maxLength: 12}),
    )
    .map(([name, value]) => `${name}: ${value}`),
);

test('random header lines are passed on only as valid fields', async t => {
  await using caller = await startServer(echo);
  await fc.assert(
    fc.asyncProperty(fc.array(line, {maxLength: 4}), async lines => {
      await sendRaw(
        caller.port,
        rawMessage(GET_LINE, [...lines, CONNECTION_CLOSE]),
      );
    }),
    {seed: SEED, numRuns: 400},
  );
  t.true(caller.calls.length > 0);
  t.true(caller.calls.every(({headers}) => areValidFields(headers)));
});

test('a request with a malformed trailer is refused, and what follows is not served', async t => {
  await using caller = await startServer(echo);
  const chunked = ['Transfer-Encoding: chunked'];
  const faulty = rawMessage(POST_LINE, chunked, '1\r\na\r\n0\r\nX : a\r\n\r\n');
  const next = rawMessage(GET_LINE, [CONNECTION_CLOSE]);
  const received = await sendRaw(caller.port, faulty + next);
  t.true(received.startsWith('HTTP/1.1 400 '));
  t.is(received.split('HTTP/1.1 ').length, 2);
  t.is(caller.calls.length, 0);
});

test('requests behind one with a malformed header are not served', async t => {
  await using caller = await startServer(echo);
  const faulty = rawMessage(GET_LINE, ['X : a']);
  const received = await sendRaw(
    caller.port,
    faulty + rawMessage(GET_LINE, []),
  );
  t.true(received.startsWith('HTTP/1.1 400 '));
  t.is(received.split('HTTP/1.1 ').length, 2);
  t.is(caller.calls.length, 0);
});
