/** Tests of the metrics, received over UDP. */
import {
  type DecisionLog,
  refusedNotRun,
  RefusalReason,
} from '@ragworthall/balancer';
import test from 'ava';
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {readFile} from 'node:fs/promises';
import {CALL} from '../log/call.test_support.js';
import {
  CountingDecisionLog,
  Counter,
  Gauge,
  StatsdMetrics,
  Timing,
} from './index.js';

const throwError = (err: Error) => {
  throw err;
};

const discardingLog: DecisionLog = {
  dispatched: () => undefined,
  ended: () => undefined,
};

test('counted decisions are sent as one sum with tags', async t => {
  const server = createSocket('udp4').bind(0, '127.0.0.1');
  await once(server, 'listening');
  const received: string[] = [];
  server.on('message', datagram => received.push(datagram.toString()));
  const {port} = server.address();
  const options = {host: '127.0.0.1', port, prefix: 'r.', instance: 'i-1'};
  {
    await using metrics = new StatsdMetrics(
      {...options, enabled: true},
      throwError,
    );
    const decisions = new CountingDecisionLog(metrics, discardingLog);
    const refused = refusedNotRun(RefusalReason.QueueFull);
    Array.from({length: 5}, () => decisions.ended(CALL, refused, 0));
    metrics.gauge(Gauge.Connections, 7);
  }
  while (received.join('').length < 50) await once(server, 'message');
  server.close();
  const text = received.join('\n');
  t.regex(text, /r\.calls\.refused:5\|c\|#.*service:m\/s/);
  t.true(text.includes('reason:queue_full') && text.includes('instance:i-1'));
  t.true(text.includes('r.connections:7|g'));
});

test('disabled metrics open no socket', async t => {
  const options = {host: '127.0.0.1', port: 1, prefix: '', instance: 'i'};
  await using metrics = new StatsdMetrics(
    {...options, enabled: false},
    throwError,
  );
  metrics.count(Counter.Attempts, {});
  t.pass();
});

test('docs/METRICS.md lists every metric', async t => {
  const page = new URL('../../../../docs/METRICS.md', import.meta.url);
  const text = await readFile(page, 'utf8');
  [Counter, Gauge, Timing]
    .flatMap(names => Object.values(names))
    .forEach(name => t.true(text.includes(`| \`${name}\` |`), name));
});
