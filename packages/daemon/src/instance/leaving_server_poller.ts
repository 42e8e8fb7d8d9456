/**
 * Polls the platform's list of instances for backend servers that are leaving.
 * The list lags behind, so it only supplements what servers report themselves.
 */
import {type Clock, LeavingSource} from '@ragworthall/balancer';
import {setTimeout as delay} from 'node:timers/promises';
import type {InstanceListReader} from '../platform/instance_list.js';
import type {ServiceMap} from './service_map.js';

/** Range of the random interval between two polls, milliseconds. */
const POLL_INTERVAL_MS = {min: 1_000, max: 2_000};

/** Dependencies of a {@link LeavingServerPoller}. */
export interface LeavingServerPollerOptions {
  readonly list: InstanceListReader;
  readonly services: ServiceMap;
  readonly clock: Clock;
  /** Returns a random number from 0 to 1. */
  readonly random: () => number;
}

/** Polls the list until it is disposed of. */
export class LeavingServerPoller implements AsyncDisposable {
  private readonly stop = new AbortController();
  private readonly task: Promise<void>;

  constructor(private readonly options: LeavingServerPollerOptions) {
    this.task = this.run(this.stop.signal);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stop.abort();
    await this.task;
  }

  private async run(signal: AbortSignal): Promise<void> {
    const {min, max} = POLL_INTERVAL_MS;
    while (!signal.aborted) {
      const waitMs = min + (max - min) * this.options.random();
      await delay(waitMs, undefined, {signal}).catch(() => undefined);
      if (!signal.aborted) await this.poll();
    }
  }

  private async poll(): Promise<void> {
    const {list, services, clock} = this.options;
    const listed = await list.read();
    if (!listed) return;
    const leaving = new Set(
      listed.filter(i => i.state === 'leaving').map(i => i.id),
    );
    const now = clock.now();
    services
      .all()
      .forEach(({service}) =>
        service.backendServers
          .filter(server => !leaving.has(server.cfg.id))
          .forEach(server =>
            service.unmarkLeaving(server.cfg.id, LeavingSource.Platform, now),
          ),
      );
    services
      .all()
      .forEach(({service}) =>
        service.backendServers
          .filter(server => leaving.has(server.cfg.id))
          .forEach(server =>
            service.markLeaving(server.cfg.id, LeavingSource.Platform, now),
          ),
      );
  }
}
