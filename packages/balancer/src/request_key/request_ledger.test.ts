/** Tests of the records that make each request key run at most once. */
import type {ServiceId} from '@ragworthall/contracts';
import test from 'ava';
import fc from 'fast-check';
import {
  type Answer,
  type CallResult,
  RefusalReason,
  type Refused,
} from '../link/call.js';
import {
  keyPrefix,
  KEY_LIFETIME_MS,
  parseRequestKey,
  type RequestKey,
} from './request_key.js';
import {
  type Admission,
  type LedgerRecord,
  refusedNotRun,
  RequestLedger,
  refusedOutcomeUnknown,
} from './request_ledger.js';

const LIMITS = {recordsPerMember: 3, answerBytes: 10, bytesPerMember: 25};
const STARTED_AT = 5_000;
const SERVICE: ServiceId = 'm/s';

function keyAt(issuedAt: number, unique = 'u'): [RequestKey, string] {
  const text = `${keyPrefix('entry-1', 'inc1', issuedAt)}.${unique}`;
  return [parseRequestKey(text)._unsafeUnwrap(), text];
}

function answered(bytes: number): CallResult {
  const answer: Answer = {
    status: 200,
    headers: [],
    body: new Uint8Array(bytes),
  };
  return {kind: 'answered', answer, replayed: false};
}

function recordOf(admission: Admission): LedgerRecord {
  if (admission.kind !== 'run') throw new Error(JSON.stringify(admission));
  return admission.record;
}

function createLedger(): {
  ledger: RequestLedger;
  admit: (
    unique: string,
    now?: number,
    serviceId?: ServiceId,
    content?: string,
  ) => Admission;
} {
  const ledger = new RequestLedger(LIMITS, STARTED_AT);
  const admit = (
    unique: string,
    now = STARTED_AT,
    serviceId: ServiceId = SERVICE,
    content = 'c',
  ) => ledger.admit(...keyAt(0, unique), serviceId, content, now);
  return {ledger, admit};
}

test('a key is parsed into the parts it was built from', t => {
  fc.assert(
    fc.property(
      fc.stringMatching(/^[a-z0-9][a-z0-9-]{0,62}$/),
      fc.stringMatching(/^[a-z0-9]{1,32}$/),
      fc.integer({min: 0, max: 1e12}),
      fc.stringMatching(/^[A-Za-z0-9_-]{1,128}$/),
      (instance, incarnation, issuedAt, unique) => {
        const text = `${keyPrefix(instance, incarnation, issuedAt)}.${unique}`;
        const key = parseRequestKey(text)._unsafeUnwrap();
        t.deepEqual(key, {instance, incarnation, issuedAt, unique});
      },
    ),
  );
});

test('any text is either malformed or a key with valid parts', t => {
  const text = fc.oneof(
    fc.string(),
    fc.stringMatching(/^[a-z0-9~.A-Z-]{0,40}$/),
  );
  fc.assert(
    fc.property(text, input => {
      const parsed = parseRequestKey(input);
      if (parsed.isErr()) return;
      const {instance, incarnation, issuedAt, unique} = parsed.value;
      t.true(Number.isSafeInteger(issuedAt));
      t.true(input.startsWith(`${instance}~${incarnation}~`));
      t.true(input.endsWith(`.${unique}`));
    }),
  );
  t.true(parseRequestKey('a~b~c').isErr());
});

test('a resend joins the run and later gets its stored result', async t => {
  const {ledger, admit} = createLedger();
  const record = recordOf(admit('a'));
  const joined = admit('a');
  t.is(joined.kind, 'join');
  ledger.settle(record, answered(4));
  for (const again of [joined, admit('a', STARTED_AT + 1_000)]) {
    if (again.kind !== 'join') return t.fail(again.kind);
    t.like(await again.result, {kind: 'answered', replayed: true});
  }
});

test('a key with other content is refused', t => {
  const {admit} = createLedger();
  recordOf(admit('a'));
  const other = admit('a', STARTED_AT, SERVICE, 'other');
  t.deepEqual(other, refusedNotRun(RefusalReason.KeyReused));
});

test('answers over the limits are not stored, and their outcome is unknown', async t => {
  const {ledger, admit} = createLedger();
  const sizes = [11, 10, 10, 6];
  const isStored = sizes.map(async (bytes, i) => {
    const target = i === 0 ? createLedger() : {ledger, admit};
    const record = recordOf(target.admit(`k${i}`));
    target.ledger.settle(record, answered(bytes));
    const result = await record.result;
    return result.kind === 'answered';
  });
  t.deepEqual(await Promise.all(isStored), [false, true, true, false]);
});

test('the bytes of a run that outlives its key do not stay counted', async t => {
  const {ledger, admit} = createLedger();
  const later = STARTED_AT + KEY_LIFETIME_MS;
  const runs = ['a', 'b', 'c'].map(unique => recordOf(admit(unique)));
  ledger.expire(later);
  runs.forEach(record => ledger.settle(record, answered(10)));
  const record = recordOf(
    ledger.admit(...keyAt(KEY_LIFETIME_MS, 'd'), SERVICE, 'c', later),
  );
  ledger.settle(record, answered(10));
  t.is((await record.result).kind, 'answered');
});

