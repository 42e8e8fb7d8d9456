import test from 'ava';
import {BodyMemory} from './body_memory.js';

const MB = 1_000_000;

test('a body that finds no room takes none, and finds it once others have ended', t => {
  const memory = new BodyMemory(100 * MB);
  const first = memory.open('a');
  const second = memory.open('b');
  t.true(first.resize(50 * MB));
  t.false(second.resize(40 * MB));
  t.is(memory.usedBytes, 50 * MB);
  first[Symbol.dispose]();
  first[Symbol.dispose]();
  t.is(memory.usedBytes, 0);
  t.true(second.resize(40 * MB));
});

test('large bodies leave room for small ones', t => {
  const memory = new BodyMemory(100 * MB);
  t.true(memory.open('a').resize(40 * MB));
  t.true(memory.open('b').resize(40 * MB));
  t.false(memory.open('c').resize(MB));
  const small = Array.from({length: 300}, () =>
    memory.open('a').resize(60_000),
  );
  t.true(small.every(isTaken => isTaken));
});

test('one caller does not take the memory of others', t => {
  const memory = new BodyMemory(100 * MB);
  const accepted = [1, 2, 3, 4, 5, 6, 7, 8].filter(() =>
    memory.open('a').resize(10 * MB),
  );
  t.is(accepted.length, 5);
  t.true(memory.open('b').resize(10 * MB));
});

test('a single body may take more than the share of one caller', t => {
  const memory = new BodyMemory(100 * MB);
  t.true(memory.open('a').resize(67 * MB));
  t.false(memory.open('a').resize(10 * MB));
});

test('a body that grows takes what it has grown by', t => {
  const memory = new BodyMemory(100 * MB);
  const body = memory.open('a');
  t.true(body.resize(10 * MB));
  t.true(body.resize(30 * MB));
  t.false(body.resize(90 * MB));
  t.is(memory.usedBytes, 30 * MB);
});
