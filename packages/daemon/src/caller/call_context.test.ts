/** Tests of the `x-call-context` header. */
import {Rank} from '@ragworthall/contracts';
import test from 'ava';
import fc from 'fast-check';
import {CallContextCodec, DEADLINE_STEP_MS} from './call_context.js';

const SEED = 20_261_204;
const NOW = 1_800_000_000_000;
const contexts = fc.record({
  deadline: fc.integer({min: NOW + 1, max: NOW + 600_000}),
  rank: fc.constantFrom(Rank.Urgent, Rank.Live, Rank.Bulk),
  retriesLeft: fc.nat(9),
  depth: fc.nat(16),
});
const codec = new CallContextCodec('a secret of the cell');

test('decoding an encoded context restores it', t => {
  fc.assert(
    fc.property(contexts, context => {
      const decoded = codec.decode(codec.encode(context), NOW);
      // A nested call loses less than one step of its time, and gains none.
      const roundedOff = context.deadline % DEADLINE_STEP_MS;
      const deadline = context.deadline - roundedOff;
      if (deadline <= NOW) t.true(decoded.isErr());
      else t.deepEqual(decoded._unsafeUnwrap(), {...context, deadline});
    }),
    {seed: SEED},
  );
});

test('a context with any one character changed is rejected', t => {
  fc.assert(
    fc.property(
      contexts,
      fc.nat(),
      fc.string({unit: 'grapheme-ascii', minLength: 1, maxLength: 1}),
      (context, index, char) => {
        const header = codec.encode(context);
        const position = index % header.length;
        const changed =
          header.slice(0, position) + char + header.slice(position + 1);
        // The MAC's 16 bytes take 22 characters, which leaves four unused bits
        // in the last one: a changed one can decode to the same MAC.
        fc.pre(changed !== header && position < header.length - 1);
        t.true(codec.decode(changed, NOW).isErr());
      },
    ),
    {seed: SEED},
  );
});

test('contexts of another cell, expired contexts and random strings are rejected', t => {
  const context = {deadline: NOW, rank: Rank.Live, retriesLeft: 1, depth: 0};
  const header = codec.encode(context);
  const otherCell = new CallContextCodec('a secret of another cell');
  t.is(otherCell.decode(header, NOW - 1)._unsafeUnwrapErr(), 'context_forged');
  t.is(codec.decode(header, NOW)._unsafeUnwrapErr(), 'context_expired');
  fc.assert(
    fc.property(fc.string({unit: 'binary'}), text =>
      codec.decode(text, NOW).isErr(),
    ),
    {seed: SEED, numRuns: 2_000},
  );
  t.is(codec.decode(undefined, NOW)._unsafeUnwrap(), undefined);
});
