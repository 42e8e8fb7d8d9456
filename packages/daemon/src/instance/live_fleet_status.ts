/** Status of this instance and its cell for operators. */
import type {
  FleetStatus,
  InstanceStatus,
  QuarantineStatus,
  RefusalCount,
} from '@ragworthall/balancer';
import type {Peers} from '../peer/index.js';
import type {EntryInstance} from './entry_instance.js';
import type {ServiceEntry} from './service_map.js';

/** Reads the status from the running instance and its peers. */
export class LiveFleetStatus implements FleetStatus {
  constructor(
    private readonly peers: Peers,
    private readonly instance: EntryInstance,
  ) {}

  instances(now: number): readonly InstanceStatus[] {
    return this.peers.instances(now);
  }

  quarantines(now: number): readonly QuarantineStatus[] {
    return this.instance.services
      .all()
      .flatMap(entry => [
        ...ejectedServers(entry, now),
        ...quarantinedContents(entry, now),
      ]);
  }

  refusals(): readonly RefusalCount[] {
    return this.instance.refusals.counts();
  }
}

function ejectedServers(
  {service}: ServiceEntry,
  now: number,
): QuarantineStatus[] {
  return service.backendServers
    .filter(server => server.isEjected(now))
    .map(server => ({
      kind: 'backend_server',
      serviceId: service.id,
      id: server.cfg.id,
      reason: 'it failed or could not be reached',
      endsInMs: server.ejectedForMs(now),
    }));
}

function quarantinedContents(
  {service}: ServiceEntry,
  now: number,
): QuarantineStatus[] {
  return service.quarantine
    .crashCounts(now)
    .filter(count => count.quarantinedForMs > 0)
    .map(({fingerprint, crashes, quarantinedForMs}) => ({
      kind: 'request_content',
      serviceId: service.id,
      fingerprint,
      crashes,
      endsInMs: quarantinedForMs,
    }));
}
