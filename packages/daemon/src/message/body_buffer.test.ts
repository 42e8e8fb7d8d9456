import test from 'ava';
import fc from 'fast-check';
import {BodyBuffer} from './body_buffer.js';

const SEED = 39;

test('a body is what its chunks are, whatever their sizes', t => {
  const chunk = fc
    .tuple(fc.nat({max: 5_000}), fc.nat({max: 255}))
    .map(([length, value]) => Buffer.alloc(length, value));
  fc.assert(
    fc.property(fc.array(chunk, {maxLength: 40}), chunks => {
      const body = new BodyBuffer();
      chunks.forEach(part => body.append(part));
      const whole = Buffer.concat(chunks);
      return (
        body.join().equals(whole) &&
        Buffer.concat(body.blocks).equals(whole) &&
        body.byteLength === whole.byteLength
      );
    }),
    {seed: SEED, numRuns: 300},
  );
  t.pass();
});

test('chunks of one byte cost what their bytes cost', t => {
  const body = new BodyBuffer();
  const read = Buffer.allocUnsafeSlow(65_536).fill('x');
  const bytes = 1_000_000;
  for (let i = 0; i < bytes; i++) body.append(read.subarray(0, 1));
  t.is(body.byteLength, bytes);
  t.true(body.costBytes < 1.5 * bytes, `${body.costBytes}`);
  t.true(body.blocks.length < 20, `${body.blocks.length}`);
});

test('the cost of a single chunk is that of the buffer that it keeps', t => {
  const body = new BodyBuffer();
  body.append(Buffer.allocUnsafeSlow(65_536).subarray(10, 20));
  t.is(body.byteLength, 10);
  t.is(body.costBytes, 65_536);
});

test('blocks that were taken are not changed by later chunks', t => {
  const body = new BodyBuffer();
  ['a', 'b', 'c'].forEach(text => body.append(Buffer.from(text)));
  const before = Buffer.concat(body.blocks).toString();
  const {blocks} = body;
  body.append(Buffer.from('d'));
  t.is(before, 'abc');
  t.is(Buffer.concat(blocks).toString(), 'abc');
  body.clear();
  t.deepEqual(body.blocks, []);
  t.is(body.costBytes, 0);
});
