/** Tests of retries, hedges and the results returned to callers. */
import test from 'ava';
import fc from 'fast-check';
import {type Attempt, type Call, RefusalReason} from '../link/call.js';
import {
  callAt,
  neverAborted,
  callRunnerWithTime,
  serviceConfig,
  serviceWithTime,
} from '../testing/calls.js';
import {
  answered,
  type Behaviour,
  FakeBackend,
} from '../testing/fake_backend.js';
import {FakeTime} from '../testing/fake_time.js';
import type {Service} from './service.js';
import {ShareBudget} from './share_budget.js';

type Behave = (address: string, call: Call, nth: number) => Behaviour;

/** A service of three servers with two slots, and a runner for it. */
function fixture(
  behave: Behave,
  overrides: Parameters<typeof serviceConfig>[2] = {},
) {
  const time = new FakeTime();
  const service = serviceWithTime(time, serviceConfig(3, 2, overrides));
  let sent = 0;
  const backend = new FakeBackend(time, (address, call) =>
    behave(address, call, sent++),
  );
  const runner = callRunnerWithTime(time, backend);
  const run = async (call: Call, signal = neverAborted()) => {
    const running = runner.run(service, call, signal);
    await time.advance(call.deadline + 1);
    return running;
  };
  return {time, service, backend, run};
}

/** Records enough latencies of 10 ms for estimates and hedging. */
function recordLatencies(service: Service): void {
  const server = service.backendServers[0]!;
  Array.from({length: 60}).forEach(() =>
    service.recordAnswer(server, callAt(0), 10, 0),
  );
}

const LOST: Attempt = {kind: 'lost', detail: 'reset'};
const SHED: Attempt = {kind: 'shed', load: {inFlight: 2}};
const after = (delayMs: number, attempt: Attempt): Behaviour => ({
  delayMs,
  attempt,
});

test('an idempotent call is retried on other servers only', async t => {
  const {backend, run} = fixture((unused, call, nth) =>
    after(10, nth === 0 ? LOST : nth === 1 ? answered(500) : answered()),
  );
  const result = await run(callAt(0));
  t.like(result, {kind: 'answered', answer: {status: 200}});
  t.is(new Set(backend.sent.map(s => s.address)).size, 3);
});

test('a call that is not idempotent is sent once, whatever its result', async t => {
  const endings: Attempt[] = [
    LOST,
    answered(500),
    {kind: 'too_large'},
    {kind: 'lost', detail: 'silent', silent: true},
  ];
  for (const ending of endings) {
    const {backend, run} = fixture(() => after(10, ending));
    const result = await run(callAt(0, 1, {idempotent: false}));
    t.is(backend.sent.length, 1);
    if (ending.kind === 'answered') t.like(result, {answer: {status: 500}});
    else t.like(result, {kind: 'refused', outcome: 'unknown'});
  }
});

test('a call that no server executed is placed again, with a limit', async t => {
  const {backend, run} = fixture((unused, call, nth) =>
    after(1, nth < 3 ? SHED : answered()),
  );
  t.like(await run(callAt(0, 1, {idempotent: false})), {kind: 'answered'});
  t.is(backend.sent.length, 4);
  const always = fixture(() => after(1, SHED));
  const result = await always.run(callAt(0, 1, {retriesLeft: 0}));
  t.like(result, {kind: 'refused', outcome: 'not-run'});
  t.true(always.backend.sent.length <= 8);
});

test('retries are limited by the upstream callers and by the budget', async t => {
  const none = fixture(() => after(1, answered(503)));
  t.like(await none.run(callAt(0, 1, {retriesLeft: 0})), {
    answer: {status: 503},
  });
  t.is(none.backend.sent.length, 1);
  const budgets = {retryShare: 0};
  const spent = fixture(() => after(1, answered(503)), {budgets});
  await spent.run(callAt(0, 1, {retriesLeft: 2}));
  t.is(spent.backend.sent.length, 1);
});

test('a call that could not be sent in time is reported as not run', async t => {
  const abandoned = 'deadline' as const;
  const {run, service} = fixture(() =>
    after(5, {kind: 'not_sent', detail: 'connecting', abandoned}),
  );
  const result = await run(callAt(0, 1, {idempotent: false}));
  t.like(result, {outcome: 'not-run', reason: RefusalReason.DeadlinePassed});
  t.true(service.backendServers.every(server => !server.isEjected(0)));
});

