/** Puts the parts of an entry instance together and runs them until a stop. */
import {
  CallRunner,
  type Clock,
  ReplicatedConfiguration,
  type FleetStatus,
  incarnationOf,
  type InstanceIdentity,
  LEASE_MS,
  MemberShares,
  type ProberOptions,
  ProbePermits,
  PROCESS_TIMERS,
  RequestLedger,
  SeatRegistration,
  Service,
} from '@ragworthall/balancer';
import {randomBytes, randomInt} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import type {Logger} from 'winston';
import {HttpBackendLink} from '../backend_server/http_backend_link.js';
import {CallContextCodec} from '../caller/call_context.js';
import {CallerServer} from '../caller/caller_server.js';
import {DaemonLog} from '../log/daemon_log.js';
import {WinstonDecisionLog} from '../log/winston_decision_log.js';
import {HealthServer, type Readiness, Unready} from '../health/index.js';
import {
  CountedDecisions,
  Gauge,
  Metrics,
  ProcessReport,
} from '../metrics/index.js';
import {HashedOperatorTokens, OperatorServer} from '../operator/index.js';
import {Peers, WinstonFleetLog} from '../peer/index.js';
import {HttpInstanceList} from '../platform/instance_list.js';
import {HttpTable} from '../platform/http_table.js';
import {PlatformClient} from '../platform/platform_client.js';
import {SeatRenewalTask} from '../platform/seat_renewal_task.js';
import {parseAddress} from '../settings/address.js';
import type {Settings} from '../settings/settings.js';
import {EntryInstance} from './entry_instance.js';
import {stopGracefully} from './graceful_stop.js';
import {LiveStatus} from './instance_status.js';
import {LeavingWatch} from './leaving_watch.js';
import {MemberDesk} from './member_desk.js';
import {PeerDesk} from './peer_desk.js';
import {PeerProbes} from './peer_probes.js';
import {type CrashGossip, ScheduledService} from './scheduled_service.js';
import type {ServiceFactory} from './service_map.js';
import {SignHandover} from './sign_handover.js';
import {StopSignals} from './stop_signals.js';

const LEDGER_LIMITS = {
  recordsPerMember: 250_000,
  answerBytes: 16_384,
  bytesPerMember: 16_777_216,
};
/** Calls and bytes that an instance holds at the same time. */
const CAPACITY = {calls: 20_000, bytes: 268_435_456};
/** Steps of a random number from 0 to 1. */
const RANDOM_STEPS = 2 ** 32;

const CLOCK: Clock = {now: () => performance.now()};

/** Runs an instance; resolves with whether it stopped without cutting a call. */
export async function runDaemon(settings: Settings): Promise<boolean> {
  using stop = new StopSignals();
  using daemonLog = new DaemonLog('info', settings.instance.id);
  const log = daemonLog.logger;
  await using metrics = metricsOf(settings, log);
  const identity = identityOf(settings);
  const platform = {clock: CLOCK, random};
  const {url} = settings.platform;
  await using store = new PlatformClient(url, identity.id, platform);
  const table = new HttpTable(store);
  const contexts = new CallContextCodec(settings.cell.secret);
  await using backend = new HttpBackendLink(
    settings.limits.bodyBytes,
    contexts,
  );
  const keeper = new ReplicatedConfiguration(table, identity.cell, {
    now: () => CLOCK.now(),
    pause: (ms, signal) =>
      delay(ms * random(), undefined, {signal}).catch(() => undefined),
    reportInvalidRow: row => log.error('row of the table was set aside', row),
  });
  const lines = new WinstonDecisionLog(log);
  const decisions = settings.metrics.enabled
    ? new CountedDecisions(metrics, lines)
    : lines;
  const shares = new MemberShares(CAPACITY);
  const runner = new CallRunner(
    backend,
    decisions,
    CLOCK,
    PROCESS_TIMERS,
    shares,
  );
  const rights = new ProbePermits(identity);
  const handover = new SignHandover(
    signs => peers.broadcast({kind: 'signs', signs}),
    CLOCK,
  );
  const fleetLog = new WinstonFleetLog(log);
  await using peers: Peers = await Peers.listen({
    identity,
    listen: bindingOf(settings.listen.peers),
    secret: settings.cell.secret,
    seeds: settings.cell.seeds,
    bodyBytes: settings.limits.bodyBytes,
    configuration: keeper,
    handlers: new PeerDesk({
      instance: () => instance,
      backend,
      rights,
      mayProbe: now => peers.mayServe(now),
      clock: CLOCK,
      handover,
    }),
    clock: CLOCK,
    wallClock: () => Date.now(),
    random,
    log: fleetLog,
  });
  const createService = serviceFactory(settings, peers, backend, rights);
  await using instance: EntryInstance = new EntryInstance({
    identity,
    configuration: keeper,
    fleet: peers,
    runner,
    ledger: new RequestLedger(LEDGER_LIMITS, identity.startedAt),
    clock: CLOCK,
    createService,
    handover,
  });
  await using callers = new CallerServer(instance, settings.limits, {
    gate: new MemberDesk(shares, keeper, CLOCK),
    contexts,
    metrics,
    clock: CLOCK,
    graceMs: settings.stop.graceMs,
  });
  const status = new LiveStatus(peers, instance);
  await using operators = await startOperators(settings, keeper, status, log);
  await using health = await HealthServer.start({
    ...bindingOf(settings.listen.health),
    readiness: readinessOf(peers, keeper),
    log: daemonLog,
    clock: CLOCK,
  });
  await using listing = new PlatformClient(url, identity.id, platform);
  await using ownedLeaving = new LeavingWatch({
    list: new HttpInstanceList(listing),
    services: instance.services,
    clock: CLOCK,
    random,
  });
  await using ownedReport = new ProcessReport(
    metrics,
    () => [
      [Gauge.Connections, callers.connections],
      [Gauge.BodyBytes, callers.bodyBytes],
      [Gauge.Revision, keeper.current().revision],
    ],
    CLOCK.now,
  );
  const {host, port} = bindingOf(settings.listen.callers);
  const bound = await callers.listen(port, host);
  const callerUrl = urlOf(bound);
  peers.join(callerUrl);
  await using ownedWatch = new SeatRenewalTask({
    seats: identity.seats,
    registration: new SeatRegistration(table, peers.membership, keeper, CLOCK),
    configuration: keeper,
    fleet: peers,
    clock: CLOCK,
    random,
    onRenewal: renewal => fleetLog.seatRenewed(renewal),
  });
  log.info('listening', {
    callers: callerUrl,
    operators: operators.url,
    peers: `http://${peers.address}`,
    health: health.url,
  });
  daemonLog.setLevel(settings.log.level);
  await stop.first;
  const {graceMs} = settings.stop;
  return await stopGracefully({peers, callers, instance, stop, log, graceMs});
}

