import type {Row, Transaction} from '@ragworthall/contracts';
import test from 'ava';
import fc from 'fast-check';
import {HISTORY_MS, Table} from './table.js';

const SEED = 20261204;

const key = fc.constantFrom('a', 'a/1', 'a/2', 'b/1', 'b');
const conditionArb = fc.record({key, version: fc.nat({max: 3})});
const writeArb = fc.record({
  key,
  value: fc.option(fc.nat({max: 9}), {freq: 3, nil: null}),
});
const transactionArb: fc.Arbitrary<Transaction> = fc.record({
  conditions: fc.array(conditionArb, {maxLength: 2}),
  writes: fc.uniqueArray(writeArb, {
    maxLength: 3,
    selector: write => write.key,
  }),
});

/** The rows after a transaction, or undefined if a condition fails. */
function applyToModel(
  rows: readonly Row[],
  {conditions, writes}: Transaction,
): readonly Row[] | undefined {
  const versionOf = (key: string): number =>
    rows.find(row => row.key === key)?.version ?? 0;
  if (conditions.some(({key, version}) => versionOf(key) !== version)) {
    return undefined;
  }
  const untouched = rows.filter(row =>
    writes.every(write => write.key !== row.key),
  );
  const written = writes
    .filter(write => write.value !== null)
    .map(({key, value}) => ({key, version: versionOf(key) + 1, value}));
  return [...untouched, ...written].sort((a, b) => (a.key < b.key ? -1 : 1));
}

test('transactions and reads at any time agree with a simple model', t => {
  const property = fc.property(
    fc.array(transactionArb, {maxLength: 30}),
    fc.constantFrom('', 'a', 'a/', 'b'),
    (transactions, prefix) => {
      const table = new Table();
      const states: Array<readonly Row[]> = [[]];
      transactions.forEach((transaction, i) => {
        const before = states[i]!;
        const after = applyToModel(before, transaction);
        const commit = table.commit(transaction, i + 1);
        t.is(commit.kind, after === undefined ? 'conflict' : 'committed');
        states.push(after ?? before);
      });
      states.forEach((rows, time) => {
        const expected = rows.filter(row => row.key.startsWith(prefix));
        t.deepEqual(table.scan(prefix, time), expected);
        rows.forEach(row => t.deepEqual(table.read(row.key, time), row));
      });
    },
  );
  fc.assert(property, {seed: SEED, numRuns: 200});
  t.pass();
});

test('a conflict returns the current state of the rows whose conditions failed', t => {
  const table = new Table();
  table.commit({conditions: [], writes: [{key: 'k', value: 1}]}, 1);
  const commit = table.commit(
    {
      conditions: [
        {key: 'k', version: 0},
        {key: 'absent', version: 2},
      ],
      writes: [{key: 'other', value: 1}],
    },
    2,
  );
  t.deepEqual(commit, {
    kind: 'conflict',
    failed: [
      {key: 'k', version: 1, value: 1},
      {key: 'absent', version: 0, value: null},
    ],
  });
  t.is(table.read('other', 2), undefined);
});

test('the revision in effect at the start of the kept history is still read', t => {
  const table = new Table();
  const write = (value: number, now: number) =>
    table.commit({conditions: [], writes: [{key: 'k', value}]}, now);
  write(1, 0);
  write(2, 10);
  write(3, 10 + HISTORY_MS);
  t.is(table.read('k', 10)?.value, 2);
  t.is(table.read('k', 10 + HISTORY_MS)?.value, 3);
});
