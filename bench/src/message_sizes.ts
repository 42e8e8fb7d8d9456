/**
 * Prints the sizes of control messages in bytes, for docs/CAPACITY.md: a cell
 * of 8 seats, a service of 18 backend servers and 3 contracts, names of typical
 * length. Run: `node bench/dist/message_sizes.js`.
 */
import {type ServiceConfig, serviceSchema} from '@ragworthall/contracts';
import {encodePeerMessage, type PeerMessage} from '@ragworthall/daemon';

const SEATS = 8;
const SERVERS = 18;
const CONTRACTS = 3;

const SEAT_HOLDER = {
  instance: 'entry-1234',
  incarnation: '0m2k3abcd0123456789ab',
  failureDomain: 'region-1-domain-3',
  peerAddress: '10.20.100.113:9002',
  callerUrl: 'http://10.20.100.113:9000',
};

const HEARTBEAT: PeerMessage = {
  kind: 'heartbeat',
  facts: [345_600, 345_599, 12_400_000, 812, 7],
};

const SEAT_REPORTS: PeerMessage = {
  kind: 'seats',
  reports: Array.from({length: SEATS}, () => ({
    kind: 'held' as const,
    holder: SEAT_HOLDER,
    recent: false,
  })),
};

const CHANGE: PeerMessage = {
  kind: 'change',
  record: {
    revision: 12_400_000,
    operationId: '01234567-89ab-cdef-0123-456789abcdef',
    by: 'ubuntu-steps',
    changes: [{kind: 'put', service: serviceOf()}],
  },
};

function serviceOf(): ServiceConfig {
  return serviceSchema.parse({
    member: 'ubuntu-steps',
    name: 'reservations',
    backendServers: Array.from({length: SERVERS}, (_, i) => ({
      id: `reservations-${i + 10}`,
      address: `10.1.100.${i + 10}:8080`,
      failureDomain: 'region-1-domain-3',
      slots: 3,
    })),
    contracts: Array.from({length: CONTRACTS}, (_, i) => ({
      name: `contract-${i}`,
      method: 'POST',
      path: `/bookings/:id/items-${i}`,
      rank: 1,
      idempotent: false,
      deadlineMs: 2_000,
      targetMs: 200,
    })),
  });
}

/** The row of a seat in a list of the table's rows. */
const SEAT_ROW = {
  key: 'cell/consortium-12/instance/3',
  version: 123_456,
  value: {format: 1, state: 'serving', holder: SEAT_HOLDER},
};

/** An entry of the platform's list of instances. */
const INSTANCE_ENTRY = {
  id: 'reservations-10-worker-12',
  address: '10.1.100.10:8080',
  state: 'live',
};

const print = (name: string, bytes: number) => console.log(name, bytes);
print('heartbeat', encodePeerMessage(HEARTBEAT).length);
print('seat reports', encodePeerMessage(SEAT_REPORTS).length);
print('change of one service', encodePeerMessage(CHANGE).length);
print('row of a seat, JSON', JSON.stringify(SEAT_ROW).length);
print(
  'entry of the list of instances, JSON',
  JSON.stringify(INSTANCE_ENTRY).length,
);
