/** Parts of the daemon for benchmarks and tests. */
export * from './settings/settings.js';
export {DaemonLog} from './log/daemon_log.js';
export {withoutHops} from './caller/header_filter.js';
export {StopSignals} from './instance/stop_signals.js';
export {encode as encodePeerMessage, type PeerMessage} from './peer/message.js';
