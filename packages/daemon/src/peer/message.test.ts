import test from 'ava';
import fc from 'fast-check';
import {heartbeatMessage, heartbeatOf} from './heartbeat_message.js';
import {decode, encode} from './message.js';

test('arbitrary bytes are decoded, or reported as unknown or malformed', t => {
  fc.assert(
    fc.property(fc.uint8Array({maxLength: 200}), frame => {
      const {kind} = decode(frame);
      t.true(['message', 'unknown', 'malformed'].includes(kind));
    }),
    {seed: 1, numRuns: 2_000},
  );
});

test('a message with a field of the wrong type is malformed', t => {
  const valid = {kind: 'cancel', number: 3} as const;
  t.deepEqual(decode(encode(valid)), {kind: 'message', message: valid});
  fc.assert(
    fc.property(
      fc.anything().filter(v => !Number.isSafeInteger(v)),
      number => {
        const frame = encode({...valid, number} as never);
        t.is(decode(frame).kind, 'malformed');
      },
    ),
    {seed: 2, numRuns: 200},
  );
});

test('a heartbeat is decoded unchanged, except that its age may be rounded up', t => {
  const heartbeat = fc.record({
    sequence: fc.nat(),
    echo: fc.nat(),
    wantsEcho: fc.boolean(),
    status: fc.record({
      state: fc.constantFrom(...(['starting', 'serving', 'stopping'] as const)),
      revision: fc.nat(),
      confirmedAgeMs: fc.option(fc.double({min: 0, max: 1e6, noNaN: true}), {
        nil: undefined,
      }),
      voting: fc.boolean(),
      settled: fc.boolean(),
    }),
  });
  fc.assert(
    fc.property(heartbeat, sent => {
      const decoded = decode(encode(heartbeatMessage(sent)));
      if (decoded.kind !== 'message') return t.fail(decoded.kind);
      if (decoded.message.kind !== 'heartbeat') return t.fail();
      const received = heartbeatOf(decoded.message);
      const age = sent.status.confirmedAgeMs;
      const receivedAge = received.status.confirmedAgeMs;
      t.true(
        age === undefined ? receivedAge === undefined : receivedAge! >= age,
      );
      const expectedStatus = {...sent.status, confirmedAgeMs: receivedAge};
      t.deepEqual(received, {...sent, status: expectedStatus});
    }),
    {seed: 3, numRuns: 300},
  );
});
