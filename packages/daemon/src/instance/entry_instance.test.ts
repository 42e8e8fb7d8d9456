/** Tests of which instance runs a call, and of the outcome returned to its caller. */
import {
  type CallResult,
  type ForwardOutcome,
  refusedNotRun,
  RefusalReason,
  refusedOutcomeUnknown,
} from '@ragworthall/balancer';
import {callAt} from '@ragworthall/balancer/dist/testing/calls.js';
import {answered} from '@ragworthall/balancer/dist/testing/fake_backend.js';
import test from 'ava';
import {
  FakePeerLink,
  createFixture,
  keyIssuedBy,
  requestWithKey,
  SERVICE_TIME_MS,
} from './entry_instance.test_support.js';

const NEVER_ABORTED = new AbortController().signal;
const LOCAL_KEY = keyIssuedBy('entry-1', 'a');
const REMOTE_KEY = keyIssuedBy('entry-2', 'a');
const ANSWERED: CallResult = {
  kind: 'answered',
  answer: {status: 200, headers: [], body: new Uint8Array()},
  replayed: false,
};
const FORWARD_NOT_SENT: ForwardOutcome = {kind: 'not_sent', detail: 'closed'};
const FORWARD_LOST: ForwardOutcome = {kind: 'lost', detail: 'reset'};
const forwardedResult = (result: CallResult): ForwardOutcome => ({
  kind: 'result',
  result,
});
const forwardedRefusal = (reason: RefusalReason) =>
  forwardedResult(refusedNotRun(reason));

test('copies of a keyed call run once, also after the call has ended', async t => {
  const {instance, backend, time, ask} = createFixture();
  const both = [1, 2].map(() =>
    instance.handle(requestWithKey(LOCAL_KEY), NEVER_ABORTED),
  );
  await time.advance(SERVICE_TIME_MS);
  (await Promise.all(both)).forEach(r => t.is(r.kind, 'answered'));
  t.like(await ask(requestWithKey(LOCAL_KEY)), {
    kind: 'answered',
    replayed: true,
  });
  t.is(backend.sent.length, 1);
});

test('a call refused as "not run" does not run when a copy arrives later', async t => {
  const {fleet, backend, ask} = createFixture();
  fleet.serving = false;
  const expected = {outcome: 'not-run', reason: RefusalReason.NotInForce};
  t.like(await ask(requestWithKey(LOCAL_KEY)), expected);
  fleet.serving = true;
  t.like(await ask(requestWithKey(LOCAL_KEY)), expected);
  t.is(backend.sent.length, 0);
});

test('a call with a key of another instance goes to its home; if that is lost, the outcome is unknown', async t => {
  const outcomes: readonly [ForwardOutcome, CallResult][] = [
    [forwardedResult(ANSWERED), ANSWERED],
    [
      forwardedRefusal(RefusalReason.QueueFull),
      refusedNotRun(RefusalReason.QueueFull),
    ],
    [FORWARD_NOT_SENT, refusedOutcomeUnknown(RefusalReason.KeyHomeLost)],
    [FORWARD_LOST, refusedOutcomeUnknown(RefusalReason.ConnectionLost)],
  ];
  for (const [outcome, expected] of outcomes) {
    const home = new FakePeerLink('entry-2', () => outcome);
    const {backend, ask} = createFixture({links: [home]});
    t.like(await ask(requestWithKey(REMOTE_KEY)), expected as object);
    t.deepEqual(
      home.forwarded.map(f => f.role),
      ['home'],
    );
    t.is(backend.sent.length, 0);
  }
  const {backend, ask} = createFixture();
  const gone = await ask(requestWithKey(REMOTE_KEY));
  t.like(gone, refusedOutcomeUnknown(RefusalReason.KeyHomeLost));
  t.is(backend.sent.length, 0);
});

test('a call forwarded to a home that has restarted is not run', async t => {
  const {instance, backend} = createFixture();
  const old = callAt(0, 1, {idempotent: false, key: REMOTE_KEY});
  const result = await instance.handleForwarded(old, 'home', NEVER_ABORTED);
  t.like(result, refusedOutcomeUnknown(RefusalReason.KeyHomeLost));
  t.is(backend.sent.length, 0);
});

test('owners are asked in turn until one accepts the call', async t => {
  const first = new FakePeerLink('entry-2', () => FORWARD_NOT_SENT);
  const second = new FakePeerLink('entry-3', () =>
    forwardedRefusal(RefusalReason.NotInForce),
  );
  const third = new FakePeerLink('entry-4', () => forwardedResult(ANSWERED));
  const {ask} = createFixture({owns: false, links: [first, second, third]});
  t.is((await ask(requestWithKey(LOCAL_KEY))).kind, 'answered');
});

