import test from 'ava';
import {FakeTime} from '../testing/fake_time.js';
import type {ContentChange} from './crash_record.js';
import {type ContentRow, SuspectContents} from './suspect_contents.js';

const CONTENT = 'content';
const INSTANCES = 5;

/** Rows with versions, as the store keeps them for all instances. */
class SharedRows {
  readonly rows = new Map<string, ContentRow>();
  private version = 0;

  /** Writes what an instance has learned, as often as others were faster. */
  write(contents: SuspectContents, also?: ContentChange): void {
    for (;;) {
      const change = contents.rowChange(CONTENT, also);
      const known = this.rows.get(CONTENT);
      if ((known?.version ?? 0) === change.expectedVersion) {
        this.version += 1;
        const {fingerprint, record} = change;
        if (record) {
          this.rows.set(fingerprint, {
            fingerprint,
            record,
            version: this.version,
          });
        } else this.rows.delete(fingerprint);
        return contents.recordWritten(change, this.version);
      }
      if (known) contents.putRow(known);
      else contents.removeRow(CONTENT);
    }
  }

  /** Tells an instance all rows. */
  tell(contents: SuspectContents): void {
    contents.replaceRows([...this.rows.values()]);
  }
}

function newContents(self: string): SuspectContents {
  return new SuspectContents(self, new FakeTime());
}

function runOnce(contents: SuspectContents, at: number): void {
  const knownEnds = contents.knownEnds(CONTENT);
  contents.record(CONTENT, {kind: 'ended', knownEnds, at});
}

test('what one instance writes, the others and a restarted one know', t => {
  const shared = new SharedRows();
  const first = newContents('front-0');
  for (const at of [0, 500, 1_000]) {
    runOnce(first, at);
    shared.write(first);
  }
  const restarted = newContents('front-1');
  t.is(restarted.statusOf(CONTENT, 1_000).kind, 'clear');
  shared.tell(restarted);
  t.is(restarted.statusOf(CONTENT, 1_000).kind, 'refused');
});

test('ends at several instances at once are one end of the fleet', t => {
  const shared = new SharedRows();
  const fleet = Array.from({length: INSTANCES}, (_, i) =>
    newContents(`front-${i}`),
  );
  fleet.forEach(contents => runOnce(contents, 0));
  fleet.forEach(contents => shared.write(contents));
  t.is(shared.rows.get(CONTENT)?.record?.ends, 1);
  fleet.forEach(contents => shared.tell(contents));
  fleet.forEach(contents => runOnce(contents, 100));
  fleet.forEach(contents => shared.write(contents));
  t.is(shared.rows.get(CONTENT)?.record?.ends, 2);
});

test('of all instances that claim a content, one gets it', t => {
  const shared = new SharedRows();
  const fleet = Array.from({length: INSTANCES}, (_, i) =>
    newContents(`front-${i}`),
  );
  runOnce(fleet[0]!, 0);
  shared.write(fleet[0]!);
  fleet.forEach(contents => shared.tell(contents));
  const claims = fleet.map((contents, i) => {
    const claim = {by: `front-${i}`, until: 9_000};
    return contents.rowChange(CONTENT, {kind: 'claimed', claim, at: 10});
  });
  const {version} = shared.rows.get(CONTENT)!;
  t.true(claims.every(({expectedVersion}) => expectedVersion === version));
  // The store takes the first; the others are told the row as it is.
  const row = {fingerprint: CONTENT, record: claims[0]!.record, version: 99};
  fleet.slice(1).forEach(contents => contents.putRow(row));
  const statuses = fleet.slice(1).map(c => c.statusOf(CONTENT, 10).kind);
  t.true(statuses.every(kind => kind === 'claimed'));
});

test('an end that was not written yet counts, and is kept over a read of the rows', t => {
  const contents = newContents('front-0');
  runOnce(contents, 0);
  t.is(contents.statusOf(CONTENT, 0).kind, 'suspect');
  contents.replaceRows([]);
  t.is(contents.knownEnds(CONTENT), 1);
  t.true(contents.hasUnwritten);
});

test('an end and the answer after it leave nothing to write', t => {
  const contents = newContents('front-0');
  runOnce(contents, 0);
  contents.record(CONTENT, {kind: 'answered'});
  t.false(contents.hasUnwritten);
  t.is(contents.size, 0);
});

test('changes that come while others are written are written after them', t => {
  const contents = newContents('front-0');
  runOnce(contents, 0);
  const [change] = contents.rowChanges(10);
  runOnce(contents, 5);
  contents.recordWritten(change!, 7);
  t.true(contents.hasUnwritten);
  const [next] = contents.rowChanges(10);
  t.is(next!.expectedVersion, 7);
  t.is(next!.record?.ends, 2);
});

test('a row of another writer that is no record clears nothing and can be overwritten', t => {
  const contents = newContents('front-0');
  contents.putRow({fingerprint: CONTENT, record: undefined, version: 3});
  t.is(contents.statusOf(CONTENT, 0).kind, 'clear');
  runOnce(contents, 0);
  const [change] = contents.rowChanges(10);
  t.is(change!.expectedVersion, 3);
  t.is(change!.record?.ends, 1);
});

test('one request at a time holds the lock of a content, and the next is woken', async t => {
  const contents = newContents('front-0');
  const lock = contents.lockOf(CONTENT);
  const held = lock.tryTake()!;
  t.is(contents.lockOf(CONTENT).tryTake(), undefined);
  const woken = lock.wait(60_000, new AbortController().signal);
  held[Symbol.dispose]();
  await woken;
  t.truthy(contents.lockOf(CONTENT).tryTake());
});

test('what a restored store has lost is written again, and nothing else', t => {
  const shared = new SharedRows();
  const contents = newContents('front-0');
  runOnce(contents, 0);
  shared.write(contents);
  const old = [...shared.rows.values()];
  runOnce(contents, 500);
  runOnce(contents, 1_000);
  shared.write(contents);
  t.false(contents.hasUnwritten);
  contents.restoreRows(old);
  t.is(contents.statusOf(CONTENT, 1_000).kind, 'refused');
  const [change] = contents.rowChanges(10);
  t.is(change!.expectedVersion, old[0]!.version);
  t.is(change!.record?.ends, 3);
  // Another instance was faster.
  contents.putRow({...change!, record: change!.record, version: 50});
  contents.restoreRows([{...old[0]!, record: change!.record, version: 50}]);
  t.is(contents.statusOf(CONTENT, 1_000).kind, 'refused');
});
