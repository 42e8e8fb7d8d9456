/** The demo: both members' services under load, a flood and failures. */
import {
  Caller,
  checkHistory,
  Cluster,
  EMPTY_HISTORY,
  type History,
  type Observation,
  runLoad,
  seeded,
} from '@ragworthall/bench';
import {type ServiceConfig, serviceIdOf} from '@ragworthall/contracts';
import {writeFile} from 'node:fs/promises';
import {type EventRecord, eventsOf, loadsOf} from './demo_load.js';
import {type DemoOptions, HELP, readOptions} from './demo_options.js';
import {reportOf, textOf} from './demo_report.js';
import {KILLED_SERVER, readExamples, startServers} from './demo_services.js';
import {keepRunning} from './keep.js';

const DAEMONS = 3;
const CALLERS = 4;
/** Time between probes that the examples' budgets allow, milliseconds. */
const PROBE_INTERVAL_MS = 600;

/** Exit codes of the process. */
const ExitCode = {Held: 0, Broken: 1, Usage: 2} as const;

async function main(): Promise<number> {
  const options = readOptions(process.argv.slice(2));
  if (options === 'help') {
    process.stdout.write(HELP);
    return ExitCode.Held;
  }
  if ('problem' in options) {
    process.stderr.write(`${options.problem}; see npm run demo -- --help\n`);
    return ExitCode.Usage;
  }
  return run(options);
}

async function run(options: DemoOptions): Promise<number> {
  const startedAt = performance.now();
  const say = (line: string) => {
    const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1);
    process.stdout.write(`${seconds.padStart(6)} s  ${line}\n`);
  };
  await using cluster = await startCluster();
  say(`${DAEMONS} daemons and the platform's stand-in run`);
  const examples = await readExamples();
  const services = await startServers(cluster, examples, options.seed);
  say(`${cluster.servers.length} stand-ins of backend servers run`);
  await cluster.apply(services);
  await inForce(cluster, services);
  say(`${services.length} services are in force everywhere`);
  const probedFrom = performance.now();
  const history = await load(cluster, services, options, say);
  const probedSeconds = (performance.now() - probedFrom) / 1_000;
  const report = reportOf(history, checkHistory(history), probedSeconds);
  process.stdout.write(`\n${textOf(report)}\n`);
  if (options.json) {
    const json = JSON.stringify({options, ...report}, undefined, 2);
    await writeFile(options.json, `${json}\n`);
  }
  if (options.keep) await keepRunning(cluster, say);
  return report.violations.length === 0 ? ExitCode.Held : ExitCode.Broken;
}

function startCluster(): Promise<Cluster> {
  const shares = [
    {member: 'ubuntu-steps', share: 0.5},
    {member: 'altamar', share: 0.5},
  ];
  return Cluster.start({
    daemons: DAEMONS,
    members: shares.map(({member}) => member),
    failureDomains: ['us-a', 'us-b', 'al-a'],
    settings: {limits: {shares}},
  });
}

async function inForce(
  cluster: Cluster,
  services: readonly ServiceConfig[],
): Promise<void> {
  await Promise.all(
    services.map(cfg => cluster.waitUntilInForce(serviceIdOf(cfg))),
  );
}

/** Sends the load; returns what callers saw and what the servers recorded. */
async function load(
  cluster: Cluster,
  services: readonly ServiceConfig[],
  options: DemoOptions,
  say: (line: string) => void,
): Promise<History> {
  const {seconds, seed} = options;
  const record: EventRecord = {stops: [], killedLedger: undefined};
  const callers = Array.from(
    {length: CALLERS},
    (_, i) => new Caller(`demo${seed}c${i}`, () => urlsOf(cluster)),
  );
  say(`callers send for ${seconds} s`);
  const {observations} = await runLoad(
    callers,
    loadsOf(services, seconds * 1_000),
    eventsOf(cluster, seconds * 1_000, record, say),
    seeded(seed),
  );
  say('every request has ended');
  await Promise.all(callers.map(caller => caller[Symbol.asyncDispose]()));
  return historyOf(cluster, observations, record);
}

async function historyOf(
  cluster: Cluster,
  observations: readonly Observation[],
  record: EventRecord,
): Promise<History> {
  const ledgers = new Map(await cluster.fetchLedgers());
  const {killedLedger, stops} = record;
  if (killedLedger) ledgers.set(KILLED_SERVER, killedLedger);
  const servers = [...ledgers].map(([id, ledger]) => ({
    id,
    ledger,
    probeIntervalMs: PROBE_INTERVAL_MS,
    probers: cluster.daemons.length,
  }));
  return {...EMPTY_HISTORY, observations, servers, stops, hadFaults: true};
}

function urlsOf(cluster: Cluster): readonly string[] {
  return cluster.daemons.map(daemon => daemon.callersUrl);
}

process.exitCode = await main();
