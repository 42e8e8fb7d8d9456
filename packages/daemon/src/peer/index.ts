/** Links to the other instances of a cell. */
export {type LinkError, linkErrorMessage} from './link_error.js';
export type {PeerConnection} from './peer_connection.js';
export {type FleetLog, Peers, type PeersOptions} from './peers.js';
export {WinstonFleetLog} from './winston_fleet_log.js';