test('a late call is hedged, and the slower attempt is cancelled', async t => {
  const {time, service, backend} = fixture((unused, call, nth) =>
    after(nth === 0 ? 900 : 10, answered()),
  );
  recordLatencies(service);
  const runner = callRunnerWithTime(time, backend);
  const start = time.now();
  let tookMs = Infinity;
  const running = runner.run(service, callAt(start), neverAborted());
  void running.then(() => (tookMs = time.now() - start));
  await time.advance(100);
  t.true(tookMs <= 40, `${tookMs} ms`);
  t.is(backend.sent.length, 2);
  t.not(backend.sent[0]!.address, backend.sent[1]!.address);
  const slots = service.backendServers.map(server => server.inFlight);
  t.deepEqual(slots, [0, 0, 0], 'the slot of the cancelled attempt is free');
});

test('late calls that cannot be hedged keep their answers', async t => {
  const time = new FakeTime();
  const service = serviceWithTime(time, serviceConfig(2, 1));
  recordLatencies(service);
  const backend = new FakeBackend(time, () => after(50, answered()));
  const runner = callRunnerWithTime(time, backend);
  // Each call occupies one server, so that neither finds a free one.
  const calls = [callAt(0), callAt(0)];
  const running = calls.map(call => runner.run(service, call, neverAborted()));
  await time.advance(calls[0]!.deadline + 1);
  for (const result of await Promise.all(running)) {
    t.like(result, {kind: 'answered', answer: {status: 200}});
  }
});

test('a hedge that was not sent does not hide that the first may have run', async t => {
  const endings: Behaviour[] = [
    after(900, {kind: 'abandoned', cause: 'deadline'}),
    after(500, {kind: 'not_sent', detail: 'slow', abandoned: 'deadline'}),
  ];
  for (const order of [endings, endings.toReversed()]) {
    const {service, run} = fixture((unused, call, nth) => order[nth]!);
    recordLatencies(service);
    const result = await run(callAt(0, 1, {retriesLeft: 0}));
    t.like(result, {outcome: 'unknown', reason: RefusalReason.DeadlinePassed});
  }
});

test('a call that is not idempotent is never hedged', async t => {
  const {service, backend, run} = fixture(() => after(900, answered()));
  recordLatencies(service);
  await run(callAt(0, 1, {idempotent: false}));
  t.is(backend.sent.length, 1);
});

test('a caller that disconnects cancels its idempotent call', async t => {
  const {time, service, backend} = fixture(() => after(900, answered()));
  const caller = new AbortController();
  const running = callRunnerWithTime(time, backend).run(
    service,
    callAt(0),
    caller.signal,
  );
  await time.advance(5);
  caller.abort();
  t.like(await running, {reason: RefusalReason.CallerLeft, outcome: 'unknown'});
  t.true(service.backendServers.every(server => server.inFlight === 0));
});

test('a budget spends at most its share of the successes', t => {
  fc.assert(
    fc.property(
      fc.double({min: 0, max: 1, noNaN: true}),
      fc.array(fc.boolean(), {maxLength: 300}),
      (share, steps) => {
        const budget = new ShareBudget(share);
        let spent = 0;
        let successes = 0;
        return steps.every(isSuccess => {
          if (isSuccess) budget.recordSuccess();
          if (isSuccess) successes += 1;
          else if (budget.trySpend()) spent += 1;
          return spent <= 5 + share * successes + 1e-9;
        });
      },
    ),
    {seed: 4, numRuns: 200},
  );
  t.pass();
});

test('no call that is not idempotent is executed twice', async t => {
  const ending = fc.constantFrom<Attempt>(
    LOST,
    SHED,
    answered(),
    answered(500),
    {kind: 'not_sent', detail: 'refused'},
    {kind: 'too_large'},
  );
  await fc.assert(
    fc.asyncProperty(
      fc.array(ending, {minLength: 1, maxLength: 12}),
      fc.boolean(),
      async (endings, idempotent) => {
        const {backend, run} = fixture((unused, call, nth) =>
          after(3, endings[nth] ?? answered()),
        );
        const result = await run(callAt(0, 1, {idempotent}));
        const ran = backend.sent
          .map((unused, i) => endings[i]?.kind ?? 'answered')
          .filter(kind => kind !== 'shed' && kind !== 'not_sent').length;
        if (!idempotent && ran > 1) return false;
        const told = result.kind === 'refused' ? result.outcome : 'ran';
        return told !== 'not-run' || ran === 0;
      },
    ),
    {seed: 4, numRuns: 150},
  );
  t.pass();
});
