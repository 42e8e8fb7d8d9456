/** Tests of when a request is hedged. */
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

test('the server is not asked before an answer may be due', t => {
  t.like(adviseHedge(after(0), undefined), {kind: 'recheck', ms: 70});
});

test('a server is asked, and the request is hedged if it has become slow', t => {
  t.is(adviseHedge(after(80), undefined).kind, 'ask');
  t.is(adviseHedge(after(80), 4).kind, 'hedge');
  t.is(adviseHedge(after(80), 1).kind, 'recheck');
});

test('an overdue request is hedged whatever its server reports', t => {
  t.is(adviseHedge(after(160), 1).kind, 'hedge');
});

test('a request that can no longer meet its target is hedged later', t => {
  t.is(adviseHedge(after(220), 4).kind, 'recheck');
  t.is(adviseHedge(after(260), undefined).kind, 'hedge');
});

test('no hedge is sent that could not be answered in the remaining time', t => {
  t.is(adviseHedge({...after(80), timeLeftMs: 90}, 4).kind, 'none');
});

test('with a generous target, checks start only near its end', t => {
  const loose = {...FRESH, targetMs: 2_000, timeLeftMs: 5_000};
  t.like(adviseHedge(loose, undefined), {kind: 'recheck', ms: 1_700});
});
