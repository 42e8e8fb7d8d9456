import test from 'ava';
import {type InstanceEntry, UpdateSources} from './update_sources.js';

const START = 5_000;
const DOMAINS = ['a', 'b', 'c'] as const;

/** Instances `a-1` to `c-4`. */
const FLEET = DOMAINS.flatMap(domain =>
  [1, 2, 3, 4].map(i => instance(`${domain}-${i}`)),
);

function instance(id: string): InstanceEntry {
  return {id, failureDomain: id[0]!, address: `${id}:1`};
}

function sourcesOf(id: string, fleet = FLEET): UpdateSources {
  const sources = new UpdateSources(instance(id));
  sources.setInstances(fleet);
  return sources;
}

function selectedIds(sources: UpdateSources, now = START): readonly string[] {
  return sources.select(now).map(s => s.instance.id);
}

test('an instance listens to the first of its domain, and to one of the next', t => {
  const selected = sourcesOf('b-3').select(START);
  t.deepEqual(
    selected.map(s => [s.instance.id, s.givesRows]),
    [
      ['b-1', true],
      ['c-1', false],
    ],
  );
  t.deepEqual(selectedIds(sourcesOf('c-2')), ['c-1', 'a-1']);
});

test('the first instances of the first two domains read the store', t => {
  t.deepEqual(selectedIds(sourcesOf('a-1')), []);
  t.deepEqual(selectedIds(sourcesOf('b-1')), []);
});

test('the first of another domain listens to both readers', t => {
  const selected = sourcesOf('c-1').select(START);
  t.deepEqual(
    selected.map(s => [s.instance.id, s.givesRows]),
    [
      ['a-1', true],
      ['b-1', false],
    ],
  );
});

test('a reader that failed is replaced by the next of its domain', t => {
  const sources = sourcesOf('c-1');
  sources.recordFailure('a-1', START);
  t.deepEqual(selectedIds(sources), ['a-2', 'b-1']);
  const next = sourcesOf('a-2');
  next.recordFailure('a-1', START);
  t.deepEqual(selectedIds(next), []);
});

test('two instances read, whatever the order of the list', t => {
  const reversed = [...FLEET].reverse();
  const readers = FLEET.filter(
    ({id}) => selectedIds(sourcesOf(id, reversed)).length === 0,
  );
  t.deepEqual(
    readers.map(({id}) => id),
    ['a-1', 'b-1'],
  );
});

test('in a small fleet every instance reads', t => {
  t.deepEqual(selectedIds(sourcesOf('a-2', FLEET.slice(0, 8))), []);
});

test('an instance that failed is skipped, longer after each failure', t => {
  const sources = sourcesOf('a-3');
  sources.recordFailure('a-1', START);
  t.deepEqual(selectedIds(sources, START), ['a-2', 'b-1']);
  t.deepEqual(selectedIds(sources, START + 3_001), ['a-1', 'b-1']);
  sources.recordFailure('a-1', START + 4_000);
  t.deepEqual(selectedIds(sources, START + 8_000), ['a-2', 'b-1']);
  sources.recordMessage('a-1');
  t.deepEqual(selectedIds(sources, START + 8_000), ['a-1', 'b-1']);
});

test('an instance reads the store if all before it in its domain have failed', t => {
  const sources = sourcesOf('a-3');
  sources.recordFailure('a-1', START);
  sources.recordFailure('a-2', START);
  t.deepEqual(selectedIds(sources, START), []);
});

test('a domain without a reachable instance is skipped', t => {
  const sources = sourcesOf('b-2');
  [1, 2, 3, 4].forEach(i => sources.recordFailure(`c-${i}`, START));
  t.deepEqual(selectedIds(sources, START), ['b-1', 'a-1']);
});

test('instances that a restored store has lost stay known beside those it lists', t => {
  const [self, added] = [instance('a-0'), instance('a-1')];
  const sources = new UpdateSources(self);
  sources.setInstances([self, added]);
  t.true(sources.lists([self, added]));
  t.false(sources.lists([added]));
  const moved = {...self, address: '127.0.0.9:1'};
  t.false(sources.lists([moved]));
  sources.addInstances([self]);
  t.deepEqual(sources.instanceIds, ['a-0', 'a-1']);
  sources.setInstances([self]);
  t.deepEqual(sources.instanceIds, ['a-0']);
});
