/** Header names for tests. */
import type {WireFormat} from './wire_format.js';

/** A format whose servers tell nothing of themselves. */
export const TEST_WIRE: WireFormat = {
  headers: {
    requestId: 'x-id',
    timeLeft: 'x-left',
    expectedServer: 'x-server',
    serverId: 'x-server-id',
    notRun: 'x-not-run',
    signature: 'x-signature',
    load: 'x-load',
  },
  parseLoad: () => undefined,
  parseStatements: () => ({
    statements: [],
    malformed: new Map(),
    isLimitUnreadable: false,
  }),
};
