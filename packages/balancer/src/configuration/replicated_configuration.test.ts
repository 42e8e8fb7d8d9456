import {
  type Configuration,
  EMPTY_CONFIGURATION,
  type ServiceChange,
  serviceSchema,
  withChange,
} from '@ragworthall/contracts';
import test from 'ava';
import fc from 'fast-check';
import {MemoryTable, type TableFault} from '../platform/memory_table.js';
import {ReplicatedConfiguration} from './replicated_configuration.js';
import {type InvalidRow, ConfigurationRows} from './configuration_rows.js';

const NEVER = new AbortController().signal;
const ROWS = new ConfigurationRows('c');

/** A replicated configuration whose clock advances with its pauses. */
class TestInstance {
  fault: TableFault = 'none';
  readonly invalidRows: InvalidRow[] = [];
  readonly configuration: ReplicatedConfiguration;
  private now = 0;

  constructor(table: MemoryTable) {
    this.configuration = new ReplicatedConfiguration(
      table.client(() => this.fault),
      'c',
      {
        now: () => this.now,
        pause: async ms => void (this.now += ms),
        reportInvalidRow: row => void this.invalidRows.push(row),
      },
    );
    this.configuration.setPropagator({
      publish: () => undefined,
      waitUntilAccepted: async () => true,
    });
  }

  submit(operationId: string, names: readonly string[], baseRevision: number) {
    const changes = names.map(name => put(name));
    const req = {operationId, by: `by ${operationId}`, baseRevision, changes};
    return this.configuration.submit(req, NEVER);
  }
}

/** @param version Distinguishes the content from that of other changes. */
function put(name: string, version = 1): ServiceChange {
  const contract = {
    name: 'read',
    method: 'GET',
    path: '/x',
    rank: 2,
    idempotent: true,
    deadlineMs: 1000,
    targetMs: version,
  };
  const service = serviceSchema.parse({
    member: 'm',
    name,
    backendServers: [],
    contracts: [contract],
  });
  return {kind: 'put', service};
}

test('a write whose answer is lost is found by its operation id', async t => {
  const table = new MemoryTable();
  const a = new TestInstance(table);
  const b = new TestInstance(table);
  a.fault = 'answers_lost';
  t.is((await a.submit('op1', ['x'], 0)).kind, 'unresolved');
  const again = await b.submit('op1', ['x'], 0);
  t.deepEqual(again, {kind: 'accepted', revision: 1});
  t.is((await b.submit('op2', ['x'], 1)).kind, 'accepted');
  // Another change has been written since, but the answer stays the same.
  const later = await a.submit('op1', ['x'], 0);
  t.is(later.kind, 'unresolved');
  a.fault = 'none';
  t.deepEqual(await a.submit('op1', ['x'], 0), again);
});

test('the second of two changes to one service gets a conflict', async t => {
  const table = new MemoryTable();
  const a = new TestInstance(table);
  const b = new TestInstance(table);
  await a.submit('op1', ['x'], 0);
  t.deepEqual(await b.submit('op2', ['x'], 0), {
    kind: 'conflict',
    revision: 1,
    by: 'by op1',
  });
  t.is((await b.submit('op3', ['y'], 0)).kind, 'accepted');
});

test('a change is refused as not written while the table is down', async t => {
  const a = new TestInstance(new MemoryTable());
  a.fault = 'down';
  t.is((await a.submit('op1', ['x'], 0)).kind, 'store_unavailable');
});

test('a row that cannot be parsed leaves the configuration in force', async t => {
  const table = new MemoryTable();
  const a = new TestInstance(table);
  const b = new TestInstance(table);
  await a.submit('op1', ['x'], 0);
  await b.configuration.refresh();
  await a.submit('op2', ['y'], 0);
  table.overwrite(ROWS.changeKey(2), {format: 2});
  await b.configuration.refresh();
  t.is(b.configuration.current().revision, 1);
  t.deepEqual(
    b.invalidRows.map(row => row.key),
    [ROWS.changeKey(2)],
  );
});

test('the table keeps the last hundred changes', async t => {
  const table = new MemoryTable();
  const a = new TestInstance(table);
  for (let i = 1; i <= 103; i += 1) await a.submit(`op${i}`, ['x'], i);
  const read = await table.client().list(`${ROWS.prefix}change/`);
  t.is(read.kind === 'rows' ? read.rows.length : 0, 100);
  const fresh = new TestInstance(table);
  await fresh.configuration.refresh();
  t.is(fresh.configuration.current().revision, 103);
});

const fault = fc.constantFrom<TableFault>(
  ...(['none', 'none', 'down', 'answers_lost', 'stale', 'mixed'] as const),
);
const step = fc.record({
  instance: fc.nat({max: 2}),
  fault,
  names: fc.uniqueArray(fc.constantFrom('x', 'y', 'z'), {
    minLength: 1,
    maxLength: 2,
  }),
  removes: fc.boolean(),
  lag: fc.nat({max: 3}),
  action: fc.constantFrom(...(['submit', 'refresh', 'restart'] as const)),
});

test('every instance has the configuration that results from the changes', async t => {
  let compared = 0;
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, {minLength: 20, maxLength: 40}),
      async steps => {
        const table = new MemoryTable();
        const instances = [0, 1, 2].map(() => new TestInstance(table));
        const known = new Map([[0, EMPTY_CONFIGURATION]]);
        for (const [i, {instance, action, lag, ...next}] of steps.entries()) {
          if (action === 'restart')
            instances[instance] = new TestInstance(table);
          const target = instances[instance]!;
          const before = target.configuration.current().revision;
          target.fault = next.fault;
          const changes = next.names.map(name =>
            next.removes
              ? ({kind: 'remove', serviceId: `m/${name}`} as const)
              : put(name, i + 1),
          );
          const req = {
            operationId: `op${i}`,
            by: 'm',
            baseRevision: before - lag,
            changes,
          };
          if (action === 'submit')
            await target.configuration.submit(req, NEVER);
          else await target.configuration.refresh();
          await replayChanges(table, known);
          t.true(target.configuration.current().revision >= before);
          instances.forEach(({configuration: one}) => {
            const cfg = one.current();
            t.deepEqual(contents(cfg), contents(known.get(cfg.revision)!));
            compared += cfg.revision > 0 ? 1 : 0;
          });
        }
      },
    ),
    {seed: 7, numRuns: 200},
  );
  t.log(`${compared} compared`);
  t.true(compared > 1000);
});

/** Replays the changes that the table contains. */
async function replayChanges(
  table: MemoryTable,
  known: Map<number, Configuration>,
): Promise<void> {
  for (;;) {
    const revision = known.size;
    const read = await table.client().read(ROWS.changeKey(revision));
    const row = read.kind === 'rows' ? read.rows[0] : undefined;
    const parsed = ROWS.parseChange(row);
    if (parsed.kind !== 'value') return;
    known.set(revision, withChange(known.get(revision - 1)!, parsed.value));
  }
}

function contents(cfg: Configuration) {
  const services = [...cfg.services].sort(([a], [b]) => (a < b ? -1 : 1));
  return {revision: cfg.revision, services};
}
