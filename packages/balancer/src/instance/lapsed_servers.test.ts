/** How long servers are kept whose entries expired around an outage. */
import test from 'ava';
import {LapsedServers} from './lapsed_servers.js';

/** When the last unanswered call began. */
const LOST_AT = 10_000;
/** Longest time from there to the first answer, milliseconds. */
const MAX_NOTICE_MS = 950;
/** Time after an outage by which a server that left gets nothing, milliseconds. */
const STABLE_MS = 3_000;
/** Time after an outage by which entries of live servers are back, milliseconds. */
const BACK_MS = 1_900;

test('whenever the outage ended, entries have time to return, and none outlasts the limit', t => {
  const steps = Array.from({length: 20}, (_, i) => (i * MAX_NOTICE_MS) / 19);
  steps.forEach(answeredMs =>
    steps
      .filter(endedMs => endedMs <= answeredMs)
      .forEach(endedMs => {
        const lapsed = new LapsedServers();
        lapsed.registryRecovered(LOST_AT + answeredMs, LOST_AT);
        t.true(lapsed.retain('x', LOST_AT + answeredMs));
        const removedMs = lapsed.expiresAt! - LOST_AT - endedMs;
        t.true(removedMs < STABLE_MS, `${removedMs} after ${endedMs}`);
        t.true(removedMs >= BACK_MS, `${removedMs} after ${endedMs}`);
      }),
  );
});
