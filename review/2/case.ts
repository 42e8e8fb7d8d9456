/**
 * Instances stand still for a moment, while clients open connections some time
 * ahead of their requests. Counts the requests that ran though their client was
 * told that they did not.
 */
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {Deployment, HOST} from '../standins/deployment.js';
import {
  IS_CALM,
  requireService,
  runCase,
  seconds,
} from '../standins/verdict.js';
import type {Attempt} from '../standins/client.js';

const INSTANCES = 5;
const PLAY_MS = 70_000;
/** Length of a freeze, and the time between two, milliseconds. */
const FREEZE_MS = 900;
const FREEZE_GAP_MS = 3_000;
/** Mean time between two connections, over all instances, milliseconds. */
const GAP_MS = 10;
/**
 * Time from the opening of a connection to its first request, milliseconds; within
 * the header timeout of the configuration, which is three seconds.
 */
const MIN_AHEAD_MS = 2_000;
const MAX_AHEAD_MS = 2_800;
/** Time for which a client of the route waits, milliseconds. */
const DEADLINE_MS = 3_000;
const WORKERS = 8;
const NOT_RUN = [408, 421, 429, 503];

runCase(2, async record => {
  const deployment = await Deployment.start({
    instances: INSTANCES,
    routes: [
      {
        name: 'class-booking',
        kind: 'unsafe',
        service: 'desk',
        timeoutS: 3,
        targetS: 0.4,
      },
    ],
    workers: Array.from({length: WORKERS}, (_, i) => ({
      id: `desk-${i}`,
      service: 'desk',
      zone: 'abc'[i % 3]!,
      slots: 3,
      queue: 4,
      workMs: () => 160 * (0.7 + 0.6 * Math.random()),
      tellsLoad: true,
    })),
  });
  const {instances} = deployment;
  const attempts: Attempt[] = [];
  const startedAt = performance.now();
  const until = startedAt + PLAY_MS;
  const freezing = (async () => {
    for (let i = 0; !IS_CALM && performance.now() < until; i++) {
      await delay(FREEZE_GAP_MS);
      const instance = instances[i % INSTANCES]!;
      record.note(`${instance.name} stands still`);
      instance.signal('SIGSTOP');
      await delay(FREEZE_MS);
      instance.signal('SIGCONT');
    }
  })();
  const pending: Promise<void>[] = [];
  while (performance.now() < until) {
    const to = instances[Math.floor(Math.random() * INSTANCES)]!;
    pending.push(book(to, `r-${pending.length}`, attempts));
    await delay(-Math.log(1 - Math.random()) * GAP_MS);
  }
  await Promise.all([freezing, ...pending]);
  await delay(2_000);
  const runs = new Map(deployment.runs.map(run => [run.id, run]));
  const refused = attempts.filter(
    ({id, status, isSealed}) =>
      NOT_RUN.includes(status ?? 0) && !isSealed && runs.has(id),
  );
  refused.forEach(({id, instance, sentAt, endedAt, status}) => {
    const {worker, startedAt: at} = runs.get(id)!;
    record.note(
      `${id}, sent to ${instance} at ${seconds(sentAt)}, was answered ${status} ` +
        `at ${seconds(endedAt!)} and ran at ${worker} at ${seconds(at)}`,
    );
  });
  const by = (status: number | undefined) =>
    attempts.filter(a => a.status === status).length;
  record.note(
    `${attempts.length} sent, ${runs.size} ran; status 200: ${by(200)}, 408: ` +
      `${by(408)}, 503: ${by(503)}, 504: ${by(504)}, none: ${by(undefined)}; ` +
      `${refused.length} ran though they were refused`,
  );
  requireService(attempts);
  record.addAttempts(attempts);
  record.addRuns(deployment.runs);
  await deployment.close();
  return refused.length > 0;
});

/** Opens a connection, and sends a request on it some time later. */
async function book(
  instance: {readonly name: string; readonly callers: string},
  id: string,
  attempts: Attempt[],
): Promise<void> {
  const [host, port] = instance.callers.split(':');
  const socket = connect({host: host!, port: Number(port)});
  socket.on('error', () => undefined);
  let isUsable = true;
  const onEarlyEnd = () => (isUsable = false);
  // What comes before a request answers none: the connection is not used.
  ['data', 'end', 'close'].forEach(event => socket.on(event, onEarlyEnd));
  await Promise.race([once(socket, 'connect'), delay(1_000)]).catch(() => {});
  await delay(MIN_AHEAD_MS + Math.random() * (MAX_AHEAD_MS - MIN_AHEAD_MS));
  if (socket.connecting || !isUsable) return void socket.destroy();
  const attempt: Attempt = {
    id,
    route: 'class-booking',
    method: 'POST',
    instance: instance.name,
    sentAt: performance.now(),
    endedAt: undefined,
    status: undefined,
    isSealed: false,
    reason: '',
  };
  attempts.push(attempt);
  const body = 'one place';
  socket.write(
    `POST /class-booking/${id} HTTP/1.1\r\nHost: ${HOST}\r\n` +
      `X-Request-Id: ${id}\r\nX-Deadline-Ms: ${DEADLINE_MS}\r\n` +
      `Content-Length: ${body.length}\r\n\r\n${body}`,
  );
  const answer = await readAnswer(socket, DEADLINE_MS + 300);
  attempt.endedAt = performance.now();
  attempt.status = /^HTTP\/1.1 (\d{3}) /.exec(answer)
    ? Number(answer.slice(9, 12))
    : undefined;
  attempt.isSealed = /^x-response-seal:/im.test(answer);
  attempt.reason = attempt.isSealed ? 'answer of a worker' : '';
  socket.destroy();
}

/** Reads the head of the answer; empty if there is none in time. */
function readAnswer(socket: Socket, timeoutMs: number): Promise<string> {
  return new Promise(resolve => {
    let text = '';
    const timer = setTimeout(() => resolve(''), timeoutMs);
    const end = (head: string) => {
      clearTimeout(timer);
      resolve(head);
    };
    socket.on('data', (chunk: Buffer) => {
      text += chunk.toString();
      if (text.includes('\r\n\r\n')) end(text);
    });
    socket.on('close', () => end(''));
  });
}
