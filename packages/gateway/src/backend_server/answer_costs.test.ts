import test from 'ava';
import {
  AnswerMemory,
  type ReceivedAnswer,
  ShortChunkRate,
} from './answer_costs.js';

/** An answer that frees what it costs when it is ended, as exchanges do. */
class FakeAnswer implements ReceivedAnswer {
  isEnded = false;

  constructor(
    readonly address: string,
    private readonly costs: {release(answer: ReceivedAnswer): void},
  ) {}

  fail(): void {
    this.isEnded = true;
    this.costs.release(this);
  }
}

test('the server whose answers take most memory loses the largest of them', t => {
  const memory = new AnswerMemory(1_000);
  const large = new FakeAnswer('a', memory);
  const flood = [1, 2, 3, 4].map(() => new FakeAnswer('b', memory));
  memory.record(large, 380);
  flood.forEach((answer, i) => memory.record(answer, 140 + i));
  t.false(large.isEnded);
  t.false(flood.some(({isEnded}) => isEnded));
  memory.record(flood[0]!, 200);
  t.false(large.isEnded);
  t.deepEqual(
    flood.map(({isEnded}) => isEnded),
    [true, false, false, false],
  );
  t.is(memory.usedBytes, 380 + 141 + 142 + 143);
});

test('what has ended takes no memory', t => {
  const memory = new AnswerMemory(1_000);
  const answer = new FakeAnswer('a', memory);
  memory.record(answer, 300);
  memory.record(answer, 500);
  t.is(memory.usedBytes, 500);
  memory.release(answer);
  memory.release(answer);
  t.is(memory.usedBytes, 0);
});

test('above the rate of short chunks the server that sends most loses answers', t => {
  const rate = new ShortChunkRate(100);
  const sound = new FakeAnswer('a', rate);
  const flood = [1, 2, 3].map(() => new FakeAnswer('b', rate));
  rate.record(sound, 30, 0);
  rate.record(flood[0]!, 70, 1);
  t.false(flood[0]!.isEnded);
  rate.record(flood[1]!, 10, 2);
  t.true(flood[0]!.isEnded);
  // What has ended was processed all the same, and tells whose next answer to end.
  rate.record(sound, 30, 3);
  t.false(sound.isEnded);
  t.true(flood[1]!.isEnded);
  rate.record(sound, 1, 4);
  t.false(sound.isEnded);
  rate.record(flood[2]!, 1, 5);
  t.true(flood[2]!.isEnded);
});

test('short chunks at a rate within the limit end nothing, however many', t => {
  const rate = new ShortChunkRate(100);
  const stream = new FakeAnswer('a', rate);
  for (let second = 0; second < 50; second++) {
    rate.record(stream, 100, second * 1_000);
  }
  t.false(stream.isEnded);
});
