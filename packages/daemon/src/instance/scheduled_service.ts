/**
 * A service together with the tasks that keep watch over the backend servers
 * that this instance schedules.
 */
import {
  type ProbePermits,
  type ProberOptions,
  type Service,
  ServiceProbers,
} from '@ragworthall/balancer';

/** Tells the other instances of a crash that a request content caused. */
export type CrashGossip = (service: Service, fingerprint: string) => void;

/** A service and its watch. */
export class ScheduledService implements AsyncDisposable {
  private readonly probers: ServiceProbers;
  private readonly reports: Disposable;

  constructor(
    readonly service: Service,
    rights: ProbePermits,
    options: ProberOptions,
    gossip: CrashGossip,
  ) {
    this.probers = new ServiceProbers(service, rights, options);
    this.reports = service.quarantine.onReport(report => {
      if (report.kind === 'crash') gossip(service, report.fingerprint);
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.reports[Symbol.dispose]();
    await this.probers[Symbol.asyncDispose]();
    this.service[Symbol.dispose]();
  }
}
