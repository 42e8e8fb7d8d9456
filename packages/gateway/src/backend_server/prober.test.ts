import {
  EntryState,
  ProbeRateLimiter,
  SharedServer,
  type SharedService,
} from '@ragworthall/balancer';
import test from 'ava';
import type {ReachMonitor} from '../instance/reach_monitor.js';
import type {GatewayLog} from '../log/gateway_log.js';
import type {BackendClient} from './backend_client.js';
import {Prober} from './prober.js';

const SERVER_ENTRY = {
  id: 'i-1',
  service: 's',
  address: '10.0.0.1:80',
  failureDomain: 'a',
  slots: 2,
  state: EntryState.Ready,
  warmUpMs: 0,
  startedAt: 1,
  sequence: 1,
};

test('an unexpected error in a probe is logged, and the server is probed again', async t => {
  const failedTasks: string[] = [];
  let probes = 0;
  const client: Pick<BackendClient, 'probe'> = {
    probe: () => {
      probes += 1;
      return Promise.reject(new Error('unexpected'));
    },
  };
  const prober = new Prober(
    client as BackendClient,
    {now: () => probes * 1_000},
    {
      taskFailed: (task: string) => failedTasks.push(task),
    } as never as GatewayLog,
    new ProbeRateLimiter(() => ({perServerPerS: 60, servers: 1, instances: 1})),
    {recordFailure: () => undefined} as never as ReachMonitor,
  );
  const server = new SharedServer(SERVER_ENTRY, 0);
  const service = {settings: {healthPath: '/health'}} as never as SharedService;
  await prober.probe(service, server);
  t.false(server.isLoadQueryPending);
  await prober.probe(service, server);
  t.is(probes, 2);
  t.deepEqual(failedTasks, ['probe', 'probe']);
});
