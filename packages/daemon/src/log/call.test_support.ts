/** A call for tests of the decision log and the metrics. */
import type {Call} from '@ragworthall/balancer';
import {Rank} from '@ragworthall/contracts';

/** An idempotent call without a body. */
export const CALL: Call = {
  id: 'call-1',
  serviceId: 'm/s',
  contract: {
    name: 'list',
    method: 'GET',
    path: '/list',
    rank: Rank.Live,
    idempotent: true,
    deadlineMs: 1_000,
    targetMs: 100,
  },
  rank: Rank.Live,
  method: 'GET',
  path: '/list',
  headers: [],
  body: new Uint8Array(0),
  deadline: 0,
  retriesLeft: 0,
  depth: 0,
  fingerprint: 'f',
};
