/** Tests of a deployment whose updates arrive late, twice or not at all. */
import test from 'ava';
import {serverEntry} from '../backend_server/server_entry.test_support.js';
import {answerStating} from '../backend_server/server_statement.test_support.js';
import {EntryState} from '../backend_server/shared_server.js';
import {SeededRandom} from '../link/random.js';
import type {RoutingConfiguration} from '../route/route.js';
import {Deployment, UpdateOutcome} from './deployment.js';
import {LimitShares} from './limit_shares.js';
import {LapsedServers} from './lapsed_servers.js';

const NOW = 1_000;

function createDeployment(): Deployment {
  return new Deployment({
    fleet: {instanceCount: () => 1, restartedAt: -Infinity},
    failureDomain: 'a',
    limitShares: new LimitShares('e', () => ['e']),
    budget: {ratio: 0.2, extra: 1, windowMs: 10_000},
    random: new SeededRandom(1),
  });
}

function configuration(version: number): RoutingConfiguration {
  const bounds = {headerBytes: 1, bodyBytes: 1, headersMs: 1, idleMs: 1};
  return {version, routes: [], services: [], callerLimits: bounds};
}

test('a configuration is never replaced by an older one', t => {
  const deployment = createDeployment();
  t.is(deployment.configure(configuration(5)), UpdateOutcome.Taken);
  t.is(deployment.configure(configuration(3)), UpdateOutcome.Stale);
  t.is(deployment.configure(configuration(5)), UpdateOutcome.Unchanged);
  t.is(deployment.routes?.configuration.version, 5);
});

test('requests are served only when routes, servers and contents are known', t => {
  const deployment = createDeployment();
  deployment.configure(configuration(1));
  t.false(deployment.isKnown);
  deployment.markRegistryRead();
  t.false(deployment.isKnown);
  deployment.markContentsRead();
  t.true(deployment.isKnown);
});

test('a late entry does not revoke that a server is leaving', t => {
  const deployment = createDeployment();
  deployment.putServer(
    serverEntry({sequence: 4, state: EntryState.Leaving}),
    NOW,
  );
  t.is(
    deployment.putServer(serverEntry({sequence: 3}), NOW),
    UpdateOutcome.Stale,
  );
  t.false(deployment.server('x')?.acceptsRequests);
});

test('a server that restarted under the same id is a new server', t => {
  const deployment = createDeployment();
  deployment.putServer(serverEntry({sequence: 9}), NOW);
  const before = deployment.server('x');
  deployment.putServer(serverEntry({startedAt: 2, sequence: 1}), NOW);
  t.not(deployment.server('x'), before);
  t.is(deployment.service('s').servers.length, 1);
});

test('a server that changes its service is removed from the old one', t => {
  const deployment = createDeployment();
  deployment.putServer(serverEntry(), NOW);
  deployment.putServer(serverEntry({service: 'other', sequence: 2}), NOW);
  t.is(deployment.service('s').servers.length, 0);
  t.is(deployment.service('other').servers.length, 1);
});

test('servers whose entries expire around an outage are kept for a while', t => {
  const lapsed = new LapsedServers();
  t.false(lapsed.retain('a', NOW));
  lapsed.registryRecovered(NOW, NOW);
  t.true(lapsed.retain('a', NOW + 10));
  t.true(lapsed.retain('b', NOW + 20));
  lapsed.entryReturned('a');
  t.deepEqual(lapsed.takeExpired(NOW + 2_000), []);
  t.deepEqual(lapsed.takeExpired(NOW + 2_300), ['b']);
  t.false(lapsed.retain('a', NOW + 2_400));
});

test('a server that announced its leaving is not used again until it has restarted', t => {
  const deployment = createDeployment();
  deployment.putServer(serverEntry({startedAt: 5}), NOW);
  deployment
    .server('x')!
    .backpressure.record(answerStating({kind: 'leaving'}), NOW);
  deployment.putServer(serverEntry({startedAt: 5, sequence: 9}), NOW);
  t.is(deployment.serversTakingWork, 0);
  // Its entry lapses in an outage of the store and comes back as it was.
  deployment.removeServer('x');
  deployment.putServer(serverEntry({startedAt: 5}), NOW);
  t.is(deployment.serversTakingWork, 0);
  deployment.putServer(serverEntry({startedAt: 6}), NOW);
  t.is(deployment.serversTakingWork, 1);
});

test('an entry from before its server left is told from a newer one', t => {
  const deployment = createDeployment();
  const left = serverEntry({sequence: 4, startedAt: 1_000});
  deployment.putServer(left, NOW);
  t.false(deployment.hasLeft(left));
  deployment.removeServer(left.id);
  t.true(deployment.hasLeft(left));
  t.true(deployment.hasLeft({...left, sequence: 3}));
  t.true(deployment.hasLeft({...left, startedAt: 900, sequence: 9}));
  t.false(deployment.hasLeft({...left, sequence: 5}));
  t.false(deployment.hasLeft({...left, startedAt: 2_000, sequence: 1}));
  const older = {...left, sequence: 3};
  t.is(deployment.putServer(older, NOW), UpdateOutcome.Stale);
  t.is(deployment.serversTakingWork, 0);
  // It is back: nothing of it is outdated any more.
  deployment.putServer({...left, sequence: 5}, NOW);
  t.false(deployment.hasLeft(left));
});

test('what a process has said holds when its entry lapses and returns, and ends with it', t => {
  const deployment = createDeployment();
  deployment.putServer(serverEntry({startedAt: 5}), NOW);
  const message = answerStating(
    {kind: 'rest', ms: 3_000},
    {kind: 'limit', perS: 2},
  );
  deployment.server('x')!.backpressure.record(message, NOW);
  deployment.removeServer('x');
  deployment.putServer(serverEntry({startedAt: 5, sequence: 2}), NOW);
  const {backpressure} = deployment.server('x')!;
  t.true(backpressure.wantsNothing(NOW + 2_999));
  t.false(backpressure.wantsNothing(NOW + 3_000));
  t.true(backpressure.isLimited);
  deployment.putServer(serverEntry({startedAt: 6}), NOW);
  t.false(deployment.server('x')!.backpressure.wantsNothing(NOW));
});
