/** Writes a line for each event of the links and of the fleet. */
import type {RenewalOutcome} from '@ragworthall/balancer';
import type {Logger} from 'winston';
import {type LinkError, linkErrorMessage} from './link_error.js';
import type {PeerConnection} from './peer_connection.js';
import type {FleetLog} from './peers.js';

/** A log of the fleet by winston. */
export class WinstonFleetLog implements FleetLog {
  constructor(private readonly log: Logger) {}

  linked(link: PeerConnection): void {
    this.log.info('linked', fieldsOf(link));
  }

  ended(link: PeerConnection, err: LinkError): void {
    const what = {reason: err.kind, detail: linkErrorMessage(err)};
    this.log.warn('link ended', {...fieldsOf(link), ...what});
  }

  refused(err: LinkError, address: string | undefined): void {
    // An instance that is down is dialled again and again.
    const level = err.kind === 'unreachable' ? 'debug' : 'warn';
    const detail = linkErrorMessage(err);
    this.log.log(level, 'link refused', {address, reason: err.kind, detail});
  }

  ignored(link: PeerConnection, kind: string): void {
    const detail = 'it belongs to a later version; upgrade this instance';
    const what = {message: kind, detail};
    this.log.warn('message ignored', {...fieldsOf(link), ignored: what});
  }

  servingChanged(instances: readonly string[]): void {
    this.log.info('ownership changed', {serving: instances});
  }

  /** What a renewal of the seat came to. */
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
          'a later start holds the seat; end this process, or give it a seat of its own',
          {by: renewal.by},
        );
        return;
      case 'unreachable':
        this.log.warn(
          'the table cannot be reached; serving goes on while peers confirm the revision',
          {detail: renewal.detail},
        );
        return;
      default:
        throw new Error(`unexpected renewal: ${renewal satisfies never}`);
    }
  }
}

function fieldsOf(link: PeerConnection) {
  const {instance, incarnation, peer} = link;
  return {peer: instance, incarnation, seat: peer.seat};
}
