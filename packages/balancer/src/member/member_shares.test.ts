import test from 'ava';
import fc from 'fast-check';
import {type Grant, MemberShares} from './member_shares.js';

const MEMBERS = ['altamar', 'ubuntu-steps', 'third'] as const;
const CAPACITY = {calls: 30, bytes: 3_000};

test('a member may use idle capacity, but not the shares of others', t => {
  const shares = new MemberShares(CAPACITY, ['altamar', 'ubuntu-steps']);
  const grants = Array.from({length: 40}, () => shares.admit('altamar', 1, 0));
  t.is(grants.filter(grant => grant.kind === 'granted').length, 23);
  t.like(grants.at(-1), {
    outcome: 'not-run',
    reason: 'member_share_spent',
  });
  const others = Array.from({length: 9}, () =>
    shares.admit('ubuntu-steps', 1, 0),
  );
  t.is(others.filter(grant => grant.kind === 'granted').length, 7);
});

test('retries of a member are refilled over time', t => {
  const shares = new MemberShares(CAPACITY, MEMBERS);
  const spent = Array.from({length: 30}, () => shares.tryRetry('altamar', 0));
  t.is(spent.filter(Boolean).length, 20);
  t.true(shares.tryRetry('third', 0));
  t.false(shares.tryRetry('altamar', 50));
  t.true(shares.tryRetry('altamar', 150));
});

test('no member is refused within its share, and capacity is not exceeded', t => {
  const step = fc.record({
    member: fc.constantFrom(...MEMBERS),
    bytes: fc.integer({min: 0, max: 1_500}),
    kind: fc.constantFrom('admit' as const, 'admit' as const, 'end' as const),
    nth: fc.nat(50),
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 200}), steps => {
      const shares = new MemberShares(CAPACITY, MEMBERS);
      const held = new Map<string, {grant: Grant; bytes: number}[]>(
        MEMBERS.map(member => [member, []]),
      );
      return steps.every(({member, bytes, kind, nth}) => {
        const own = held.get(member)!;
        if (kind === 'end') {
          own.splice(nth % (own.length || 1), 1)[0]?.grant[Symbol.dispose]();
          return true;
        }
        const ownBytes = own.reduce((sum, h) => sum + h.bytes, 0);
        const isWithin = own.length < 5 && ownBytes + bytes <= 500;
        const grant = shares.admit(member, bytes, 0);
        if (grant.kind === 'granted') own.push({grant, bytes});
        const all = [...held.values()].flat();
        const allBytes = all.reduce((sum, h) => sum + h.bytes, 0);
        return (
          (grant.kind === 'granted' || !isWithin) &&
          all.length <= CAPACITY.calls &&
          allBytes <= CAPACITY.bytes
        );
      });
    }),
    {seed: 4, numRuns: 500},
  );
  t.pass();
});
