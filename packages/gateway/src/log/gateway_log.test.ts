import {DaemonLog} from '@ragworthall/daemon';
import test from 'ava';
import winston from 'winston';
import {GatewayLog} from './gateway_log.js';

const START = 5_000;

/** A log whose lines are kept, and the clock that it reads. */
function logOf() {
  const lines: Record<string, unknown>[] = [];
  const logger = winston.createLogger({
    transports: [new winston.transports.Console({silent: true})],
  });
  logger.on('data', (line: Record<string, unknown>) => lines.push(line));
  const clock = {at: START, now: () => clock.at};
  return {log: new GatewayLog(logger, clock), lines, clock};
}

/** Logs requests as runs do; each `failing`th one fails. */
function play(
  log: GatewayLog,
  from: number,
  count: number,
  failing = Infinity,
) {
  for (let i = from; i < from + count; i++) {
    const request = log.request(`r${i}`);
    request.add('sent', {server: 's'});
    if ((i + 1) % failing === 0) {
      request.failed();
      request.add('send_failed', {server: 's'});
    }
    request.add('ended', {});
    request.end();
  }
}

function kindsOf(lines: readonly Record<string, unknown>[]) {
  const byRequest = new Map<string, string[]>();
  lines.forEach(({request, kind}) => {
    const kinds = byRequest.get(String(request)) ?? [];
    byRequest.set(String(request), [...kinds, String(kind)]);
  });
  return byRequest;
}

test('few requests are logged whole', t => {
  const {log, lines} = logOf();
  play(log, 0, 50);
  t.is(lines.length, 100);
});

test('under load healthy requests are thinned, each whole or not at all', t => {
  const {log, lines, clock} = logOf();
  play(log, 0, 1_000);
  clock.at += 1_000;
  lines.length = 0;
  play(log, 1_000, 1_000);
  const kinds = [...kindsOf(lines).values()];
  t.true(kinds.length > 20 && kinds.length < 140, `${kinds.length}`);
  kinds.forEach(of => t.deepEqual(of, ['sent', 'ended']));
});

test('under load a request that fails is logged whole', t => {
  const {log, lines, clock} = logOf();
  play(log, 0, 1_000);
  clock.at += 1_000;
  lines.length = 0;
  play(log, 1_000, 1_000, 20);
  const failed = [...kindsOf(lines).values()].filter(of => of.length === 3);
  t.is(failed.length, 50);
  failed.forEach(of => t.deepEqual(of, ['sent', 'send_failed', 'ended']));
});

test('the lines of a second are bounded, and those left out are counted', t => {
  const {log, lines, clock} = logOf();
  play(log, 0, 2_000, 1);
  t.true(lines.length <= 400);
  const written = lines.length;
  clock.at += 1_000;
  play(log, 2_000, 1, 1);
  t.is(lines[written]!['omittedBefore'], 6_000 - written);
});

test('a reader that stops reading costs lines, no time and no memory', t => {
  let chars = 0;
  const stalled = {
    write: (text: string) => {
      chars += text.length;
      return false;
    },
    once: () => undefined,
  };
  using own = new DaemonLog('info', 'e-1', stalled);
  const clock = {at: START, now: () => clock.at};
  const log = new GatewayLog(own.logger, clock);
  const long = 'x'.repeat(100_000);
  for (let i = 0; i < 200; i++) {
    clock.at += 1_000;
    log.request(`r${i}`).add('sent', {server: long});
  }
  // What was written before the reader stalled, out of 20 MB.
  t.true(chars < 1_000_000, `${chars}`);
});
