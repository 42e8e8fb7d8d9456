import test from 'ava';
import {ReadVerdict, TablePosition, UpdateAction} from './table_position.js';

const START = 10_000;
const ERA = 1;

function readAt(version: number, now: number): TablePosition {
  const position = new TablePosition();
  position.recordRead({era: ERA, version}, position.current, now);
  return position;
}

test('a table that was never read is due at once, whatever updates arrive', t => {
  const position = new TablePosition();
  const update = {kind: 'unchanged', era: ERA, from: 3, version: 5} as const;
  t.is(position.recordUpdate(update, START), UpdateAction.None);
  t.true(position.readDueAt <= START);
});

test('a confirmation by another instance postpones the next read', t => {
  const position = readAt(5, START);
  const due = position.readDueAt;
  const update = {kind: 'unchanged', era: ERA, from: 5, version: 9} as const;
  t.is(position.recordUpdate(update, START + 500), UpdateAction.Confirm);
  t.is(position.readDueAt, due + 500);
  t.is(position.current.version, 9);
});

test('a read is due before the bound on staleness is reached', t => {
  const position = readAt(5, START);
  // The bound for configurations and leaving servers is two seconds.
  t.true(position.readDueAt < START + 2_000);
});

test('rows are applied only if they are newer and leave no gap', t => {
  const position = readAt(5, START);
  const rows = [{}];
  const overlapping = {
    kind: 'rows',
    era: ERA,
    from: 4,
    version: 8,
    rows,
  } as const;
  t.is(position.recordUpdate(overlapping, START), UpdateAction.Apply);
  t.is(position.current.version, 8);
  const old = {kind: 'rows', era: ERA, from: 2, version: 7, rows} as const;
  t.is(position.recordUpdate(old, START), UpdateAction.None);
  t.is(position.current.version, 8);
});

test('a gap makes a read due soon', t => {
  const position = readAt(5, START);
  const update = {
    kind: 'rows',
    era: ERA,
    from: 7,
    version: 9,
    rows: [],
  } as const;
  t.is(position.recordUpdate(update, START + 10), UpdateAction.Behind);
  t.is(position.current.version, 5);
  t.true(position.readDueAt <= START + 10 + 250);
});

test('further updates do not postpone the read for an announced change', t => {
  const position = readAt(5, START);
  position.recordUpdate({kind: 'changed', era: ERA, version: 9}, START);
  const due = position.readDueAt;
  position.recordUpdate({kind: 'changed', era: ERA, version: 10}, START + 100);
  position.recordUpdate(
    {kind: 'unchanged', era: ERA, from: 4, version: 6},
    START + 200,
  );
  t.is(position.readDueAt, due);
});

test('rows that arrive in time make the read unnecessary', t => {
  const position = readAt(5, START);
  position.recordUpdate({kind: 'changed', era: ERA, version: 9}, START);
  position.recordUpdate(
    {kind: 'rows', era: ERA, from: 5, version: 9, rows: [{}]},
    START + 30,
  );
  t.true(position.readDueAt > START + 1_000);
  t.is(
    position.recordUpdate({kind: 'changed', era: ERA, version: 9}, START + 40),
    UpdateAction.None,
  );
});

test('a read that updates have overtaken is ignored', t => {
  const position = readAt(5, START);
  position.recordUpdate(
    {kind: 'rows', era: ERA, from: 5, version: 9, rows: [{}]},
    START,
  );
  const startedAt = {era: ERA, version: 5};
  const overtaken = {era: ERA, version: 7};
  const verdict = position.recordRead(overtaken, startedAt, START + 10);
  t.is(verdict, ReadVerdict.Overtaken);
  t.is(position.current.version, 9);
  const newest = {era: ERA, version: 9};
  t.is(position.recordRead(newest, startedAt, START + 20), ReadVerdict.Newest);
});

test('a source that cannot reach the store confirms nothing', t => {
  const position = readAt(5, START);
  const due = position.readDueAt;
  t.is(
    position.recordUpdate({kind: 'no_answer'}, START + 900),
    UpdateAction.None,
  );
  t.is(position.readDueAt, due);
});

test('a read in a new era counts, however old its version is', t => {
  const position = readAt(39, START);
  const read = {era: ERA + 1, version: 12};
  const verdict = position.recordRead(read, position.current, START + 10);
  t.is(verdict, ReadVerdict.Restored);
  t.deepEqual(position.current, read);
});

test('changes of a new era are not applied, also if its versions are newer', t => {
  const position = readAt(39, START);
  const from = position.current;
  const read = {era: ERA + 1, version: 60};
  t.is(position.recordChanges(read, from, START), ReadVerdict.Restored);
  t.deepEqual(position.current, from);
});

test('a stale read of the same era takes nothing back', t => {
  const position = readAt(39, START);
  const stale = {era: ERA, version: 30};
  const {current} = position;
  t.is(position.recordRead(stale, current, START), ReadVerdict.Overtaken);
  t.is(position.recordChanges(stale, current, START), ReadVerdict.Overtaken);
  t.deepEqual(position.current, current);
});

test('a store that names no era shows by its versions that it was restored', t => {
  const position = new TablePosition();
  position.recordRead({era: 0, version: 39}, position.current, START);
  const read = {era: 0, version: 30};
  const verdict = position.recordRead(read, position.current, START);
  t.is(verdict, ReadVerdict.Restored);
});

test('news of another era is not mixed in: newer ones make a read due, older ones nothing', t => {
  const position = readAt(39, START);
  const rows = [{}];
  const newer = {
    kind: 'rows',
    era: ERA + 1,
    from: 30,
    version: 50,
    rows,
  } as const;
  t.is(position.recordUpdate(newer, START + 10), UpdateAction.Behind);
  t.is(position.current.version, 39);
  t.true(position.readDueAt <= START + 10 + 250);
  const announced = {kind: 'changed', era: ERA + 1, version: 12} as const;
  t.is(position.recordUpdate(announced, START + 20), UpdateAction.Behind);
  const read = {era: ERA + 1, version: 51};
  position.recordRead(read, position.current, START + 30);
  t.true(position.readDueAt > START + 1_000);
  const older = {kind: 'unchanged', era: ERA, from: 39, version: 70} as const;
  t.is(position.recordUpdate(older, START + 40), UpdateAction.None);
  t.deepEqual(position.current, read);
});

test('an announced era that the store does not name is forgotten with the next read', t => {
  const position = readAt(39, START);
  const announced = {kind: 'changed', era: ERA + 9, version: 1} as const;
  position.recordUpdate(announced, START + 10);
  t.true(position.awaitsEra);
  const read = {era: ERA, version: 40};
  position.recordChanges(read, position.current, START + 20);
  t.false(position.awaitsEra);
  t.true(position.readDueAt > START + 1_000);
});