test('a full ledger refuses only its member and keeps refusing those keys', t => {
  const {ledger, admit} = createLedger();
  ['a', 'b', 'c'].forEach(unique => recordOf(admit(unique)));
  t.like(admit('d'), {outcome: 'not-run', reason: RefusalReason.LedgerFull});
  t.is(admit('a', STARTED_AT, 'other/s').kind, 'run');
  t.like(admit('d', STARTED_AT, 'm/other'), {
    reason: RefusalReason.LedgerFull,
  });
  // Records expire with their keys, but a refused key must remain refused.
  const later = STARTED_AT + KEY_LIFETIME_MS - 1;
  ledger.expire(later + 1);
  t.is(ledger.size, 0);
  t.like(admit('d', later), {reason: RefusalReason.LedgerFull});
});

test('a key issued in the future is not refused as "not run": a copy may run later', t => {
  const {ledger} = createLedger();
  const [key, text] = keyAt(60_000);
  const early = ledger.admit(key, text, SERVICE, 'c', STARTED_AT);
  t.deepEqual(early, refusedOutcomeUnknown(RefusalReason.KeyMalformed));
});

/** One step of a random history of one ledger. */
type Step =
  | {readonly kind: 'arrive'; readonly key: number; readonly content: number}
  | {readonly kind: 'refuse'; readonly key: number}
  | {readonly kind: 'settle'; readonly run: number; readonly ran: boolean}
  | {readonly kind: 'wait'; readonly ms: number};

const KEYS = [0, 0, 10, 40_000, 60_000, KEY_LIFETIME_MS].map((issuedAt, i) =>
  keyAt(issuedAt, `u${i}`),
);
const keyArbitrary = fc.nat(KEYS.length - 1);
const stepArbitrary = fc.oneof<fc.Arbitrary<Step>[]>(
  fc.record({
    kind: fc.constant('arrive' as const),
    key: keyArbitrary,
    content: fc.nat(1),
  }),
  fc.record({kind: fc.constant('refuse' as const), key: keyArbitrary}),
  fc.record({
    kind: fc.constant('settle' as const),
    run: fc.nat(5),
    ran: fc.boolean(),
  }),
  fc.record({
    kind: fc.constant('wait' as const),
    ms: fc.constantFrom(1, 5_000, 31_000, KEY_LIFETIME_MS / 2, KEY_LIFETIME_MS),
  }),
);

/**
 * Replays a random history on a ledger. A request is a key with a content. It
 * records which requests ran and which were refused as "not run".
 */
class LedgerModel {
  private now = STARTED_AT;
  private readonly ledger = new RequestLedger(
    {...LIMITS, recordsPerMember: 2},
    STARTED_AT,
  );
  private readonly running: {id: string; record: LedgerRecord}[] = [];
  /** Number of times that each key was admitted to run. */
  readonly runs = new Map<string, number>();
  private readonly ranIds = new Set<string>();
  private readonly refusedNotRunIds = new Set<string>();

  /** Returns the requests that ran although they were refused as "not run". */
  get wronglyRun(): readonly string[] {
    return [...this.refusedNotRunIds].filter(id => this.ranIds.has(id));
  }

  apply(step: Step): void {
    switch (step.kind) {
      case 'arrive':
        return this.arrive(step.key, step.content);
      case 'refuse': {
        const [key, text] = KEYS[step.key]!;
        const refused = refusedNotRun(RefusalReason.BodyTooLarge);
        this.recordRefusal(
          this.ledger.refuse(key, text, SERVICE, refused, this.now),
          `${step.key} 0`,
          `${step.key} 1`,
        );
        return;
      }
      case 'settle':
        return this.settle(step.run, step.ran);
      case 'wait':
        this.now += step.ms;
        return;
      default:
        step satisfies never;
    }
  }

  private arrive(index: number, content: number): void {
    const [key, text] = KEYS[index]!;
    const id = `${index} ${content}`;
    const fingerprint = String(content);
    const admission = this.ledger.admit(
      key,
      text,
      SERVICE,
      fingerprint,
      this.now,
    );
    if (admission.kind === 'refused') this.recordRefusal(admission, id);
    if (admission.kind !== 'run') return;
    this.runs.set(text, (this.runs.get(text) ?? 0) + 1);
    this.running.push({id, record: admission.record});
  }

  private settle(run: number, ran: boolean): void {
    const [settled] = this.running.splice(run, 1);
    if (!settled) return;
    if (ran) this.ranIds.add(settled.id);
    else this.recordRefusal(refusedNotRun(RefusalReason.QueueFull), settled.id);
    const result = ran ? answered(4) : refusedNotRun(RefusalReason.QueueFull);
    this.ledger.settle(settled.record, result);
  }

  private recordRefusal(refused: Refused, ...ids: readonly string[]): void {
    if (refused.outcome !== 'not-run') return;
    ids.forEach(id => this.refusedNotRunIds.add(id));
  }
}

test('a key runs at most once, and never after a "not run" refusal', t => {
  fc.assert(
    fc.property(
      fc.array(stepArbitrary, {maxLength: 40, size: 'max'}),
      steps => {
        const model = new LedgerModel();
        steps.forEach(step => model.apply(step));
        t.true([...model.runs.values()].every(count => count === 1));
        t.deepEqual(model.wronglyRun, []);
      },
    ),
    {numRuns: 2_000, seed: 6},
  );
});
