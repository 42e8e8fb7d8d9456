import type {ListedInstance} from '@ragworthall/contracts';
import test from 'ava';
import {InstanceRegistry} from './instance_registry.js';

const instance = (id: string): ListedInstance => ({
  id,
  address: '127.0.0.1:1',
  state: 'live',
});

const shownIds = (registry: InstanceRegistry, now: number): string[] =>
  registry.list(now).instances.map(({id}) => id);

test('a change becomes visible only after the lag', t => {
  const registry = new InstanceRegistry(100);
  registry.replace([instance('a')], 0);
  registry.replace([instance('b')], 50);
  t.deepEqual(shownIds(registry, 99), []);
  t.deepEqual(shownIds(registry, 100), ['a']);
  t.deepEqual(shownIds(registry, 149), ['a']);
  t.deepEqual(shownIds(registry, 150), ['b']);
});

test('a later change without lag replaces a change that is still pending', t => {
  const registry = new InstanceRegistry(100);
  registry.replace([instance('a')], 0);
  registry.replace([instance('b')], 10, 0);
  t.deepEqual(shownIds(registry, 10), ['b']);
  t.deepEqual(shownIds(registry, 100), ['b']);
});
