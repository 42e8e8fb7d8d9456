/** A small deployment: a store, workers and instances, with their configuration. */
import {setTimeout as delay} from 'node:timers/promises';
import {StoreStandIn} from '../../platform/testing/store_standin.js';
import {Instance, loopbackAddresses} from './instance.js';
import {Worker, type WorkerOptions} from './worker.js';

const ZONES = ['a', 'b', 'c'];
/** Time that the store takes for an answer, milliseconds. */
const STORE_DELAY_MS = 4;
/** Time from the readiness of the instances to the first request, milliseconds. */
const SETTLE_MS = 4_000;

/** One route and the service that it leads to. */
export interface RouteOptions {
  readonly name: string;
  readonly kind: 'safe' | 'unsafe';
  readonly service: string;
  readonly timeoutS: number;
  readonly targetS: number;
  readonly maxAttempts?: number;
}

/** What a deployment consists of. */
export interface DeploymentOptions {
  readonly instances: number;
  readonly routes: readonly RouteOptions[];
  readonly workers: readonly WorkerOptions[];
  /** Address of the store as instances see it, if not its own. */
  readonly storeAddress?: (address: string) => Promise<string>;
}

/** The host of all routes. */
export const HOST = 'shop.example';

/** A running deployment. */
export class Deployment {
  private constructor(
    readonly store: StoreStandIn,
    readonly workers: readonly Worker[],
    readonly instances: readonly Instance[],
  ) {}

  static async start(options: DeploymentOptions): Promise<Deployment> {
    const store = await StoreStandIn.start();
    store.responseDelayMs = STORE_DELAY_MS;
    const workers = await Promise.all(
      options.workers.map(worker => Worker.start(worker)),
    );
    workers.forEach(worker =>
      store.put('servers', worker.id, worker.entry('ready')),
    );
    store.put('op', 'config', configuration(options.routes));
    const address =
      (await options.storeAddress?.(store.address)) ?? store.address;
    const ips = loopbackAddresses(options.instances);
    const instances = await Promise.all(
      ips.map((ip, i) => {
        const zone = ZONES[i % ZONES.length]!;
        const identity = {name: `front-${i}`, zone, ip, store: address};
        return Instance.start(identity);
      }),
    );
    await delay(SETTLE_MS);
    return new Deployment(store, workers, instances);
  }

  /** All requests that workers began to run. */
  get runs() {
    return this.workers.flatMap(({runs}) => runs);
  }

  async close(): Promise<void> {
    await Promise.all(this.instances.map(instance => instance.close()));
    this.workers.forEach(worker => worker.stop());
    await this.store[Symbol.asyncDispose]();
  }
}

function configuration(routes: readonly RouteOptions[]): object {
  const services = [...new Set(routes.map(({service}) => service))];
  return {
    Version: 7,
    Routes: Object.fromEntries(
      routes.map(route => [
        route.name,
        {
          Host: HOST,
          Prefix: `/${route.name}/`,
          Kind: route.kind,
          TimeoutS: route.timeoutS,
          TargetLatencyS: route.targetS,
          Priority: 1,
          Service: route.service,
          MaxAttempts: route.maxAttempts ?? 2,
        },
      ]),
    ),
    Services: Object.fromEntries(
      services.map(name => [
        name,
        {HealthPath: '/health', MaxConns: 220, Protocol: 'h1', Tls: false},
      ]),
    ),
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 67_108_864,
      HeaderTimeoutS: 3,
      IdleTimeoutS: 15,
    },
  };
}
