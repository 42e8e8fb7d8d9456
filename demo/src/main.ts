/** The demo: runs both members' services under load, overload and failures. */
import {
  Caller,
  checkHistory,
  Cluster,
  EMPTY_HISTORY,
  type History,
  type Observation,
  runLoad,
  seededRandom,
} from '@ragworthall/bench';
import {type ServiceConfig, serviceIdOf} from '@ragworthall/contracts';
import {writeFile} from 'node:fs/promises';
import {type EventResults, buildEvents, buildLoads} from './demo_load.js';
import {type DemoOptions, HELP, readOptions} from './demo_options.js';
import {buildReport, formatReport} from './demo_report.js';
import {KILLED_SERVER, readExamples, startServers} from './demo_services.js';
import {keepRunning} from './keep_running.js';

const DAEMON_COUNT = 3;
const CALLER_COUNT = 4;
/** Minimum time between probes under the examples' budgets, in milliseconds. */
const PROBE_INTERVAL_MS = 600;

/** Exit codes of the process. */
const ExitCode = {Success: 0, GuaranteeViolated: 1, Usage: 2} as const;

async function main(): Promise<number> {
  const options = readOptions(process.argv.slice(2));
  if (options === 'help') {
    process.stdout.write(HELP);
    return ExitCode.Success;
  }
  if ('problem' in options) {
    process.stderr.write(`${options.problem}; see npm run demo -- --help\n`);
    return ExitCode.Usage;
  }
  return run(options);
}

async function run(options: DemoOptions): Promise<number> {
  const startedAt = performance.now();
  const logProgress = (line: string) => {
    const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1);
    process.stdout.write(`${seconds.padStart(6)} s  ${line}\n`);
  };
  await using cluster = await startCluster();
  logProgress(`started ${DAEMON_COUNT} daemons and the stand-in platform`);
  const examples = await readExamples();
  const services = await startServers(cluster, examples, options.seed);
  logProgress(`started ${cluster.servers.length} stand-in backend servers`);
  await cluster.apply(services);
  await waitUntilInForce(cluster, services);
  logProgress(`${services.length} services are in force on all daemons`);
  const probedFrom = performance.now();
  const history = await sendLoad(cluster, services, options, logProgress);
  const probedSeconds = (performance.now() - probedFrom) / 1_000;
  const report = buildReport(history, checkHistory(history), probedSeconds);
  process.stdout.write(`\n${formatReport(report)}\n`);
  if (options.json) {
    const json = JSON.stringify({options, ...report}, undefined, 2);
    await writeFile(options.json, `${json}\n`);
  }
  if (options.keep) await keepRunning(cluster, logProgress);
  return report.violations.length === 0
    ? ExitCode.Success
    : ExitCode.GuaranteeViolated;
}

function startCluster(): Promise<Cluster> {
  const shares = [
    {member: 'ubuntu-steps', share: 0.5},
    {member: 'altamar', share: 0.5},
  ];
  return Cluster.start({
    daemons: DAEMON_COUNT,
    members: shares.map(({member}) => member),
    failureDomains: ['us-a', 'us-b', 'al-a'],
    settings: {limits: {shares}},
  });
}

async function waitUntilInForce(
  cluster: Cluster,
  services: readonly ServiceConfig[],
): Promise<void> {
  await Promise.all(
    services.map(cfg => cluster.waitUntilInForce(serviceIdOf(cfg))),
  );
}

/** Sends the load; returns the observations of callers and the ledgers. */
async function sendLoad(
  cluster: Cluster,
  services: readonly ServiceConfig[],
  options: DemoOptions,
  logProgress: (line: string) => void,
): Promise<History> {
  const {seconds, seed} = options;
  const results: EventResults = {stops: [], killedLedger: undefined};
  const callers = Array.from(
    {length: CALLER_COUNT},
    (_, i) => new Caller(`demo${seed}c${i}`, () => callerUrlsOf(cluster)),
  );
  logProgress(`sending load for ${seconds} s`);
  const {observations} = await runLoad(
    callers,
    buildLoads(services, seconds * 1_000),
    buildEvents(cluster, seconds * 1_000, results, logProgress),
    seededRandom(seed),
  );
  logProgress('all requests have completed');
  await Promise.all(callers.map(caller => caller[Symbol.asyncDispose]()));
  return collectHistory(cluster, observations, results);
}

async function collectHistory(
  cluster: Cluster,
  observations: readonly Observation[],
  results: EventResults,
): Promise<History> {
  const ledgers = new Map(await cluster.fetchLedgers());
  const {killedLedger, stops} = results;
  if (killedLedger) ledgers.set(KILLED_SERVER, killedLedger);
  const servers = [...ledgers].map(([id, ledger]) => ({
    id,
    ledger,
    probeIntervalMs: PROBE_INTERVAL_MS,
    probers: cluster.daemons.length,
  }));
  return {...EMPTY_HISTORY, observations, servers, stops, hadFaults: true};
}

function callerUrlsOf(cluster: Cluster): readonly string[] {
  return cluster.daemons.map(daemon => daemon.callersUrl);
}

process.exitCode = await main();
