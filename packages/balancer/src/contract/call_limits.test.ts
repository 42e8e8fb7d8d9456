/** Tests of the limits of nested calls. */
import {type Contract, Rank} from '@ragworthall/contracts';
import test from 'ava';
import fc from 'fast-check';
import {
  type CallLimits,
  nestedCallContext,
  DEFAULT_RETRIES,
  computeCallLimits,
  MAX_CALL_DEPTH,
} from './call_limits.js';

const SEED = 20_261_204;

const CONTRACT: Contract = {
  name: 'list',
  method: 'GET',
  path: '/list',
  rank: Rank.Bulk,
  idempotent: true,
  deadlineMs: 1_000,
  targetMs: 100,
};

test('a nested call never exceeds the deadline, rank or retries of its parent', t => {
  fc.assert(
    fc.property(
      fc.record({
        deadline: fc.integer({min: 1, max: 5_000}),
        rank: fc.constantFrom(Rank.Urgent, Rank.Live, Rank.Bulk),
        retriesLeft: fc.nat(5),
        depth: fc.nat(MAX_CALL_DEPTH + 2),
      }),
      fc.option(fc.integer({min: 1, max: 3_000}), {nil: undefined}),
      (parent, requestedMs) => {
        const limits = computeCallLimits(CONTRACT, requestedMs, parent, 0);
        if (parent.depth >= MAX_CALL_DEPTH) {
          return (
            limits.kind === 'refused' && limits.reason === 'depth_exceeded'
          );
        }
        return (
          limits.kind === 'limits' &&
          limits.remainingMs ===
            Math.min(
              parent.deadline,
              requestedMs ?? 3_000,
              CONTRACT.deadlineMs,
            ) &&
          limits.rank === parent.rank &&
          limits.retriesLeft <= parent.retriesLeft &&
          limits.depth === parent.depth + 1
        );
      },
    ),
    {seed: SEED, numRuns: 1_000},
  );
  t.pass();
});

test('a call after the deadline of its parent is refused', t => {
  const parent = {deadline: 100, rank: Rank.Live, retriesLeft: 1, depth: 0};
  const limits = computeCallLimits(CONTRACT, undefined, parent, 100);
  t.like(limits, {kind: 'refused', reason: 'deadline_passed'});
});

/** Returns the attempts at the lowest level if every attempt fails. */
function countLowestAttempts(parent: CallLimits, levels: number): number {
  if (levels === 0) return 1;
  return Array.from({length: parent.retriesLeft + 1}, (_, retriesMade) => {
    const context = nestedCallContext(
      parent,
      retriesMade,
      parent.remainingMs,
      0,
    );
    const nested = computeCallLimits(
      CONTRACT,
      undefined,
      context,
      0,
    ) as CallLimits;
    return countLowestAttempts(nested, levels - 1);
  }).reduce((sum, n) => sum + n, 0);
}

test('retries of calls nested seven deep do not multiply', t => {
  const top = computeCallLimits(
    CONTRACT,
    undefined,
    undefined,
    0,
  ) as CallLimits;
  t.is(top.retriesLeft, DEFAULT_RETRIES);
  // With full retries at every level it would be 3 to the power of 7: 2187.
  t.is(countLowestAttempts(top, 7), 36);
});
