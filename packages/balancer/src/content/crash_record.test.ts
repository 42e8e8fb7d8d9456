import test from 'ava';
import fc from 'fast-check';
import {
  changedRecord,
  type ContentChange,
  contentStatus,
  type CrashRecord,
  ENDS_TO_REFUSE,
} from './crash_record.js';

const SELF = 'front-1';
const OTHER = 'front-2';
const S = 1_000;
const HOUR = 3_600 * S;

function after(
  changes: readonly ContentChange[],
  record?: CrashRecord,
): CrashRecord | undefined {
  return changes.reduce<CrashRecord | undefined>(changedRecord, record);
}

function ended(knownEnds: number, at: number): ContentChange {
  return {kind: 'ended', knownEnds, at};
}

const THREE_ENDS = [ended(0, 0), ended(1, 500), ended(2, 1_000)];

test('a content is refused after three ends, each sent after the one before was known', t => {
  t.is(contentStatus(after([]), SELF, 0).kind, 'clear');
  t.is(contentStatus(after(THREE_ENDS.slice(0, 1)), SELF, 0).kind, 'suspect');
  t.is(contentStatus(after(THREE_ENDS.slice(0, 2)), SELF, 500).kind, 'suspect');
  t.deepEqual(contentStatus(after(THREE_ENDS), SELF, 1_000), {
    kind: 'refused',
    forMs: 30 * S,
  });
});

test('servers that end at once, with copies of one content, count as one end', t => {
  const record = after(Array.from({length: 20}, (_, i) => ended(0, i)));
  t.is(record?.ends, 1);
  t.is(contentStatus(record, SELF, 20).kind, 'suspect');
});

test('an answer clears a content, whatever was known of it', t => {
  t.is(after([...THREE_ENDS, {kind: 'answered'}]), undefined);
});

test('each refusal that a trial prolongs is longer, three trials at most come within a day', t => {
  let record = after(THREE_ENDS);
  let at = 1_000;
  const trialsAt: number[] = [];
  while (at < 24 * HOUR) {
    const status = contentStatus(record, SELF, at);
    if (status.kind === 'refused') {
      at += status.forMs;
      continue;
    }
    t.is(status.kind, 'trial');
    trialsAt.push(at);
    const claim = {by: SELF, until: at + S};
    const knownEnds = record!.ends;
    record = after(
      [{kind: 'claimed', claim, at}, ended(knownEnds, at)],
      record,
    );
  }
  t.deepEqual(
    trialsAt.map(trialAt => trialAt / S),
    [31, 151, 751],
  );
});

test('a trial refuses the content in advance, also if its instance tells nothing', t => {
  const at = 40 * S;
  const claim = {by: OTHER, until: at + S};
  const record = after([{kind: 'claimed', claim, at}], after(THREE_ENDS));
  t.deepEqual(contentStatus(record, SELF, at + 2 * S), {
    kind: 'refused',
    forMs: 118 * S,
  });
});

test('a claim lets one instance run a suspect content, until it lapses or is released', t => {
  const claim = {by: OTHER, until: 3_000};
  const record = after([ended(0, 0), {kind: 'claimed', claim, at: 1_000}]);
  t.deepEqual(contentStatus(record, SELF, 1_000), {
    kind: 'claimed',
    forMs: 2_000,
  });
  t.is(contentStatus(record, OTHER, 1_000).kind, 'suspect');
  t.is(contentStatus(record, SELF, 3_000).kind, 'suspect');
  const released = after([{kind: 'released', by: OTHER}], record);
  t.is(contentStatus(released, SELF, 1_000).kind, 'suspect');
  t.is(after([{kind: 'released', by: SELF}], record), record);
});

test('contents are forgotten: suspect ones after hours, refused ones after a day', t => {
  const aged = (record: CrashRecord | undefined, at: number) =>
    after([{kind: 'aged', at}], record);
  const suspect = after([ended(0, 0)]);
  t.is(aged(suspect, HOUR), suspect);
  t.is(aged(suspect, 2 * HOUR), undefined);
  const refused = after(THREE_ENDS);
  t.is(aged(refused, 24 * HOUR), refused);
  t.is(aged(refused, 25 * HOUR), undefined);
});

test('ends that several instances report are counted alike in any order', t => {
  const change = fc.record({
    kind: fc.constant('ended' as const),
    knownEnds: fc.nat(4),
    at: fc.nat(10_000),
  });
  fc.assert(
    fc.property(fc.array(change, {minLength: 1}), changes => {
      const inOrder = after(changes)!;
      const reversed = after([...changes].reverse())!;
      t.is(inOrder.ends, reversed.ends);
      t.is(inOrder.ends >= ENDS_TO_REFUSE, inOrder.refusals === 1);
    }),
    {seed: 28},
  );
});

test('an end that is noticed late leaves the claim of another run', t => {
  const until = 10 * S;
  const claimed: ContentChange = {
    kind: 'claimed',
    claim: {by: OTHER, until},
    at: 100,
  };
  const record = after([ended(0, 0), claimed, ended(0, 200)]);
  t.like(record, {ends: 1, claim: {by: OTHER, until}});
  t.is(contentStatus(record, SELF, 200).kind, 'claimed');
  // The end of the claimed run counts, and ends the claim.
  const after2 = after([endedUnder(OTHER, 1, 300)], record);
  t.is(after2?.ends, 2);
  t.is(contentStatus(after2, SELF, 300).kind, 'suspect');
});

function endedUnder(
  claimedBy: string,
  knownEnds: number,
  at: number,
): ContentChange {
  return {kind: 'ended', knownEnds, at, claimedBy};
}
