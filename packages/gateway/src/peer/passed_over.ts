/** What an instance of another build sends on a link that this build does not know. */
import type {GatewayLog} from '../log/gateway_log.js';
import {NEWS_FORMAT} from './news_message.js';

/** Length of a name in the log, characters. */
const MAX_NAME_CHARS = 80;

/** Logs the first of what is passed over on one link. */
export class PassedOver {
  private isLogged = false;

  /** @param peer Id of the other instance. */
  constructor(
    private readonly peer: string,
    private readonly log: GatewayLog,
  ) {}

  /** Records the format of a message; a later one may have unknown fields. */
  recordFormat(format: number): void {
    if (format > NEWS_FORMAT) this.record(`fields of format ${format}`);
  }

  /** Records what was passed over. */
  record(what: string): void {
    if (this.isLogged) return;
    this.isLogged = true;
    const {peer} = this;
    const name = what.slice(0, MAX_NAME_CHARS);
    this.log.dependency('message_passed_over', {peer, what: name});
  }
}
