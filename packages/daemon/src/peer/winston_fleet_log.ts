/** Logs the events of links and of the fleet with winston. */
import type {RenewalOutcome} from '@ragworthall/balancer';
import type {Logger} from 'winston';
import {type LinkError, linkErrorMessage} from './link_error.js';
import type {PeerConnection} from './peer_connection.js';
import type {FleetLog} from './peers.js';

/** Writes one log line for each event. */
export class WinstonFleetLog implements FleetLog {
  constructor(private readonly log: Logger) {}

  linkOpened(link: PeerConnection): void {
    this.log.info('linked', linkFields(link));
  }

  linkEnded(link: PeerConnection, err: LinkError): void {
    const fields = {reason: err.kind, detail: linkErrorMessage(err)};
    this.log.warn('link ended', {...linkFields(link), ...fields});
  }

  linkRefused(err: LinkError, address: string | undefined): void {
    // An instance that is down is redialled all the time; warnings would flood
    // the log.
    const level = err.kind === 'unreachable' ? 'debug' : 'warn';
    const detail = linkErrorMessage(err);
    this.log.log(level, 'link refused', {address, reason: err.kind, detail});
  }

  messageIgnored(link: PeerConnection, kind: string): void {
    const detail = 'it comes from a later version; upgrade this instance';
    const fields = {message: kind, detail};
    this.log.warn('message ignored', {...linkFields(link), ignored: fields});
  }

  servingChanged(instances: readonly string[]): void {
    this.log.info('ownership changed', {serving: instances});
  }

  /** The outcome of renewing the seat differs from the previous one. */
  seatRenewed(renewal: RenewalOutcome): void {
    switch (renewal.kind) {
      case 'confirmed':
        this.log.info('revision confirmed by the table');
        return;
      case 'behind':
        this.log.info('newer revision in the table', {newest: renewal.newest});
        return;
      case 'superseded':
        this.log.error(
          'a later incarnation holds the seat; stop this process, or configure its own seat',
          {by: renewal.by},
        );
        return;
      case 'unreachable':
        this.log.warn(
          'the table cannot be reached; serving continues as long as peers confirm the revision',
          {detail: renewal.detail},
        );
        return;
      default:
        throw new Error(`unexpected renewal: ${renewal satisfies never}`);
    }
  }
}

function linkFields(link: PeerConnection) {
  const {instance, incarnation, peer} = link;
  return {peer: instance, incarnation, seat: peer.seat};
}
