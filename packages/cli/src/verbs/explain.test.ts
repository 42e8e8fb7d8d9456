/** The trace of a request from the logs of several instances. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test from 'ava';
import {ExitCode} from '../exit_code.js';
import {run} from '../run.js';

const START_UNIX_MS = Date.parse('2026-01-10T10:00:00Z');
const NEVER_ABORTED = new AbortController().signal;

function line(ms: number, instance: string, fields: object): string {
  const time = new Date(START_UNIX_MS + ms).toISOString();
  return JSON.stringify({instance, level: 'info', time, ...fields});
}

const FIRST_LOG = [
  line(0, 'e-1', {kind: 'configuration', version: 7, outcome: 'taken'}),
  line(9_000, 'e-1', {kind: 'server_suspect', server: 'i-1', detail: 'reset'}),
  line(9_100, 'e-1', {kind: 'server_suspect', server: 'i-9', detail: 'reset'}),
  line(10_000, 'e-1', {kind: 'sent', request: 'r1', server: 'i-1', load: 2}),
  line(10_010, 'e-1', {kind: 'sent', request: 'r2', server: 'i-9', load: 2}),
  line(10_600, 'e-1', {
    kind: 'send_failed',
    request: 'r1',
    server: 'i-1',
    result: 'lost',
  }),
  line(10_601, 'e-1', {
    kind: 'ended',
    request: 'r1',
    end: 'unknown',
    omittedBefore: 4,
  }),
];
const SECOND_LOG = [
  '  12.5000 e-2 ' + line(10_300, 'e-2', {kind: 'ended', request: 'r1'}),
  'no line of a log',
];

/** Runs `explain` on two logs; returns its exit code and what it wrote. */
async function explained(...args: readonly string[]) {
  const dir = mkdtempSync(join(tmpdir(), 'explain-'));
  const files = [FIRST_LOG, SECOND_LOG].map((lines, i) => {
    const file = join(dir, `${i}.log`);
    writeFileSync(file, lines.join('\n'));
    return file;
  });
  const written = {out: '', err: ''};
  const streams = {
    out: (text: string) => void (written.out += text),
    err: (text: string) => void (written.err += text),
  };
  const code = await run(
    ['explain', ...args, ...files],
    {},
    streams,
    NEVER_ABORTED,
  );
  rmSync(dir, {recursive: true});
  return {code, ...written};
}

test('prints the events of a request in chronological order, with state changes of its servers', async t => {
  const {code, out} = await explained('r1', '--output', 'json');
  t.is(code, ExitCode.Done);
  const {steps, omitted} = JSON.parse(out) as {
    steps: {kind: string; sinceMs: number; isOwn: boolean}[];
    omitted: number;
  };
  t.deepEqual(
    steps.map(step => [step.kind, step.sinceMs, step.isOwn]),
    [
      ['configuration', -10_000, false],
      ['server_suspect', -1_000, false],
      ['sent', 0, true],
      ['ended', 300, true],
      ['send_failed', 600, true],
      ['ended', 601, true],
    ],
  );
  t.is(omitted, 4);
});

test('prints a table and reports omitted lines', async t => {
  const {code, out} = await explained('r1');
  t.is(code, ExitCode.Done);
  t.regex(out, /MS +INSTANCE +ABOUT +WHAT +DETAILS/);
  t.regex(out, /600 +e-1 +request +send_failed +server=i-1 result=lost/);
  t.regex(out, /the instances omitted 4 lines in this period/);
});

test('a request that is not in the logs is reported with the number of lines read and omitted', async t => {
  const {code, err} = await explained('r3');
  t.is(code, ExitCode.Failed);
  t.regex(
    err,
    /none of 8 log lines has the request r3; the instances omitted 4 lines/,
  );
});

test('a missing id or an unreadable file is a usage error', async t => {
  const streams = {out: () => undefined, err: () => undefined};
  t.is(await run(['explain'], {}, streams, NEVER_ABORTED), ExitCode.Usage);
  const missing = ['explain', 'r1', '/nowhere/at/all.log'];
  t.is(await run(missing, {}, streams, NEVER_ABORTED), ExitCode.Usage);
});

test('a summary counts failed requests by what was told and why', async t => {
  const dir = mkdtempSync(join(tmpdir(), 'explain-'));
  const file = join(dir, 'e.log');
  const ended = (request: string, fields: object) =>
    line(1_000, 'e-1', {kind: 'ended', request, route: 'book', ...fields});
  const sent = (request: string, cost: number) =>
    line(900, 'e-1', {kind: 'sent', request, server: 'i-1', cost});
  const lines = [
    ended('a', {end: 'refused', reason: 'expired'}),
    ended('b', {end: 'refused', reason: 'expired', omittedBefore: 3}),
    sent('c', 4.5),
    ended('c', {end: 'answered', status: 504}),
    sent('d', 1.1),
    line(950, 'e-1', {
      kind: 'send_failed',
      request: 'd',
      result: 'lost',
      detail: 'ECONNRESET',
    }),
    ended('d', {end: 'unknown', reason: 'lost'}),
    ended('e', {end: 'answered', status: 200}),
    ended('f', {end: 'abandoned', reason: ''}),
  ];
  writeFileSync(file, lines.join('\n'));
  const written = {out: '', err: ''};
  const streams = {
    out: (text: string) => void (written.out += text),
    err: (text: string) => void (written.err += text),
  };
  const args = ['explain', '--summary', file];
  t.is(await run([...args, '-o', 'json'], {}, streams, NEVER_ABORTED), 0);
  const {failures, omitted} = JSON.parse(written.out) as {
    failures: {requests: number; told: string; cause: string}[];
    omitted: number;
  };
  t.deepEqual(
    failures.map(({requests, told, cause}) => [requests, told, cause]),
    [
      [2, 'not run', 'too little time was left'],
      [1, 'server error', 'its deadline passed at a server known to be slow'],
      [1, 'unknown', 'its answer was lost: ECONNRESET'],
      [1, 'nothing', 'the caller left first'],
    ],
  );
  t.is(omitted, 3);
  written.out = '';
  t.is(await run(args, {}, streams, NEVER_ABORTED), ExitCode.Done);
  t.regex(written.out, /REQUESTS +ROUTE +TOLD +CAUSE/);
  rmSync(dir, {recursive: true});
});
