/** Tests of the context header. */
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

test('a context that was written is read back', t => {
  fc.assert(
    fc.property(contexts, context => {
      const read = codec.decode(codec.encode(context), NOW);
      // A nested call may lose less than a step, and gains nothing.
      const lost = context.deadline % DEADLINE_STEP_MS;
      const deadline = context.deadline - lost;
      if (deadline <= NOW) t.true(read.isErr());
      else t.deepEqual(read._unsafeUnwrap(), {...context, deadline});
    }),
    {seed: SEED},
  );
});

test('a context with any one character changed is refused', t => {
  fc.assert(
    fc.property(
      contexts,
      fc.nat(),
      fc.string({unit: 'grapheme-ascii', minLength: 1, maxLength: 1}),
      (context, at, char) => {
        const header = codec.encode(context);
        const place = at % header.length;
        const changed = header.slice(0, place) + char + header.slice(place + 1);
        // The last character of the MAC has two bits that carry nothing.
        fc.pre(changed !== header && place < header.length - 1);
        t.true(codec.decode(changed, NOW).isErr());
      },
    ),
    {seed: SEED},
  );
});

test('a context of another cell, an old one and noise have their faults', t => {
  const context = {deadline: NOW, rank: Rank.Live, retriesLeft: 1, depth: 0};
  const header = codec.encode(context);
  const other = new CallContextCodec('a secret of another cell');
  t.is(other.decode(header, NOW - 1)._unsafeUnwrapErr(), 'context_forged');
  t.is(codec.decode(header, NOW)._unsafeUnwrapErr(), 'context_expired');
  fc.assert(
    fc.property(fc.string({unit: 'binary'}), text =>
      codec.decode(text, NOW).isErr(),
    ),
    {seed: SEED, numRuns: 2_000},
  );
  t.is(codec.decode(undefined, NOW)._unsafeUnwrap(), undefined);
});
