/** When a second server is tried. */
import test from 'ava';
import {adviseHedge, type PendingAnswer} from './hedge.js';

const FRESH: PendingAnswer = {
  baselineMs: 100,
  targetMs: 300,
  sinceArrivalMs: 0,
  sinceSendMs: 0,
  timeLeftMs: 2_000,
};

function after(ms: number): PendingAnswer {
  return {
    ...FRESH,
    sinceArrivalMs: ms,
    sinceSendMs: ms,
    timeLeftMs: 2_000 - ms,
  };
}

test('nothing is asked before an answer may be due', t => {
  t.like(adviseHedge(after(0), undefined), {kind: 'recheck', ms: 70});
});

test('a server is asked, and a second one tried if it has turned slow', t => {
  t.is(adviseHedge(after(80), undefined).kind, 'ask');
  t.is(adviseHedge(after(80), 4).kind, 'hedge');
  t.is(adviseHedge(after(80), 1).kind, 'recheck');
});

test('an overdue answer is not waited for, whatever its server says', t => {
  t.is(adviseHedge(after(160), 1).kind, 'hedge');
});

test('past the target there is one late try', t => {
  t.is(adviseHedge(after(220), 4).kind, 'recheck');
  t.is(adviseHedge(after(260), undefined).kind, 'hedge');
});

test('nothing is tried that could not answer in the time that is left', t => {
  t.is(adviseHedge({...after(80), timeLeftMs: 90}, 4).kind, 'none');
});

test('a loose target is looked after only near its end', t => {
  const loose = {...FRESH, targetMs: 2_000, timeLeftMs: 5_000};
  t.like(adviseHedge(loose, undefined), {kind: 'recheck', ms: 1_700});
});
