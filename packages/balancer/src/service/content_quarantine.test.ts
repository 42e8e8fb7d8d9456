/** Tests of the quarantine of contents that crash backend servers. */
import test from 'ava';
import fc from 'fast-check';
import {type Attempt, type Call, RefusalReason} from '../link/call.js';
import {SeededRandom} from '../link/random.js';
import {
  callAt,
  neverAborted,
  callRunnerWithTime,
  serviceConfig,
  serviceWithTime,
} from '../testing/calls.js';
import {answered, FakeBackend} from '../testing/fake_backend.js';
import {FakeTime} from '../testing/fake_time.js';
import {ContentQuarantine, FIRST_QUARANTINE_MS} from './content_quarantine.js';

const POISON = 'poison';

/**
 * Servers that crash one millisecond after they receive a poison request. All
 * requests running on the server are lost at that moment.
 */
class CrashingServers {
  readonly crashes: number[] = [];
  private readonly crashedAt = new Map<string, number>();
  readonly backend: FakeBackend;

  constructor(private readonly time: FakeTime) {
    this.backend = new FakeBackend(time, () => ({
      delayMs: 0,
      attempt: answered(),
    }));
    this.backend.send = (address, call) => this.run(address, call);
  }

  private async run(address: string, call: Call): Promise<Attempt> {
    const start = this.time.now();
    this.backend.sent.push({address, call, at: start});
    if (call.fingerprint === POISON) {
      await this.sleep(1);
      this.crashes.push(this.time.now());
      this.crashedAt.set(address, this.time.now());
      return {kind: 'lost', detail: 'reset'};
    }
    for (let i = 0; i < 5; i++) {
      await this.sleep(1);
      const crash = this.crashedAt.get(address) ?? -Infinity;
      if (crash >= start) return {kind: 'lost', detail: 'reset'};
    }
    return answered();
  }

  private sleep(ms: number): Promise<void> {
    return new Promise(resolve => this.time.set(ms, resolve));
  }
}

function fixture() {
  const time = new FakeTime();
  const service = serviceWithTime(time, serviceConfig(6, 3));
  const servers = new CrashingServers(time);
  const runner = callRunnerWithTime(time, servers.backend);
  const run = (fingerprint: string, idempotent = true) =>
    runner.run(
      service,
      callAt(time.now(), 2, {fingerprint, idempotent}),
      neverAborted(),
    );
  return {time, service, servers, run};
}

test('content that crashes servers is refused after three crashes in total', async t => {
  const {time, servers, run} = fixture();
  const first = run(POISON);
  await time.advance(3_000);
  await first;
  const again = run(POISON, false);
  await time.advance(3_000);
  t.like(await again, {
    outcome: 'not-run',
    reason: RefusalReason.ContentQuarantined,
  });
  t.is(servers.crashes.length, 3);
});

test('a quarantine ends after a time, which doubles', async t => {
  const {time, servers, run} = fixture();
  void run(POISON);
  await time.advance(3_000);
  await time.advance(FIRST_QUARANTINE_MS);
  void run(POISON);
  await time.advance(3_000);
  t.is(servers.crashes.length, 4, 'one trial after the release');
  await time.advance(FIRST_QUARANTINE_MS);
  t.like(await run(POISON), {reason: RefusalReason.ContentQuarantined});
  t.is(servers.crashes.length, 4);
});

test('harmless contents that run at the same time are not quarantined', async t => {
  await fc.assert(
    fc.asyncProperty(fc.integer(), async seed => {
      const random = new SeededRandom(seed);
      const {time, service, servers, run} = fixture();
      const refused: unknown[] = [];
      for (let i = 0; i < 250; i++) {
        // Few different contents, so that harmless ones recur.
        const harmless = `harmless-${random.nextInt(12)}`;
        void run(harmless).then(result => {
          const {reason} = result as {reason?: string};
          if (reason === RefusalReason.ContentQuarantined) refused.push(reason);
        });
        if (random.nextInt(20) === 0) void run(POISON, random.nextInt(2) === 0);
        await time.advance(random.nextInt(3));
      }
      await time.advance(2_000);
      const counts = service.quarantine
        .crashCounts(time.now())
        .filter(count => count.quarantinedForMs > 0);
      return (
        refused.length === 0 &&
        servers.crashes.length <= 3 &&
        counts.every(count => count.fingerprint === POISON)
      );
    }),
    {seed: 4, numRuns: 15},
  );
  t.pass();
});

test('crashes are counted across instances and cleared by a success', t => {
  const time = new FakeTime();
  const [a, b] = [new ContentQuarantine(time), new ContentQuarantine(time)];
  using owned = a.onReport(report => b.applyReport(report, 0));
  a.recordCrash(POISON, 's1', 0, 5);
  a.recordCrash(POISON, 's1', 5, 10);
  a.recordCrash(POISON, 's2', 15, 20);
  b.recordCrash(POISON, 's3', 25, 30);
  t.is(b.statusOf(POISON, 30).kind, 'quarantined');
  t.is(a.statusOf(POISON, 30).kind, 'suspect');
  a.mergeCrashCounts(b.crashCounts(30), 30);
  t.is(a.statusOf(POISON, 30).kind, 'quarantined');
  a.recordCrash('other', 's1', 35, 40);
  a.recordSuccess('other');
  t.is(b.statusOf('other', 40).kind, 'clear');
});

test('a silent connection does not count as a crash', async t => {
  const time = new FakeTime();
  const service = serviceWithTime(time, serviceConfig(2, 1));
  const backend = new FakeBackend(time, () => ({
    delayMs: 1,
    attempt: {kind: 'lost', detail: 'silent', silent: true},
  }));
  void callRunnerWithTime(time, backend).run(
    service,
    callAt(0),
    neverAborted(),
  );
  await time.advance(100);
  t.is(service.quarantine.size, 0);
  t.true(service.backendServers.every(server => !server.isEjected(100)));
});
