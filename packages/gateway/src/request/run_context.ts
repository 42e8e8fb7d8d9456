/** What the runs of all requests share. */
import type {Deployment, Random, StopPlan} from '@ragworthall/balancer';
import type {BackendClient} from '../backend_server/backend_client.js';
import type {ContentGuard} from '../content/content_guard.js';
import type {Prober} from '../backend_server/prober.js';
import type {ReachMonitor} from '../instance/reach_monitor.js';
import type {RelayClient} from '../peer/relay_client.js';
import type {PauseGuard} from '../instance/pause_guard.js';
import type {GatewayLog} from '../log/gateway_log.js';
import type {GatewayMetrics} from '../metrics/gateway_metrics.js';
import type {RequestQueues} from './request_queue.js';

/** Dependencies shared by all request runs. */
export interface RunContext {
  readonly deployment: Deployment;
  readonly queues: RequestQueues;
  readonly prober: Prober;
  readonly backendClient: BackendClient;
  readonly clock: PauseGuard;
  readonly random: Random;
  /** Number of known instances; 0 while it is unknown. */
  readonly instanceCount: () => number;
  /** The stop in progress, once only open connections are served. */
  readonly stopPlan: () => StopPlan | undefined;
  readonly reach: ReachMonitor;
  readonly relayClient: RelayClient;
  readonly contentGuard: ContentGuard;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
}
