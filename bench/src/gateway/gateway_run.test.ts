import test from 'ava';
import {reportOf} from '../history/run_report.js';
import {runGatewayWithFaults} from './gateway_run.js';

const SEED = 7;
const LENGTH_MS = 8_000;
/** Enough for instances to forward updates to each other. */
const INSTANCES = 9;

test('the gateway violates no guarantee in a run with faults', async t => {
  const run = await runGatewayWithFaults(SEED, LENGTH_MS, INSTANCES);
  const report = reportOf(run);
  t.deepEqual(report.violations, []);
  t.true(report.recovered);
  t.true(report.requests > 0);
  t.true((report.endings['answered'] ?? 0) > 0);
});
