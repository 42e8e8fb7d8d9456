/** Metrics of one entry instance, exported in the Prometheus text format. */
import {Counter, Gauge, Histogram, Registry} from 'prom-client';

/** Upper bounds of the latency histograms, seconds. */
const LATENCY_BUCKETS_S = [
  0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4,
];
const MS_PER_S = 1_000;

/** Values that are read whenever the metrics are collected. */
export interface GaugeSources {
  /** Version of the configuration in force; 0 if there is none. */
  configurationVersion(): number;
  /** Known backend servers that take work. */
  servers(): number;
  /** Probes sent since the start. */
  probes(): number;
  /** Requests in flight. */
  inFlight(): number;
  /** Contents under which servers ended. */
  suspectContents(): number;
  /** Whether no server can be reached. */
  isCutOff(): boolean;
}

/** The metrics of one instance. */
export class GatewayMetrics {
  private readonly registry = new Registry();
  private readonly requests = new Counter({
    name: 'ragworthall_requests_total',
    help: 'Requests of callers, by route, end and reason',
    labelNames: ['route', 'end', 'reason'],
    registers: [this.registry],
  });
  private readonly rejectedMessages = new Counter({
    name: 'ragworthall_rejected_messages_total',
    help: 'Messages of callers that are no request to serve, by cause',
    labelNames: ['cause'],
    registers: [this.registry],
  });
  private readonly unprovenMessages = new Counter({
    name: 'ragworthall_unproven_messages_total',
    help: 'What was said to come from an instance without a valid proof, by kind',
    labelNames: ['kind'],
    registers: [this.registry],
  });
  private readonly requestSeconds = new Histogram({
    name: 'ragworthall_request_seconds',
    help: 'Time from the arrival of a request to its answer',
    labelNames: ['end'],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });
  private readonly sends = new Counter({
    name: 'ragworthall_sends_total',
    help: 'Requests sent to backend servers, by service and result',
    labelNames: ['service', 'result'],
    registers: [this.registry],
  });
  private readonly sendSeconds = new Histogram({
    name: 'ragworthall_send_seconds',
    help: 'Time from a send to its result',
    labelNames: ['result'],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });
  private readonly relays = new Counter({
    name: 'ragworthall_relays_total',
    help: 'Requests passed on to other instances, by result',
    labelNames: ['result'],
    registers: [this.registry],
  });
  private readonly storeCalls = new Counter({
    name: 'ragworthall_store_calls_total',
    help: 'Calls to the platform’s store, by table and result',
    labelNames: ['table', 'result'],
    registers: [this.registry],
  });

  private readonly statements = new Counter({
    name: 'ragworthall_server_statements_total',
    help: 'Changes of what servers state of themselves, by statement and source',
    labelNames: ['service', 'statement', 'source'],
    registers: [this.registry],
  });
  private readonly newsMessages = new Counter({
    name: 'ragworthall_news_total',
    help: 'News of the platform’s store from other instances, by table and kind',
    labelNames: ['table', 'kind'],
    registers: [this.registry],
  });

  /** Registers the gauges, which are read whenever the metrics are collected. */
  registerGauges(sources: GaugeSources): void {
    this.gauge(
      'ragworthall_configuration_version',
      'Version of the configuration in force',
      () => sources.configurationVersion(),
    );
    this.gauge('ragworthall_servers', 'Backend servers that take work', () =>
      sources.servers(),
    );
    this.gauge('ragworthall_probes', 'Probes sent since the start', () =>
      sources.probes(),
    );
    this.gauge('ragworthall_requests_in_flight', 'Requests in flight', () =>
      sources.inFlight(),
    );
    this.gauge(
      'ragworthall_suspect_contents',
      'Request contents under which servers ended',
      () => sources.suspectContents(),
    );
    this.gauge(
      'ragworthall_cut_off',
      '1 while this instance reaches no backend server',
      () => Number(sources.isCutOff()),
    );
  }

  /** Counts the end of a request. */
  requestEnded(route: string, end: string, reason: string, ms: number): void {
    this.requests.inc({route, end, reason});
    this.requestSeconds.observe({end}, ms / MS_PER_S);
  }

  /** Counts a message of a caller that is no request to serve. */
  messageRejected(cause: string): void {
    this.rejectedMessages.inc({cause});
  }

  /** Counts what was said to come from an instance without a valid proof. */
  messageUnproven(kind: string): void {
    this.unprovenMessages.inc({kind});
  }

  /** Counts the result of a send. */
  sendEnded(service: string, result: string, ms: number): void {
    this.sends.inc({service, result});
    this.sendSeconds.observe({result}, ms / MS_PER_S);
  }

  /** Counts a request that was passed on to another instance. */
  relayEnded(result: string): void {
    this.relays.inc({result});
  }

  /** Counts a call to the store. */
  storeCalled(table: string, result: string): void {
    this.storeCalls.inc({table, result});
  }

  /** Counts a table update from another instance (a `news` message). */
  newsReceived(table: string, kind: string): void {
    this.newsMessages.inc({table, kind});
  }

  /** Counts a change of what a server states of itself. */
  statementChanged(service: string, statement: string, source: string): void {
    this.statements.inc({service, statement, source});
  }

  /** Returns all metrics in the Prometheus text format. */
  text(): Promise<string> {
    return this.registry.metrics();
  }

  private gauge(name: string, help: string, read: () => number): void {
    new Gauge({
      name,
      help,
      registers: [this.registry],
      collect() {
        this.set(read());
      },
    });
  }
}