/** Returns what makes a service with its probers. */
function serviceFactory(
  settings: Settings,
  peers: Peers,
  backend: HttpBackendLink,
  rights: ProbePermits,
): ServiceFactory {
  const probing: ProberOptions = {
    backend,
    delegate: new PeerProbes(() => peers.openLinks),
    clock: CLOCK,
    timers: PROCESS_TIMERS,
    mayProbe: now => peers.mayServe(now),
  };
  const gossip: CrashGossip = (service, fingerprint) => {
    const count = service.quarantine
      .crashCounts(CLOCK.now())
      .find(c => c.fingerprint === fingerprint);
    if (!count) return;
    const {crashes} = count;
    const told = {serviceId: service.id, fingerprint, crashes, ageMs: 0};
    peers.broadcast({kind: 'crashes', counts: [told]});
  };
  return cfg => {
    const service = new Service(cfg, {
      clock: CLOCK,
      policy: {kind: settings.dispatch.policy},
      signs: {kind: 'required'},
      mayDispatch: now => peers.mayServe(now),
      failureDomain: settings.instance.failureDomain,
    });
    return new ScheduledService(service, rights, probing, gossip);
  };
}

function identityOf(settings: Settings): InstanceIdentity {
  return {
    ...settings.instance,
    cell: settings.cell.name,
    seat: settings.cell.seat,
    seats: settings.cell.seats,
    incarnation: incarnationOf(Date.now(), randomBytes(6).toString('hex')),
    startedAt: CLOCK.now(),
  };
}

function startOperators(
  settings: Settings,
  keeper: ReplicatedConfiguration,
  status: FleetStatus,
  log: Logger,
): Promise<OperatorServer> {
  const hashes = settings.operators.map(
    o => [o.member, o.tokenSha256] as const,
  );
  return OperatorServer.start({
    ...bindingOf(settings.listen.operators),
    configuration: keeper,
    fleet: status,
    tokens: new HashedOperatorTokens(new Map(hashes)),
    clock: CLOCK,
    audit: {record: event => log.info('operator', event)},
    fencedAfterMs: LEASE_MS,
  });
}

/** Returns whether callers should be sent here, and if not, why. */
function readinessOf(peers: Peers, keeper: ReplicatedConfiguration): Readiness {
  return {
    check(now) {
      const reasons = [
        ...(peers.state === 'stopping' ? [Unready.Stopping] : []),
        ...(keeper.current().revision === 0 ? [Unready.NoConfiguration] : []),
        ...(peers.mayServe(now) ? [] : [Unready.NotInForce]),
      ];
      return reasons.length > 0 ? {kind: 'unready', reasons} : {kind: 'ready'};
    },
  };
}

function bindingOf(address: string): {host: string; port: number} {
  // The settings were checked: it is an address.
  return parseAddress(address)!;
}

function urlOf(bound: {address: string; family: string; port: number}): string {
  const {address, family, port} = bound;
  const host = family === 'IPv6' ? `[${address}]` : address;
  return `http://${host}:${port}`;
}

function metricsOf(settings: Settings, log: Logger): Metrics {
  const options = {...settings.metrics, instance: settings.instance.id};
  return new Metrics(options, err => log.warn('metrics', {err: err.message}));
}

function random(): number {
  return randomInt(RANDOM_STEPS) / RANDOM_STEPS;
}
