import test from 'ava';
import {UpdateAction, TablePosition} from './table_position.js';

const START = 10_000;

function readAt(version: number, now: number): TablePosition {
  const position = new TablePosition();
  position.recordRead(version, now);
  return position;
}

test('a table that was never read is due at once, whatever updates arrive', t => {
  const position = new TablePosition();
  const update = {kind: 'unchanged', from: 3, version: 5} as const;
  t.is(position.recordUpdate(update, START), UpdateAction.None);
  t.true(position.readDueAt <= START);
});

test('a confirmation by another instance postpones the next read', t => {
  const position = readAt(5, START);
  const due = position.readDueAt;
  const update = {kind: 'unchanged', from: 5, version: 9} as const;
  t.is(position.recordUpdate(update, START + 500), UpdateAction.Confirm);
  t.is(position.readDueAt, due + 500);
  t.is(position.version, 9);
});

test('a read is due before the bound on staleness is reached', t => {
  const position = readAt(5, START);
  // The bound for configurations and leaving servers is two seconds.
  t.true(position.readDueAt < START + 2_000);
});

test('rows are applied only if they are newer and leave no gap', t => {
  const position = readAt(5, START);
  const rows = [{}];
  const overlapping = {kind: 'rows', from: 4, version: 8, rows} as const;
  t.is(position.recordUpdate(overlapping, START), UpdateAction.Apply);
  t.is(position.version, 8);
  const old = {kind: 'rows', from: 2, version: 7, rows} as const;
  t.is(position.recordUpdate(old, START), UpdateAction.None);
  t.is(position.version, 8);
});

test('a gap makes a read due soon', t => {
  const position = readAt(5, START);
  const update = {kind: 'rows', from: 7, version: 9, rows: []} as const;
  t.is(position.recordUpdate(update, START + 10), UpdateAction.Behind);
  t.is(position.version, 5);
  t.true(position.readDueAt <= START + 10 + 250);
});

test('further updates do not postpone the read for an announced change', t => {
  const position = readAt(5, START);
  position.recordUpdate({kind: 'changed', version: 9}, START);
  const due = position.readDueAt;
  position.recordUpdate({kind: 'changed', version: 10}, START + 100);
  position.recordUpdate({kind: 'unchanged', from: 4, version: 6}, START + 200);
  t.is(position.readDueAt, due);
});

test('rows that arrive in time make the read unnecessary', t => {
  const position = readAt(5, START);
  position.recordUpdate({kind: 'changed', version: 9}, START);
  position.recordUpdate(
    {kind: 'rows', from: 5, version: 9, rows: [{}]},
    START + 30,
  );
  t.true(position.readDueAt > START + 1_000);
  t.is(
    position.recordUpdate({kind: 'changed', version: 9}, START + 40),
    UpdateAction.None,
  );
});

test('a read that updates have overtaken is ignored', t => {
  const position = readAt(5, START);
  position.recordUpdate({kind: 'rows', from: 5, version: 9, rows: [{}]}, START);
  t.false(position.recordRead(7, START + 10));
  t.is(position.version, 9);
  t.true(position.recordRead(9, START + 20));
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
