/** Creates the components of an entry instance and runs them until a stop signal. */
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
import {HealthServer, type Readiness, UnreadyReason} from '../health/index.js';
import {
  CountingDecisionLog,
  Gauge,
  StatsdMetrics,
  ProcessMetricsReporter,
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
import {HangUpSignal} from './hang_up_signal.js';
import {LiveFleetStatus} from './live_fleet_status.js';
import {LeavingServerPoller} from './leaving_server_poller.js';
import {MemberAdmissionController} from './member_admission_controller.js';
import {PeerRequestHandler} from './peer_request_handler.js';
import {PeerProbeDelegate} from './peer_probe_delegate.js';
import {type CrashBroadcast, ScheduledService} from './scheduled_service.js';
import type {ServiceFactory} from './service_map.js';
import {ServingConfirmationHandover} from './serving_confirmation_handover.js';
import {StopSignals} from './stop_signals.js';

/** Limits of the ledger of keyed requests; sizes in bytes. */
const LEDGER_LIMITS = {
  recordsPerMember: 250_000,
  answerBytes: 16_384,
  bytesPerMember: 16_777_216,
};
/** Calls in flight, and bytes of their bodies, that an instance accepts at once. */
const INSTANCE_CAPACITY = {calls: 20_000, bytes: 268_435_456};
const SETTINGS_REMEDY =
  'settings are read at the start only; restart the process to apply changes';
/** Number of distinct values of {@link random}. */
const RANDOM_STEPS = 2 ** 32;

const CLOCK: Clock = {now: () => performance.now()};

/** Runs an instance; resolves to whether it stopped with every call answered. */
export async function runDaemon(settings: Settings): Promise<boolean> {
  using daemonLog = new DaemonLog('info', settings.instance.id);
  const log = daemonLog.logger;
  const stopSignals = new StopSignals(signal => log.warn('signal', {signal}));
  using ownedHangUp = new HangUpSignal(() =>
    log.warn('signal', {signal: 'SIGHUP', remedy: SETTINGS_REMEDY}),
  );
  await using metrics = createMetrics(settings, log);
  const identity = createIdentity(settings);
  const clientOptions = {clock: CLOCK, random};
  const {url} = settings.platform;
  await using platformClient = new PlatformClient(
    url,
    identity.id,
    clientOptions,
  );
  const table = new HttpTable(platformClient);
  const contextCodec = new CallContextCodec(settings.cell.secret);
  await using backend = new HttpBackendLink(
    settings.limits.bodyBytes,
    contextCodec,
  );
  const configuration = new ReplicatedConfiguration(table, identity.cell, {
    now: () => CLOCK.now(),
    pause: (ms, signal) =>
      delay(ms * random(), undefined, {signal}).catch(() => undefined),
    reportInvalidRow: row => log.error('row of the table was set aside', row),
  });
  const decisionLog = new WinstonDecisionLog(log);
  const decisions = settings.metrics.enabled
    ? new CountingDecisionLog(metrics, decisionLog)
    : decisionLog;
  const shares = new MemberShares(INSTANCE_CAPACITY);
  const runner = new CallRunner(
    backend,
    decisions,
    CLOCK,
    PROCESS_TIMERS,
    shares,
  );
  const probePermits = new ProbePermits(identity);
  const handover = new ServingConfirmationHandover(
    confirmations => peers.broadcast({kind: 'signs', signs: confirmations}),
    CLOCK,
  );
  const fleetLog = new WinstonFleetLog(log);
  await using peers: Peers = await Peers.listen({
    identity,
    listen: listenAddressOf(settings.listen.peers),
    secret: settings.cell.secret,
    seeds: settings.cell.seeds,
    bodyBytes: settings.limits.bodyBytes,
    configuration,
    handlers: new PeerRequestHandler({
      instance: () => instance,
      backend,
      probePermits,
      mayProbe: now => peers.mayServe(now),
      clock: CLOCK,
      handover,
    }),
    clock: CLOCK,
    wallClock: () => Date.now(),
    random,
    log: fleetLog,
  });
  const createService = createServiceFactory(
    settings,
    peers,
    backend,
    probePermits,
  );
  await using instance: EntryInstance = new EntryInstance({
    identity,
    configuration,
    fleet: peers,
    runner,
    ledger: new RequestLedger(LEDGER_LIMITS, identity.startedAt),
    clock: CLOCK,
    createService,
    handover,
  });
  await using callers = new CallerServer(instance, settings.limits, {
    admission: new MemberAdmissionController(shares, configuration, CLOCK),
    contextCodec,
    metrics,
    clock: CLOCK,
    graceMs: settings.stop.graceMs,
  });
  const status = new LiveFleetStatus(peers, instance);
  await using operators = await startOperators(
    settings,
    configuration,
    status,
    log,
  );
  await using health = await HealthServer.start({
    ...listenAddressOf(settings.listen.health),
    readiness: createReadiness(peers, configuration),
    log: daemonLog,
    clock: CLOCK,
  });
  await using listClient = new PlatformClient(url, identity.id, clientOptions);
  await using ownedPoller = new LeavingServerPoller({
    list: new HttpInstanceList(listClient),
    services: instance.services,
    clock: CLOCK,
    random,
  });
  await using ownedReporter = new ProcessMetricsReporter(
    metrics,
    () => [
      [Gauge.Connections, callers.connections],
      [Gauge.BodyBytes, callers.bodyBytes],
      [Gauge.Revision, configuration.current().revision],
    ],
    CLOCK.now,
  );
  const {host, port} = listenAddressOf(settings.listen.callers);
  const bound = await callers.listen(port, host);
  const callerUrl = urlOf(bound);
  peers.join(callerUrl);
  await using ownedRenewalTask = new SeatRenewalTask({
    seats: identity.seats,
    registration: new SeatRegistration(
      table,
      peers.membership,
      configuration,
      CLOCK,
    ),
    configuration,
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
  await stopSignals.first;
  const {graceMs} = settings.stop;
  return await stopGracefully({
    peers,
    callers,
    instance,
    clock: CLOCK,
    log,
    graceMs,
  });
}

/** Returns a factory that creates services with their probers. */
function createServiceFactory(
  settings: Settings,
  peers: Peers,
  backend: HttpBackendLink,
  probePermits: ProbePermits,
): ServiceFactory {
  const proberOptions: ProberOptions = {
    backend,
    delegate: new PeerProbeDelegate(() => peers.openLinks),
    clock: CLOCK,
    timers: PROCESS_TIMERS,
    mayProbe: now => peers.mayServe(now),
  };
  const broadcastCrash: CrashBroadcast = (service, fingerprint) => {
    const count = service.quarantine
      .crashCounts(CLOCK.now())
      .find(c => c.fingerprint === fingerprint);
    if (!count) return;
    const {crashes} = count;
    const crashCount = {serviceId: service.id, fingerprint, crashes, ageMs: 0};
    peers.broadcast({kind: 'crashes', counts: [crashCount]});
  };
  return cfg => {
    const service = new Service(cfg, {
      clock: CLOCK,
      policy: {kind: settings.dispatch.policy},
      servingConfirmation: {kind: 'required'},
      mayDispatch: now => peers.mayServe(now),
      failureDomain: settings.instance.failureDomain,
    });
    return new ScheduledService(
      service,
      probePermits,
      proberOptions,
      broadcastCrash,
    );
  };
}

function createIdentity(settings: Settings): InstanceIdentity {
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
  configuration: ReplicatedConfiguration,
  status: FleetStatus,
  log: Logger,
): Promise<OperatorServer> {
  const hashes = settings.operators.map(
    o => [o.member, o.tokenSha256] as const,
  );
  return OperatorServer.start({
    ...listenAddressOf(settings.listen.operators),
    configuration,
    fleet: status,
    tokens: new HashedOperatorTokens(new Map(hashes)),
    clock: CLOCK,
    audit: {record: event => log.info('operator', event)},
    fencedAfterMs: LEASE_MS,
  });
}

/** Creates the check behind `GET /ready`. */
function createReadiness(
  peers: Peers,
  configuration: ReplicatedConfiguration,
): Readiness {
  return {
    check(now) {
      const reasons = [
        ...(peers.state === 'stopping' ? [UnreadyReason.Stopping] : []),
        ...(configuration.current().revision === 0
          ? [UnreadyReason.NoConfiguration]
          : []),
        ...(peers.mayServe(now) ? [] : [UnreadyReason.NotInForce]),
      ];
      return reasons.length > 0 ? {kind: 'unready', reasons} : {kind: 'ready'};
    },
  };
}

function listenAddressOf(address: string): {host: string; port: number} {
  // The settings schema has already validated the address.
  return parseAddress(address)!;
}

function urlOf(bound: {address: string; family: string; port: number}): string {
  const {address, family, port} = bound;
  const host = family === 'IPv6' ? `[${address}]` : address;
  return `http://${host}:${port}`;
}

function createMetrics(settings: Settings, log: Logger): StatsdMetrics {
  const options = {...settings.metrics, instance: settings.instance.id};
  return new StatsdMetrics(options, err =>
    log.warn('metrics', {err: err.message}),
  );
}

function random(): number {
  return randomInt(RANDOM_STEPS) / RANDOM_STEPS;
}