test('a keyed call whose owner is lost goes to no other owner, and its outcome stays unknown', async t => {
  const lost = new FakePeerLink('entry-2', () => FORWARD_LOST);
  const other = new FakePeerLink('entry-3', () => forwardedResult(ANSWERED));
  const {ask} = createFixture({owns: false, links: [lost, other]});
  const expected = refusedOutcomeUnknown(RefusalReason.ConnectionLost);
  t.like(await ask(requestWithKey(LOCAL_KEY)), expected);
  t.like(await ask(requestWithKey(LOCAL_KEY)), expected);
  t.is(other.forwarded.length, 0);
});

test('a call that one owner may have run is not refused as "not run" by another', async t => {
  const outcomes = [
    forwardedRefusal(RefusalReason.NotInForce),
    forwardedRefusal(RefusalReason.QueueFull),
    FORWARD_NOT_SENT,
  ];
  for (const outcome of outcomes) {
    const lost = new FakePeerLink('entry-2', () => FORWARD_LOST);
    const other = new FakePeerLink('entry-3', () => outcome);
    const {ask} = createFixture({owns: false, links: [lost, other]});
    const result = await ask(requestWithKey(undefined));
    t.like(result, {kind: 'refused', outcome: 'unknown'});
  }
});

test('a waiting call goes to the new owner when its servers move', async t => {
  const owner = new FakePeerLink('entry-2', () => forwardedResult(ANSWERED));
  const behave = () => ({delayMs: 500, attempt: answered()});
  const {instance, fleet, backend, time} = createFixture({
    behave,
    links: [owner],
  });
  const running = instance.handle(requestWithKey(LOCAL_KEY), NEVER_ABORTED);
  await time.advance(1);
  const waiting = instance.handle(
    requestWithKey(keyIssuedBy('entry-1', 'b')),
    NEVER_ABORTED,
  );
  await time.advance(1);
  fleet.setOwnership(false);
  await time.advance(1_500);
  t.is((await running).kind, 'answered');
  t.is((await waiting).kind, 'answered');
  t.is(backend.sent.length, 1);
  t.is(owner.forwarded.length, 1);
});

test('a waiting call is not sent after the lease is lost', async t => {
  const behave = () => ({delayMs: 500, attempt: answered()});
  const {instance, fleet, backend, time} = createFixture({behave});
  const running = instance.handle(requestWithKey(LOCAL_KEY), NEVER_ABORTED);
  await time.advance(1);
  const waiting = instance.handle(
    requestWithKey(keyIssuedBy('entry-1', 'b')),
    NEVER_ABORTED,
  );
  await time.advance(1);
  fleet.serving = false;
  await time.advance(1_500);
  t.is((await running).kind, 'answered');
  t.like(await waiting, {outcome: 'not-run'});
  t.is(backend.sent.length, 1);
});

test('a request refused before its body is read is "not run" only at its home, and stays so', async t => {
  const {instance, backend, ask} = createFixture();
  const tooLarge = refusedNotRun(RefusalReason.BodyTooLarge);
  const refuse = (key: string, overrides = {}) =>
    instance.refuse(requestWithKey(key, overrides), tooLarge);
  t.is(await refuse(LOCAL_KEY), tooLarge);
  t.like(await ask(requestWithKey(LOCAL_KEY)), {outcome: 'not-run'});
  t.like(await refuse(REMOTE_KEY), {outcome: 'unknown'});
  const ran = keyIssuedBy('entry-1', 'ran');
  await ask(requestWithKey(ran));
  t.like(await refuse(ran), {outcome: 'unknown'});
  t.is(backend.sent.length, 1);
});

test('services that are not configured take no space in the ledger', async t => {
  const {instance} = createFixture();
  const result = await instance.refuse(
    requestWithKey(LOCAL_KEY, {serviceId: 'made-up/name'}),
    refusedNotRun(RefusalReason.UnknownService),
  );
  t.like(result, {outcome: 'unknown', reason: RefusalReason.UnknownService});
});

test('a stop waits for calls whose callers have disconnected', async t => {
  const {instance, time, backend} = createFixture();
  const caller = new AbortController();
  const call = instance.handle(requestWithKey(LOCAL_KEY), caller.signal);
  await time.advance(1);
  let isDrained = false;
  const drained = instance.drained().then(() => (isDrained = true));
  caller.abort();
  await time.advance(1);
  t.false(isDrained);
  await time.advance(SERVICE_TIME_MS);
  await drained;
  t.is((await call).kind, 'answered');
  t.is(backend.sent.length, 1);
});
