import type {ServiceId} from '@ragworthall/contracts';
import test from 'ava';
import fc from 'fast-check';
import {ownerOfServer, ownersOf} from './ownership.js';

const SERVERS = Array.from({length: 40}, (unused, i) => `b${i}`);

const instances = fc.uniqueArray(fc.stringMatching(/^i[0-9]{1,4}$/), {
  minLength: 1,
  maxLength: 16,
});

/** Returns the owner of each backend server. */
function assign(ids: readonly string[], service: ServiceId, count: number) {
  const owners = ownersOf(ids, service, count);
  return SERVERS.map(server => ownerOfServer(owners, service, server)!);
}

test('losing an instance moves only its own servers and those its successor gains', t => {
  fc.assert(
    fc.property(instances, fc.nat(), fc.nat({max: 3}), (ids, pick, more) => {
      const lost = ids[pick % ids.length]!;
      const rest = ids.filter(id => id !== lost);
      if (rest.length === 0) return;
      const before = assign(ids, 'm/s', more + 1);
      const after = assign(rest, 'm/s', more + 1);
      before.forEach((owner, i) => {
        const isNew = !before.includes(after[i]!);
        t.true(after[i] === owner || owner === lost || isNew);
        t.not(after[i], lost);
      });
      if (!ownersOf(ids, 'm/s', more + 1).includes(lost)) {
        t.deepEqual(after, before);
      }
    }),
    {seed: 11, numRuns: 300},
  );
});

test('ownership does not depend on the order of the instance list', t => {
  fc.assert(
    fc.property(instances, ids => {
      const sorted = [...ids].sort();
      t.deepEqual(assign(ids, 'm/s', 2), assign(sorted, 'm/s', 2));
    }),
    {seed: 12, numRuns: 100},
  );
});

test('services are spread evenly over the instances', t => {
  const ids = Array.from({length: 16}, (unused, i) => `i${i}`);
  const counts = new Map<string, number>();
  Array.from({length: 1_900}, (unused, i) => `m/s${i}` as const).forEach(id => {
    const [owner] = ownersOf(ids, id, 1);
    counts.set(owner!, (counts.get(owner!) ?? 0) + 1);
  });
  const mean = 1_900 / 16;
  ids.forEach(id => {
    t.true(Math.abs(counts.get(id)! - mean) < mean / 2);
  });
});
