import {once} from 'node:events';
import * as http from 'node:http';
import {setTimeout} from 'node:timers/promises';
import type {Row, Transaction} from '@ragworthall/contracts';
import test from 'ava';
import {request} from 'undici';
import {CLIENT_HEADER} from './faults.js';
import type {PlatformFaultsChange} from './faults.js';
import {Platform} from './platform.js';

const writeOf = (key: string, value: unknown): Transaction => ({
  conditions: [],
  writes: [{key, value}],
});

const commit = (platform: Platform, transaction: unknown, client = '') =>
  request(`${platform.url}/table/transactions`, {
    method: 'POST',
    headers: {[CLIENT_HEADER]: client},
    body: JSON.stringify(transaction),
  });

const get = (platform: Platform, path: string, client = '') =>
  request(`${platform.url}${path}`, {headers: {[CLIENT_HEADER]: client}});

async function readRow(platform: Platform, key: string): Promise<Row> {
  const answer = await get(platform, `/table/rows/${key}`);
  return (await answer.body.json()) as Row;
}

async function postFaults(
  platform: Platform,
  change: PlatformFaultsChange,
): Promise<void> {
  const {statusCode} = await request(`${platform.url}/control/faults`, {
    method: 'POST',
    body: JSON.stringify(change),
  });
  if (statusCode !== 204) throw new Error(`faults refused: ${statusCode}`);
}

test('rows and objects are read back, and accesses are counted', async t => {
  await using platform = await Platform.start();
  const answer = await commit(platform, writeOf('cfg/a', {x: 1}));
  t.deepEqual(await answer.body.json(), {versions: {'cfg/a': 1}});
  t.deepEqual(await readRow(platform, 'cfg/a'), {
    key: 'cfg/a',
    version: 1,
    value: {x: 1},
  });
  const rows = await get(platform, '/table/rows?prefix=cfg%2F');
  t.like(await rows.body.json(), {rows: [{key: 'cfg/a'}]});

  await request(`${platform.url}/objects/o/1`, {method: 'PUT', body: 'bytes'});
  const object = await get(platform, '/objects/o/1');
  t.is(await object.body.text(), 'bytes');
  t.deepEqual(platform.accessCounts(), {
    reads: 3,
    writes: 2,
    conflicts: 0,
    byPrefix: {cfg: {reads: 2, writes: 1}, o: {reads: 1, writes: 1}},
  });
});

test('an invalid transaction is rejected with a reason', async t => {
  await using platform = await Platform.start();
  const twice = {
    conditions: [],
    writes: [
      {key: 'k', value: 1},
      {key: 'k', value: 2},
    ],
  };
  const answer = await commit(platform, twice);
  t.is(answer.statusCode, 400);
  t.regex(await answer.body.text(), /a key is written twice/);
});

test('a transaction whose answer is lost takes effect', async t => {
  await using platform = await Platform.start();
  await postFaults(platform, {
    faults: [{kind: 'lose_write_answers', count: 1}],
  });
  await t.throwsAsync(commit(platform, writeOf('k', 1)));
  t.is((await readRow(platform, 'k')).version, 1);
  t.is((await commit(platform, writeOf('k', 2))).statusCode, 200);
});

test('while the store is down, requests fail and change nothing', async t => {
  await using platform = await Platform.start();
  platform.setFaults([{kind: 'down'}]);
  t.is((await commit(platform, writeOf('k', 1))).statusCode, 503);
  t.is((await get(platform, '/table/rows/k')).statusCode, 503);
  t.is((await get(platform, '/objects/k')).statusCode, 503);
  t.is((await get(platform, '/instances')).statusCode, 200);
  platform.setFaults([]);
  t.is((await get(platform, '/table/rows/k')).statusCode, 404);
});

test('faults of one client do not affect other clients', async t => {
  await using platform = await Platform.start();
  await postFaults(platform, {faults: [{kind: 'down'}], forClient: 'i1'});
  t.is((await get(platform, '/table/rows/k', 'i1')).statusCode, 503);
  t.is((await get(platform, '/table/rows/k', 'i2')).statusCode, 404);
  await postFaults(platform, {
    faults: [{kind: 'unreachable'}],
    forClient: 'i1',
  });
  await t.throwsAsync(get(platform, '/instances', 'i1'));
  t.is((await get(platform, '/instances', 'i2')).statusCode, 200);
});

test('stale reads return past state, conditions check current state', async t => {
  await using platform = await Platform.start();
  await commit(platform, writeOf('k', 1));
  platform.setFaults([{kind: 'stale_reads', ms: 30_000}]);
  t.is((await get(platform, '/table/rows/k')).statusCode, 404);
  const conflict = await commit(platform, {
    conditions: [{key: 'k', version: 0}],
    writes: [],
  });
  t.is(conflict.statusCode, 409);
  t.deepEqual(await conflict.body.json(), {
    failed: [{key: 'k', version: 1, value: 1}],
  });
});

test('a delayed write takes effect even if the client disconnects', async t => {
  await using platform = await Platform.start();
  platform.setFaults([{kind: 'delay', ms: 50}], 'slow');
  const abandoned = http.request(`${platform.url}/table/transactions`, {
    method: 'POST',
    headers: {[CLIENT_HEADER]: 'slow'},
  });
  abandoned.on('error', () => {});
  abandoned.end(JSON.stringify(writeOf('k', 1)));
  await once(abandoned, 'finish');
  abandoned.destroy();
  while (platform.accessCounts().writes === 0) {
    await setTimeout(2);
  }
  t.is((await readRow(platform, 'k')).version, 1);
});
