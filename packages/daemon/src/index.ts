/** Parts of the daemon that other front ends, benchmarks and tests use. */
export * from './settings/settings.js';
export {DaemonLog} from './log/daemon_log.js';
export {keepAfterConnect} from './caller/connect_request.js';
export {removeHopByHopHeaders} from './caller/header_filter.js';
export {HeadProgress} from './caller/head_progress.js';
export {areValidFields} from './caller/header_syntax.js';
export {
  closeLingering,
  lingerAfterLastAnswer,
} from './caller/lingering_close.js';
export {TRUNCATED_CODE} from './caller/message_fault.js';
export {discardInput} from './caller/parser_detachment.js';
export {
  SLOWEST_READER,
  type SlowestReader,
  stallLimitMs,
} from './caller/slowest_reader.js';
export {StopSignals} from './instance/stop_signals.js';
export {BodyBuffer} from './message/body_buffer.js';
export {settlesWithin} from './instance/settles_within.js';
export {Dialler} from './peer/dialler.js';
export {type FrameCodec, frameCodec} from './peer/frame_codec.js';
export {type LinkError, linkErrorMessage} from './peer/link_error.js';
export {encode as encodePeerMessage, type PeerMessage} from './peer/message.js';
export {PeerListener} from './peer/peer_listener.js';
export {PeerSocket, SETUP_TIMEOUT_MS} from './peer/peer_socket.js';
