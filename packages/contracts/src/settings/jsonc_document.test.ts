/** Errors in a document name the position, the value and the remedy. */
import test from 'ava';
import {changeSetSchema} from '../configuration/change_set.js';
import {documentProblemText, parseJsonc} from './jsonc_document.js';

function problemsIn(text: string): readonly string[] {
  const parsed = parseJsonc(text, changeSetSchema);
  const problems = parsed.isErr() ? parsed.error : [];
  return problems.map(problem => documentProblemText('f', problem));
}

const SERVER = '"address": "10.0.0.1:80", "failureDomain": "a", "slots": 3';
const CONTRACT =
  '"method": "GET", "rank": 2, "idempotent": true, "deadlineMs": 9, "targetMs": 9';

test('accepts comments and trailing commas', t => {
  t.deepEqual(problemsIn('{"remove": ["a/b",], /* none */}'), []);
});

test('reports a syntax error with its line', t => {
  const [first] = problemsIn('{\n  "remove": [\n    oops\n  ]\n}');
  t.regex(first!, /^f:3:5: .*found "oops" \(invalid symbol\)/);
});

test('reports errors in fields and in rules across fields together', t => {
  const text = `{"services": [{
    "member": "m", "name": "s", "colour": "red", "colour": "blue",
    "backendServers": [
      {"id": "x", ${SERVER}},
      {"id": "x", ${SERVER.replace('.1:80', '.2:80')}},
      {"id": "y", ${SERVER.replace('10.0', '999.0')}}],
    "contracts": [
      {"name": "one", "path": "/p/:id", ${CONTRACT}},
      {"name": "two", "path": "/p/:key", ${CONTRACT}},
      {"name": "three", "path": "/p", ${CONTRACT.replace('"targetMs": 9', '"targetMs": 10')}},
      {"path": "/q", ${CONTRACT}}],
    "floors": {"urgent": 0.9}
  }]}`;
  const found = problemsIn(text);
  const expected = [
    /^f:2:50: colour: expected each field once/,
    /^f:2:\d+: services\[0\]\.colour: .*remove services\[0\]\.colour/,
    /^f:5:14: services\[0\]\.backendServers\[1\]\.id: .*other than that of backendServers\[0\], found "x"/,
    /^f:6:\d+: .*\[2\]\.address: expected an IP address and a port/,
    /^f:9:\d+: .*contracts\[1\]\.path: .*contracts\[0\] does not match already/,
    /^f:10:\d+: .*targetMs: expected at most the contract's deadlineMs, 9, found 10/,
    /^f:11:7: .*contracts\[3\]\.name: expected a string, found nothing; add /,
    /^f:12:\d+: .*floors: expected floors that add up to at most 1/,
  ];
  expected.forEach(pattern =>
    t.true(
      found.some(line => pattern.test(line)),
      `${pattern}\n${found.join('\n')}`,
    ),
  );
  t.is(found.length, expected.length);
});

test('rejects a service that is named twice', t => {
  const [problem] = problemsIn('{"remove": ["a/b", "a/b"]}');
  t.regex(problem!, /remove\[1\]: expected a service that the change does not/);
});
