import test from 'ava';
import {runDaemonsWithFaults} from './fault_run.js';
import {reportOf} from './run_report.js';

const SEED = 1533;
const LENGTH_MS = 8_000;

test('daemons violate no guarantee in a run with faults', async t => {
  const run = await runDaemonsWithFaults(SEED, LENGTH_MS);
  const report = reportOf(run);
  t.deepEqual(report.violations, []);
  t.true(run.history.stops.length > 0);
  t.true(report.requests > 0);
  t.true((report.endings['answered'] ?? 0) > 0);
});
