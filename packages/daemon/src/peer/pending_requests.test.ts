import test from 'ava';
import fc from 'fast-check';
import {PendingRequests} from './pending_requests.js';

const NEVER_ABORTED = new AbortController().signal;
const LONG_TIMEOUT_MS = 60_000;
const noop = () => undefined;

test('replies in any order, also repeated ones, settle their own requests', async t => {
  const order = fc.shuffledSubarray([0, 1, 2, 3, 4, 5], {
    minLength: 6,
    maxLength: 6,
  });
  await fc.assert(
    fc.asyncProperty(order, async numbers => {
      const requests = new PendingRequests<string>();
      const sent: number[] = [];
      const outcomes = numbers.map(() =>
        requests.send(
          n => sent.push(n) > 0,
          noop,
          LONG_TIMEOUT_MS,
          NEVER_ABORTED,
        ),
      );
      requests.handleReply(-1, 'unknown number');
      numbers.forEach(i => {
        requests.handleReply(sent[i]!, `reply ${i}`);
        requests.handleReply(sent[i]!, 'repeated');
      });
      const settled = await Promise.all(outcomes);
      t.deepEqual(
        settled,
        settled.map((unused, i) => ({kind: 'reply', reply: `reply ${i}`})),
      );
      t.is(requests.size, 0);
    }),
  );
});

test('a reply after the timeout settles no other request', async t => {
  const requests = new PendingRequests<string>();
  const cancelled: number[] = [];
  const late = await requests.send(
    () => true,
    n => cancelled.push(n),
    1,
    NEVER_ABORTED,
  );
  t.is(late.kind, 'lost');
  const next = requests.send(() => true, noop, LONG_TIMEOUT_MS, NEVER_ABORTED);
  requests.handleReply(cancelled[0]!, 'late');
  t.is(requests.size, 1);
  requests.failAll({kind: 'disposed'});
  t.is((await next).kind, 'lost');
});

test('a request that the link refuses or that is aborted beforehand is not sent', async t => {
  const requests = new PendingRequests<string>();
  const refused = await requests.send(
    () => false,
    noop,
    LONG_TIMEOUT_MS,
    NEVER_ABORTED,
  );
  t.is(refused.kind, 'not_sent');
  const aborted = AbortSignal.abort();
  const notSent = await requests.send(
    () => true,
    noop,
    LONG_TIMEOUT_MS,
    aborted,
  );
  t.is(notSent.kind, 'not_sent');
  t.is(requests.size, 0);
});
