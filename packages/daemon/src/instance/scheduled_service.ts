/**
 * A service together with the tasks that probe the backend servers that this
 * instance schedules.
 */
import {
  type ProbePermits,
  type ProberOptions,
  type Service,
  ServiceProbers,
} from '@ragworthall/balancer';

/** Reports a crash caused by a request content to the other instances. */
export type CrashBroadcast = (service: Service, fingerprint: string) => void;

/** A service with its probers and its crash reports. */
export class ScheduledService implements AsyncDisposable {
  private readonly probers: ServiceProbers;
  private readonly reportSubscription: Disposable;

  constructor(
    readonly service: Service,
    probePermits: ProbePermits,
    options: ProberOptions,
    broadcastCrash: CrashBroadcast,
  ) {
    this.probers = new ServiceProbers(service, probePermits, options);
    this.reportSubscription = service.quarantine.onReport(report => {
      if (report.kind === 'crash') broadcastCrash(service, report.fingerprint);
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.reportSubscription[Symbol.dispose]();
    await this.probers[Symbol.asyncDispose]();
    this.service[Symbol.dispose]();
  }
}
