/** What an instance believes after news that comes late, twice or not at all. */
import test from 'ava';
import {serverEntry} from '../backend_server/server_entry.test_support.js';
import {EntryState} from '../backend_server/shared_server.js';
import {SeededRandom} from '../link/random.js';
import type {RoutingConfiguration} from '../route/route.js';
import {Deployment, UpdateOutcome} from './deployment.js';
import {LapsedServers} from './lapsed_servers.js';

const NOW = 1_000;

function deployment(): Deployment {
  return new Deployment({
    failureDomain: 'a',
    budget: {ratio: 0.2, extra: 1, windowMs: 10_000},
    random: new SeededRandom(1),
  });
}

function configuration(version: number): RoutingConfiguration {
  const bounds = {headerBytes: 1, bodyBytes: 1, headersMs: 1, idleMs: 1};
  return {version, routes: [], services: [], bounds};
}

test('a configuration never gives way to an older one', t => {
  const world = deployment();
  t.is(world.configure(configuration(5)), UpdateOutcome.Taken);
  t.is(world.configure(configuration(3)), UpdateOutcome.Stale);
  t.is(world.configure(configuration(5)), UpdateOutcome.Unchanged);
  t.is(world.routes?.configuration.version, 5);
});

test('requests are served only when routes and servers are known', t => {
  const world = deployment();
  world.configure(configuration(1));
  t.false(world.isKnown);
  world.markRegistryRead();
  t.true(world.isKnown);
});

test('a late report does not take back that a server leaves', t => {
  const world = deployment();
  world.putServer(serverEntry({sequence: 4, state: EntryState.Leaving}), NOW);
  t.is(world.putServer(serverEntry({sequence: 3}), NOW), UpdateOutcome.Stale);
  t.false(world.server('x')?.acceptsRequests);
});

test('a server that started again under its id is another one', t => {
  const world = deployment();
  world.putServer(serverEntry({sequence: 9}), NOW);
  const before = world.server('x');
  world.putServer(serverEntry({startedAt: 2, sequence: 1}), NOW);
  t.not(world.server('x'), before);
  t.is(world.service('s').servers.length, 1);
});

test('a server that changes its service is gone from the old one', t => {
  const world = deployment();
  world.putServer(serverEntry(), NOW);
  world.putServer(serverEntry({service: 'other', sequence: 2}), NOW);
  t.is(world.service('s').servers.length, 0);
  t.is(world.service('other').servers.length, 1);
});

test('entries that vanish around an outage have a while to return', t => {
  const lapsed = new LapsedServers();
  t.false(lapsed.retain('a', NOW));
  lapsed.registryRecovered(NOW);
  t.true(lapsed.retain('a', NOW + 10));
  t.true(lapsed.retain('b', NOW + 20));
  lapsed.entryReturned('a');
  t.deepEqual(lapsed.takeExpired(NOW + 2_000), []);
  t.deepEqual(lapsed.takeExpired(NOW + 2_300), ['b']);
  t.false(lapsed.retain('a', NOW + 2_400));
});
