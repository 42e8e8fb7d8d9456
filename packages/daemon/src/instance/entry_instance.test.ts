/** Tests of where a call is run, and of what its caller may be told. */
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
  fixture,
  keyOf,
  requestOf,
  SERVICE_MS,
} from './entry_instance.test_support.js';

const NEVER = new AbortController().signal;
const HERE = keyOf('entry-1', 'a');
const THERE = keyOf('entry-2', 'a');
const RAN: CallResult = {
  kind: 'answered',
  answer: {status: 200, headers: [], body: new Uint8Array()},
  replayed: false,
};
const NOT_SENT: ForwardOutcome = {kind: 'not_sent', detail: 'closed'};
const LOST: ForwardOutcome = {kind: 'lost', detail: 'reset'};
const resultOf = (result: CallResult): ForwardOutcome => ({
  kind: 'result',
  result,
});
const refusedBy = (reason: RefusalReason) => resultOf(refusedNotRun(reason));

test('copies of a keyed call run once, also after it ended', async t => {
  const {instance, backend, time, ask} = fixture();
  const both = [1, 2].map(() => instance.handle(requestOf(HERE), NEVER));
  await time.advance(SERVICE_MS);
  (await Promise.all(both)).forEach(r => t.is(r.kind, 'answered'));
  t.like(await ask(requestOf(HERE)), {kind: 'answered', replayed: true});
  t.is(backend.sent.length, 1);
});

test('a call told "not run" does not run when a copy comes later', async t => {
  const {fleet, backend, ask} = fixture();
  fleet.serving = false;
  const told = {outcome: 'not-run', reason: RefusalReason.NotInForce};
  t.like(await ask(requestOf(HERE)), told);
  fleet.serving = true;
  t.like(await ask(requestOf(HERE)), told);
  t.is(backend.sent.length, 0);
});

test('a key that lives elsewhere goes to its home; without it nothing is known', async t => {
  const ends: readonly [ForwardOutcome, CallResult][] = [
    [resultOf(RAN), RAN],
    [
      refusedBy(RefusalReason.QueueFull),
      refusedNotRun(RefusalReason.QueueFull),
    ],
    [NOT_SENT, refusedOutcomeUnknown(RefusalReason.KeyHomeLost)],
    [LOST, refusedOutcomeUnknown(RefusalReason.ConnectionLost)],
  ];
  for (const [end, told] of ends) {
    const home = new FakePeerLink('entry-2', () => end);
    const {backend, ask} = fixture({links: [home]});
    t.like(await ask(requestOf(THERE)), told as object);
    t.deepEqual(
      home.forwarded.map(f => f.role),
      ['home'],
    );
    t.is(backend.sent.length, 0);
  }
  const {backend, ask} = fixture();
  const gone = await ask(requestOf(THERE));
  t.like(gone, refusedOutcomeUnknown(RefusalReason.KeyHomeLost));
  t.is(backend.sent.length, 0);
});

test('a call passed to a home that has restarted is not run', async t => {
  const {instance, backend} = fixture();
  const old = callAt(0, 1, {idempotent: false, key: THERE});
  const result = await instance.handleForwarded(old, 'home', NEVER);
  t.like(result, refusedOutcomeUnknown(RefusalReason.KeyHomeLost));
  t.is(backend.sent.length, 0);
});

test('owners are asked in turn until one takes the call', async t => {
  const first = new FakePeerLink('entry-2', () => NOT_SENT);
  const second = new FakePeerLink('entry-3', () =>
    refusedBy(RefusalReason.NotInForce),
  );
  const third = new FakePeerLink('entry-4', () => resultOf(RAN));
  const {ask} = fixture({owns: false, links: [first, second, third]});
  t.is((await ask(requestOf(HERE))).kind, 'answered');
});

