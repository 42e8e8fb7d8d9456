/** Runs the client against an operators' server over the loopback interface. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test from 'ava';
import type {
  ChangeOutcome,
  ChangeRequest,
  ConfigurationService,
  FleetStatus,
  InstanceStatus,
} from '@ragworthall/balancer';
import {
  EMPTY_CONFIGURATION,
  withChange,
  type ChangeRecord,
  type Configuration,
} from '@ragworthall/contracts';
import {
  HashedOperatorTokens,
  OperatorServer,
  hashOperatorToken,
} from '@ragworthall/daemon/dist/operator/index.js';
import {ExitCode} from './exit_code.js';
import {run} from './run.js';

const TOKEN = 'test-token-of-ubuntu-steps';

/** Returns the scripted outcomes, then accepts changes on the current base. */
class FakeConfiguration implements ConfigurationService {
  readonly requests: ChangeRequest[] = [];
  private readonly records: ChangeRecord[] = [];
  private readonly listeners = new Set<(cfg: Configuration) => void>();
  private cfg = EMPTY_CONFIGURATION;

  constructor(private readonly script: ChangeOutcome['kind'][] = []) {}

  current(): Configuration {
    return this.cfg;
  }

  history(): readonly ChangeRecord[] {
    return this.records;
  }

  onChanged(listener: (cfg: Configuration) => void): Disposable {
    this.listeners.add(listener);
    return {[Symbol.dispose]: () => this.listeners.delete(listener)};
  }

  async submit(req: ChangeRequest): Promise<ChangeOutcome> {
    this.requests.push(req);
    const {operationId} = req;
    switch (this.script.shift()) {
      case 'unresolved':
        this.write(req);
        return {kind: 'unresolved', operationId};
      case 'pending':
        return {kind: 'pending', revision: this.write(req)};
      case 'store_unavailable':
        return {kind: 'store_unavailable', retryAfterMs: 500};
      default:
        return this.decide(req);
    }
  }

  private decide(req: ChangeRequest): ChangeOutcome {
    const written = this.records.some(r => r.operationId === req.operationId);
    if (written || req.baseRevision === this.cfg.revision) {
      return {kind: 'accepted', revision: this.write(req)};
    }
    return {kind: 'conflict', revision: this.cfg.revision, by: 'altamar'};
  }

  /** Writes a change; a repeated operation id is not written again. */
  private write(req: ChangeRequest): number {
    const {operationId, by, changes} = req;
    const known = this.records.find(r => r.operationId === operationId);
    if (known !== undefined) return known.revision;
    const revision = this.cfg.revision + 1;
    const record = {revision, operationId, by, changes};
    this.records.push(record);
    this.cfg = withChange(this.cfg, record);
    this.listeners.forEach(listener => listener(this.cfg));
    return revision;
  }
}

/** Two instances; the second is one revision behind for the next reads. */
class FakeFleet implements FleetStatus {
  staleReadsLeft = 0;

  constructor(private readonly cfg: ConfigurationService) {}

  instances(): readonly InstanceStatus[] {
    const {revision} = this.cfg.current();
    const isBehind = this.staleReadsLeft > 0;
    if (isBehind) this.staleReadsLeft -= 1;
    return [
      instance('a', revision),
      instance('b', isBehind ? revision - 1 : revision),
    ];
  }

  quarantines() {
    return [
      {
        kind: 'request_content',
        serviceId: 'ubuntu-steps/listings',
        fingerprint: 'f00d',
        crashes: 3,
        endsInMs: 1500.4,
      } as const,
    ];
  }

  refusals() {
    const serviceId = 'ubuntu-steps/listings' as const;
    return [{serviceId, reason: 'deadline_passed', count: 7}];
  }
}

function instance(id: string, revision: number): InstanceStatus {
  const failureDomain = `domain-${id}`;
  const state = 'serving';
  return {id, incarnation: 'i', failureDomain, revision, ageMs: 0.7, state};
}

/** A running server, a temporary directory, and a method to run the client. */
class ClientTestEnvironment implements AsyncDisposable {
  private readonly dir = mkdtempSync(join(tmpdir(), 'ragworthall-'));

  private constructor(
    readonly configuration: FakeConfiguration,
    readonly fleet: FakeFleet,
    readonly events: readonly string[],
    private readonly server: OperatorServer,
  ) {}

  static async start(
    script: ChangeOutcome['kind'][] = [],
  ): Promise<ClientTestEnvironment> {
    const configuration = new FakeConfiguration(script);
    const events: string[] = [];
    const fleet = new FakeFleet(configuration);
    const server = await OperatorServer.start({
      host: '127.0.0.1',
      port: 0,
      configuration,
      fleet,
      tokens: new HashedOperatorTokens(
        new Map([['ubuntu-steps', hashOperatorToken(TOKEN)]]),
      ),
      clock: {now: () => performance.now()},
      audit: {record: event => events.push(event.kind)},
      fencedAfterMs: 5000,
    });
    return new ClientTestEnvironment(configuration, fleet, events, server);
  }

  file(text: string): string {
    const path = join(this.dir, 'services.jsonc');
    writeFileSync(path, text);
    return path;
  }

  async client(argv: string[], token = TOKEN) {
    const texts = {out: '', err: ''};
    const code = await run(
      argv,
      {RAGWORTHALL_SERVER: this.server.url, RAGWORTHALL_TOKEN: token},
      {
        out: text => (texts.out += `${text}\n`),
        err: text => (texts.err += `${text}\n`),
      },
      new AbortController().signal,
    );
    return {code, ...texts};
  }

