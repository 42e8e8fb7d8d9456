/** Tests of the log lines of routing decisions and of their buffering. */
import {
  BackendServer,
  refusedNotRun,
  RefusalReason,
} from '@ragworthall/balancer';
import test from 'ava';
import {CALL} from './call.test_support.js';
import {DaemonLog} from './daemon_log.js';
import {LineBuffer} from './line_buffer.js';
import {WinstonDecisionLog} from './winston_decision_log.js';

/** Sink that records what is written. */
function memorySink(accepts = true) {
  const written: string[] = [];
  const drained: (() => void)[] = [];
  return {
    written,
    drained,
    write: (text: string) => {
      written.push(text);
      return accepts;
    },
    once: (unusedEvent: 'drain', listener: () => void) =>
      drained.push(listener),
  };
}

test('info logs each decision, debug also the answers, warn neither', t => {
  const sink = memorySink();
  using log = new DaemonLog('info', 'i-1', sink);
  const decisions = new WinstonDecisionLog(log.logger);
  const server = new BackendServer({
    id: 'b-1',
    address: '127.0.0.1:1',
    failureDomain: 'd',
    slots: 1,
    draining: false,
  });
  const answer = {status: 200, headers: [], body: new Uint8Array(0)};
  const logAll = () => {
    decisions.dispatched(CALL, server, 1, 'first', 4);
    decisions.ended(CALL, {kind: 'answered', answer, replayed: false}, 1);
    decisions.ended(CALL, refusedNotRun(RefusalReason.QueueFull), 0);
  };
  logAll();
  log.setLevel('warn');
  logAll();
  log.setLevel('debug');
  logAll();
  log[Symbol.dispose]();
  const lines = sink.written
    .join('')
    .trimEnd()
    .split('\n')
    .map(line => JSON.parse(line) as Record<string, unknown>);
  t.deepEqual(
    lines.map(line => line['choice']),
    ['dispatch', 'refuse', 'dispatch', 'answer', 'refuse'],
  );
  const head = {instance: 'i-1', requestId: 'call-1', contract: 'list'};
  t.like(lines[0], {...head, server: 'b-1', reason: 'first', candidates: 4});
  t.like(lines[1], {...head, reason: 'queue_full', outcome: 'not-run'});
});

test('lines are dropped and counted when the reader is too slow', t => {
  const sink = memorySink(false);
  using lines = new LineBuffer(sink);
  const long = 'x'.repeat(100_000);
  Array.from({length: 200}, () => lines.add(long));
  const writtenChars = sink.written.join('').length;
  t.true(writtenChars < 200_000);
  sink.drained.shift()!();
  lines[Symbol.dispose]();
  t.true(sink.written.join('').includes('"dropped":'));
});
