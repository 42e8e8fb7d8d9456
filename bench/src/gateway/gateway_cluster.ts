/** Instances of the gateway as processes, with their store and servers. */
import {configuration} from '@ragworthall/platform/dist/testing/entry_test_environment.js';
import {InstanceProcess} from '@ragworthall/platform/dist/testing/instance_process.js';
import {LoopbackProxy} from '@ragworthall/platform/dist/testing/loopback_proxy.js';
import {StoreStandIn} from '@ragworthall/platform/dist/testing/store_standin.js';
import {BackendServerStandIn} from '@ragworthall/platform/dist/testing/backend_server_standin.js';

const SERVICE = 's';
/** Target of all requests, seconds. */
const TARGET_S = 1.5;
const FAILURE_DOMAINS = ['a', 'b', 'c'] as const;
/** Time in which a process has to become ready, milliseconds. */
export const START_MS = 20_000;
/** Time until a server that leaves takes its entry out, milliseconds. */
const LEAVES_MS = 3_500;

/** One instance, and its link to the store. */
export interface ClusterInstance {
  readonly process: InstanceProcess;
  readonly storeLink: LoopbackProxy;
}

/** One backend server, and the link to it. */
export interface ClusterServer {
  readonly worker: BackendServerStandIn;
  readonly link: LoopbackProxy;
  /** When it said that it leaves, on the callers' clock; undefined before. */
  leavingSince?: number;
}

/** All of them. */
export class GatewayCluster implements AsyncDisposable {
  readonly servers: ClusterServer[] = [];
  version = 1;
  private readonly timers = new Set<NodeJS.Timeout>();

  private constructor(
    readonly store: StoreStandIn,
    readonly instances: readonly ClusterInstance[],
  ) {}

  /**
   * Starts everything; resolves when all instances are ready.
   *
   * @param network First two bytes of the instances' addresses.
   */
  static async start(
    sizes: {readonly instances: number; readonly servers: number},
    network: string,
  ): Promise<GatewayCluster> {
    const store = await StoreStandIn.start();
    store.put('op', 'config', configuration(1, undefined, TARGET_S));
    const instances = await Promise.all(
      Array.from({length: sizes.instances}, async (unused, i) => {
        const storeLink = await LoopbackProxy.start(store.address);
        const process = await InstanceProcess.start({
          id: `entry-${String(i).padStart(2, '0')}`,
          failureDomain: FAILURE_DOMAINS[i % FAILURE_DOMAINS.length]!,
          ip: `${network}.0.${i + 1}`,
          store: storeLink.address,
        });
        return {process, storeLink};
      }),
    );
    const cluster = new GatewayCluster(store, instances);
    for (let i = 0; i < sizes.servers; i++) await cluster.addServer();
    const ready = await Promise.all(
      instances.map(({process}) => process.waitUntilReady(START_MS)),
    );
    if (ready.includes(false)) throw new Error('an instance did not start');
    return cluster;
  }

  /** Adds a backend server. */
  async addServer(): Promise<void> {
    const worker = await BackendServerStandIn.start(`i-${this.servers.length}`);
    const link = await LoopbackProxy.start(worker.address);
    this.servers.push({worker, link});
    this.list({worker, link}, 'ready');
  }

  /** Lets a server leave: it says so, and takes its entry out later. */
  leave(server: ClusterServer): void {
    server.leavingSince = performance.now();
    this.list(server, 'draining');
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      this.store.remove('servers', server.worker.id);
    }, LEAVES_MS);
    this.timers.add(timer);
  }

  /** Writes the next configuration, as the operator does; returns its version. */
  configure(): number {
    this.version += 1;
    this.store.put(
      'op',
      'config',
      configuration(this.version, undefined, TARGET_S),
    );
    return this.version;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.timers.forEach(clearTimeout);
    await Promise.all([
      ...this.instances.map(({process}) => process[Symbol.asyncDispose]()),
    ]);
    const links = [...this.instances.map(i => i.storeLink), ...this.links];
    await Promise.all(links.map(link => link[Symbol.asyncDispose]()));
    await Promise.all(this.servers.map(s => s.worker[Symbol.asyncDispose]()));
    await this.store[Symbol.asyncDispose]();
  }

  private get links(): readonly LoopbackProxy[] {
    return this.servers.map(({link}) => link);
  }

  private list({worker, link}: ClusterServer, state: string): void {
    const sequence = state === 'ready' ? 1 : 2;
    const entry = worker.entry(SERVICE, state, sequence, link.address);
    this.store.put('servers', worker.id, entry);
  }
}