  async [Symbol.asyncDispose](): Promise<void> {
    rmSync(this.dir, {recursive: true});
    await this.server[Symbol.asyncDispose]();
  }
}

function listings(member = 'ubuntu-steps'): string {
  return `{
    // The timetable.
    "services": [{
      "member": "${member}",
      "name": "listings",
      "backendServers": [
        {"id": "l1", "address": "10.0.0.1:80", "failureDomain": "a", "slots": 3},
        {"id": "l2", "address": "10.0.0.2:80", "failureDomain": "b", "slots": 3},
      ],
      "contracts": [{
        "name": "show", "method": "GET", "path": "/shows/:id", "rank": 2,
        "idempotent": true, "deadlineMs": 500, "targetMs": 50,
      }],
    }],
  }`;
}

test('applies a file, then finds nothing to change', async t => {
  await using env = await ClientTestEnvironment.start();
  const file = env.file(listings());
  const plan = await env.client(['apply', '-f', file, '--dry-run']);
  t.is(plan.code, ExitCode.Done, plan.err);
  t.regex(
    plan.out,
    /\+ ubuntu-steps\/listings[^]*\+ contracts\[show\]\.targetMs: 50/,
  );
  t.is(env.configuration.requests.length, 0);
  const first = await env.client(['apply', '-f', file, '-o', 'json']);
  t.deepEqual(JSON.parse(first.out), {outcome: 'accepted', revision: 1});
  const again = await env.client(['apply', '-f', file]);
  t.regex(again.out, /nothing to change in revision 1/);
  const list = await env.client(['list']);
  t.regex(list.out, /ubuntu-steps\/listings +2 +0 +1 +1/);
  const status = await env.client(['status']);
  t.regex(status.out, /deadline_passed +7/);
});

(['pending', 'unresolved'] as const).forEach(outcome => {
  test(`repeats the call with the same operation id after ${outcome}`, async t => {
    await using env = await ClientTestEnvironment.start([outcome, outcome]);
    const res = await env.client(['apply', '-f', env.file(listings())]);
    t.is(res.code, ExitCode.Done, res.err);
    const ids = env.configuration.requests.map(req => req.operationId);
    t.is(ids.length, 3);
    t.is(new Set(ids).size, 1);
    t.is(env.configuration.current().revision, 1);
  });
});

test('reports a conflict with the revision that was accepted first', async t => {
  await using env = await ClientTestEnvironment.start();
  const file = env.file(listings());
  await env.client(['apply', '-f', file]);
  const res = await env.client(['apply', '-f', file, '--base-revision', '0']);
  t.is(res.code, ExitCode.Conflict);
  t.regex(res.err, /altamar made revision 1 first/);
});

test("reports refusals of an unknown token and of changes to other members' services", async t => {
  await using env = await ClientTestEnvironment.start();
  const file = env.file(listings('altamar'));
  const otherMember = await env.client(['apply', '-f', file]);
  t.is(otherMember.code, ExitCode.Failed);
  t.regex(otherMember.err, /ubuntu-steps cannot change altamar\/listings/);
  const unknownToken = await env.client(['list'], 'guess');
  t.is(unknownToken.code, ExitCode.Failed);
  t.regex(unknownToken.err, /token belongs to no member/);
  t.is(env.configuration.requests.length, 0);
  t.deepEqual(env.events, ['call_refused', 'call_refused']);
});

test('drains, waits for the rollout, removes and shows the history', async t => {
  await using env = await ClientTestEnvironment.start();
  await env.client(['apply', '-f', env.file(listings())]);
  const drain = ['drain', 'ubuntu-steps/listings', 'l2'];
  t.is((await env.client(drain)).code, ExitCode.Done);
  const get = await env.client(['get', 'ubuntu-steps/listings']);
  t.regex(get.out, /l2 .*true/);
  env.fleet.staleReadsLeft = 2;
  const rollout = await env.client(['rollout', '--revision', '2']);
  t.is(rollout.code, ExitCode.Done, rollout.err);
  t.regex(rollout.err, /1 of 2 instances; waiting for b \(revision 1, serving/);
  const timedOut = await env.client([
    'rollout',
    '--revision',
    '9',
    '--timeout',
    '1',
  ]);
  t.is(timedOut.code, ExitCode.Pending);
  const missing = await env.client(['drain', 'ubuntu-steps/listings', 'l9']);
  t.regex(missing.err, /no backend server l9/);
  const remove = await env.client(['remove', 'ubuntu-steps/listings']);
  t.is(remove.code, ExitCode.Done, remove.err);
  const history = await env.client(['history']);
  t.regex(history.out, /3 +ubuntu-steps .*remove ubuntu-steps\/listings/);
});

test('reports all errors of a file with their line numbers', async t => {
  await using env = await ClientTestEnvironment.start();
  const text = listings()
    .replace('10.0.0.2:80', '10.0.0.1:80')
    .replace('"rank": 2', '"rank": 7');
  const file = env.file(text);
  const res = await env.client(['apply', '-f', file]);
  t.is(res.code, ExitCode.Usage);
  t.regex(res.err, /jsonc:8:.*backendServers\[1\]\.address.*of its own/);
  t.regex(
    res.err,
    /jsonc:11:.*contracts\[0\]\.rank: expected one of 1, 2, 3, found 7/,
  );
  t.is(env.configuration.requests.length, 0);
});
