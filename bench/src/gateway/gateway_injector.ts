/** Brings faults over instances of the gateway, and ends them. */
import {setTimeout as delay} from 'node:timers/promises';
import type {EventLog} from '../history/event_log.js';
import type {AcceptedChange, PlannedStop} from '../history/history.js';
import {
  type ClusterInstance,
  type GatewayCluster,
  START_MS,
} from './gateway_cluster.js';
import type {GatewayFault} from './gateway_fault.js';
import type {DisturbanceLog} from './disturbance_log.js';

/** Time after which callers have left an instance that stops, milliseconds. */
const MOVED_MS = 1_000;
/** Servers that stay at least. */
const MIN_SERVERS = 4;

/** The faults of one run. */
export class GatewayInjector {
  readonly stops: PlannedStop[] = [];
  readonly accepted: AcceptedChange[] = [];
  private readonly running = new Set<Promise<void>>();
  /** Instances that something was done to which is not over. */
  private readonly busy = new Set<string>();
  private readonly left = new Set<string>();

  constructor(
    private readonly cluster: GatewayCluster,
    private readonly touch: DisturbanceLog,
    private readonly log: EventLog,
  ) {}

  /** Whether callers go to an instance: it is not one that they have left. */
  isUsed({process}: ClusterInstance): boolean {
    return !this.left.has(process.identity.id);
  }

  /** Starts a fault; it ends by itself. */
  inject(fault: GatewayFault): void {
    this.log.add(JSON.stringify(fault));
    const done = this.carryOut(fault).finally(() => this.running.delete(done));
    this.running.add(done);
  }

  /** Resolves when all faults have ended. */
  async endAll(): Promise<void> {
    while (this.running.size > 0) await Promise.all(this.running);
  }

  private async carryOut(fault: GatewayFault): Promise<void> {
    const {cluster} = this;
    switch (fault.kind) {
      case 'kill':
        return this.kill(cluster.instances[fault.instance]!, fault.forMs);
      case 'kill_all':
        await Promise.all(
          cluster.instances.map(i => this.kill(i, fault.forMs)),
        );
        return;
      case 'pause':
        return this.pause(cluster.instances[fault.instance]!, fault.forMs);
      case 'stop':
        return this.stop(cluster.instances[fault.instance]!);
      case 'hangup':
        return cluster.instances[fault.instance]!.process.signal('SIGHUP');
      case 'store':
        return this.during(undefined, fault.forMs, on => {
          cluster.store.mode = on ? fault.mood : {kind: 'well'};
          if (on) cluster.store.cutConnections();
        });
      case 'store_link': {
        const {process, storeLink} = cluster.instances[fault.instance]!;
        return this.during(process.identity.id, fault.forMs, on => {
          storeLink.mode = on ? fault.mood : {kind: 'well'};
          // Bytes that a silent link has swallowed leave its connections torn.
          if (!on) storeLink.resetAll();
        });
      }
      case 'store_forgets':
        return cluster.store.forgetHistory();
      case 'server': {
        const {worker} = cluster.servers[fault.server]!;
        worker.mode = fault.mood;
        await delay(fault.forMs);
        worker.mode = {kind: 'answers', afterMs: 30};
        return;
      }
      case 'server_link': {
        const {link} = cluster.servers[fault.server]!;
        link.mode = fault.mood;
        await delay(fault.forMs);
        link.mode = {kind: 'well'};
        link.resetAll();
        return;
      }
      case 'server_leaves':
        return this.leave(fault.server);
      case 'configure': {
        const revision = cluster.configure();
        const operation = `version ${revision}`;
        this.accepted.push({revision, operation, acceptedAt: Date.now()});
        return;
      }
      default:
        throw new Error(`unexpected fault: ${fault satisfies never}`);
    }
  }

  private async during(
    instance: string | undefined,
    ms: number,
    set: (on: boolean) => void,
  ): Promise<void> {
    const end = this.touch.disturb(instance);
    set(true);
    await delay(ms);
    set(false);
    end();
  }

  /** Does something to an instance, unless another thing is being done to it. */
  private async alone(
    {process}: ClusterInstance,
    act: () => Promise<void>,
  ): Promise<void> {
    const {id} = process.identity;
    if (this.busy.has(id)) return;
    this.busy.add(id);
    const end = this.touch.disturb(id);
    await act();
    end();
    this.busy.delete(id);
  }

  private kill(instance: ClusterInstance, forMs: number): Promise<void> {
    const {process} = instance;
    return this.alone(instance, async () => {
      const ended = process.waitForExit();
      process.signal('SIGKILL');
      await ended;
      await delay(forMs);
      process.launch();
      await process.waitUntilReady(START_MS);
    });
  }

  private pause(instance: ClusterInstance, forMs: number): Promise<void> {
    return this.alone(instance, async () => {
      instance.process.signal('SIGSTOP');
      await delay(forMs);
      instance.process.signal('SIGCONT');
    });
  }

  private stop(instance: ClusterInstance): Promise<void> {
    const {process} = instance;
    const {id} = process.identity;
    return this.alone(instance, async () => {
      const from = performance.now();
      const ended = process.waitForExit();
      process.signal('SIGTERM');
      await delay(MOVED_MS);
      this.left.add(id);
      const exitCode = await ended;
      const to = performance.now();
      this.stops.push({
        instance: id,
        url: process.callersUrl,
        exitCode,
        from,
        to,
      });
      process.launch();
      await process.waitUntilReady(START_MS);
      this.left.delete(id);
    });
  }

  private async leave(index: number): Promise<void> {
    const {cluster} = this;
    const server = cluster.servers[index]!;
    const staying = cluster.servers.filter(s => s.leavingSince === undefined);
    if (server.leavingSince !== undefined) return;
    if (staying.length <= MIN_SERVERS) return;
    cluster.leave(server);
    await cluster.addServer();
  }
}