test('a keyed call whose owner is lost goes to no other, and stays unknown', async t => {
  const lost = new FakePeerLink('entry-2', () => LOST);
  const other = new FakePeerLink('entry-3', () => resultOf(RAN));
  const {ask} = fixture({owns: false, links: [lost, other]});
  const told = refusedOutcomeUnknown(RefusalReason.ConnectionLost);
  t.like(await ask(requestOf(HERE)), told);
  t.like(await ask(requestOf(HERE)), told);
  t.is(other.forwarded.length, 0);
});

test('a call that one owner may have run is never told "not run" for another', async t => {
  const ends = [
    refusedBy(RefusalReason.NotInForce),
    refusedBy(RefusalReason.QueueFull),
    NOT_SENT,
  ];
  for (const end of ends) {
    const lost = new FakePeerLink('entry-2', () => LOST);
    const other = new FakePeerLink('entry-3', () => end);
    const {ask} = fixture({owns: false, links: [lost, other]});
    const told = await ask(requestOf(undefined));
    t.like(told, {kind: 'refused', outcome: 'unknown'});
  }
});

test('a call that waits when its servers move goes to the new owner', async t => {
  const owner = new FakePeerLink('entry-2', () => resultOf(RAN));
  const behave = () => ({delayMs: 500, attempt: answered()});
  const {instance, fleet, backend, time} = fixture({behave, links: [owner]});
  const running = instance.handle(requestOf(HERE), NEVER);
  await time.advance(1);
  const waits = instance.handle(requestOf(keyOf('entry-1', 'b')), NEVER);
  await time.advance(1);
  fleet.move(false);
  await time.advance(1_500);
  t.is((await running).kind, 'answered');
  t.is((await waits).kind, 'answered');
  t.is(backend.sent.length, 1);
  t.is(owner.forwarded.length, 1);
});

test('a call that waits when the lease is lost is not sent', async t => {
  const behave = () => ({delayMs: 500, attempt: answered()});
  const {instance, fleet, backend, time} = fixture({behave});
  const running = instance.handle(requestOf(HERE), NEVER);
  await time.advance(1);
  const waits = instance.handle(requestOf(keyOf('entry-1', 'b')), NEVER);
  await time.advance(1);
  fleet.serving = false;
  await time.advance(1_500);
  t.is((await running).kind, 'answered');
  t.like(await waits, {outcome: 'not-run'});
  t.is(backend.sent.length, 1);
});

test('a request refused unread is "not run" only at its home, and stays so', async t => {
  const {instance, backend, ask} = fixture();
  const tooLarge = refusedNotRun(RefusalReason.BodyTooLarge);
  const refuse = (key: string, more = {}) =>
    instance.refuse(requestOf(key, more), tooLarge);
  t.is(await refuse(HERE), tooLarge);
  t.like(await ask(requestOf(HERE)), {outcome: 'not-run'});
  t.like(await refuse(THERE), {outcome: 'unknown'});
  const ran = keyOf('entry-1', 'ran');
  await ask(requestOf(ran));
  t.like(await refuse(ran), {outcome: 'unknown'});
  t.is(backend.sent.length, 1);
});

test('services that are not configured take no room in the ledger', async t => {
  const {instance} = fixture();
  const told = await instance.refuse(
    requestOf(HERE, {serviceId: 'made-up/name'}),
    refusedNotRun(RefusalReason.UnknownService),
  );
  t.like(told, {outcome: 'unknown', reason: RefusalReason.UnknownService});
});

test('a stop waits for calls whose callers have left', async t => {
  const {instance, time, backend} = fixture();
  const caller = new AbortController();
  const call = instance.handle(requestOf(HERE), caller.signal);
  await time.advance(1);
  let isDrained = false;
  const drained = instance.drained().then(() => (isDrained = true));
  caller.abort();
  await time.advance(1);
  t.false(isDrained);
  await time.advance(SERVICE_MS);
  await drained;
  t.is((await call).kind, 'answered');
  t.is(backend.sent.length, 1);
});
