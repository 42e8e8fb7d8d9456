/** Registry entries for tests. */
import {EntryState, type ServerEntry} from './shared_server.js';

/** Returns the entry of a ready server, overridden by `changes`. */
export function serverEntry(changes: Partial<ServerEntry> = {}): ServerEntry {
  return {
    id: 'x',
    service: 's',
    address: '10.0.0.1:80',
    failureDomain: 'a',
    slots: 2,
    state: EntryState.Ready,
    warmUpMs: 0,
    startedAt: 1,
    sequence: 1,
    ...changes,
  };
}
