/** Tests of when a server is sent the next request, by what it states of itself. */
import test from 'ava';
import {type ServerStatement, StatementSource} from './server_statement.js';
import {Backpressure} from './backpressure.js';

const NOW = 100_000;

function message(
  statements: readonly ServerStatement[],
  source: StatementSource = StatementSource.Answer,
) {
  return {
    source,
    statements,
    malformed: new Map<string, string>(),
    isLimitUnreadable: false,
  };
}

/** Sends as many requests as allowed in `ms`, every 10 ms; returns how many. */
function sendAll(backpressure: Backpressure, from: number, ms: number): number {
  const times = Array.from({length: ms / 10}, (_, i) => from + 10 * i);
  return times.filter(now => {
    if (backpressure.nextSendAt(now) > now) return false;
    backpressure.recordSend(now);
    return true;
  }).length;
}

test('a limit counts from the last request, and holds the rate', t => {
  const backpressure = new Backpressure(() => 1);
  backpressure.recordSend(NOW);
  backpressure.record(message([{kind: 'limit', perS: 2}]), NOW);
  t.is(backpressure.nextSendAt(NOW), NOW + 500);
  t.is(sendAll(backpressure, NOW, 10_000), 19);
});

test('a limit of nothing, or without a share, lets no request through', t => {
  [[0, 1] as const, [5, 0] as const].forEach(([perS, share]) => {
    const backpressure = new Backpressure(() => share);
    backpressure.record(message([{kind: 'limit', perS}]), NOW);
    t.is(backpressure.nextSendAt(NOW + 1e9), Infinity);
  });
});

test('a limit ends with the first message without it, not with one that is unreadable', t => {
  const backpressure = new Backpressure(() => 1);
  backpressure.record(message([{kind: 'limit', perS: 0}]), NOW);
  const unreadable = {...message([]), isLimitUnreadable: true};
  t.deepEqual(backpressure.record(unreadable, NOW), []);
  t.deepEqual(
    backpressure.record(message([], StatementSource.HealthAnswer), NOW),
    [{statement: 'limit', before: 0, after: undefined}],
  );
  t.true(backpressure.nextSendAt(NOW) <= NOW);
});

test('a raised limit does not give back requests that were sent', t => {
  const backpressure = new Backpressure(() => 1);
  backpressure.record(message([{kind: 'limit', perS: 1}]), NOW);
  t.is(sendAll(backpressure, NOW, 2_000), 2);
  backpressure.record(message([{kind: 'limit', perS: 2}]), NOW + 2_000);
  t.true(sendAll(backpressure, NOW + 2_000, 2_000) <= 4);
});

test('the later end of two rests counts, and a past one restricts nothing', t => {
  const backpressure = new Backpressure(() => 1);
  t.is(
    backpressure.record(message([{kind: 'rest', ms: 2_000}]), NOW).length,
    1,
  );
  t.deepEqual(
    backpressure.record(message([{kind: 'rest', ms: 500}]), NOW + 100),
    [],
  );
  t.is(backpressure.nextSendAt(NOW + 1_000), NOW + 2_000);
  t.true(backpressure.nextSendAt(NOW + 2_000) <= NOW + 2_000);
});

test('leaving never ends', t => {
  const backpressure = new Backpressure(() => 1);
  backpressure.record(message([{kind: 'leaving'}]), NOW);
  t.deepEqual(backpressure.record(message([]), NOW + 1), []);
  t.is(backpressure.nextSendAt(NOW + 1e9), Infinity);
});
