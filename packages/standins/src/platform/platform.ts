/** Stand-in for the platform: table, object store and list of instances. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import findMyWay from 'find-my-way';
import {Listener} from '../link/listener.js';
import {
  headerValue,
  readBody,
  readValidJson,
  sendEmpty,
  sendJson,
  Status,
} from '../link/message.js';
import {sleep} from '../link/sleep.js';
import {AccessCounts} from './access_counts.js';
import type {CountsReport} from './access_counts.js';
import {
  CLIENT_HEADER,
  platformFaultsChangeSchema,
  PlatformFaults,
} from './faults.js';
import type {EffectiveFaults, PlatformFault} from './faults.js';
import {InstanceRegistry} from './instance_registry.js';
import {instancesChangeSchema, transactionSchema} from './messages.js';
import type {InstancesChange} from './messages.js';
import {Table} from './table.js';

/** Settings of the stand-in platform. */
export interface PlatformOptions {
  /** Port on the loopback address; 0 (the default) picks a free port. */
  readonly port?: number;
  /** Lag until a change of the instance list is visible, in milliseconds. */
  readonly listLagMs?: number;
}

/** One request to the table or the object store. */
interface StoreRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  /** Row key or object name; empty for a transaction or a read by prefix. */
  readonly key: string;
  readonly query: Readonly<Record<string, string | undefined>>;
  readonly faults: EffectiveFaults;
}

/**
 * Serves the platform's HTTP API, and these endpoints to control the stand-in:
 *
 * - `POST /control/faults` with a {@link PlatformFaultsChange}.
 * - `PUT /control/instances` with an {@link InstancesChange}.
 * - `GET /control/counts`: 200 with a {@link CountsReport}.
 */
export class Platform implements AsyncDisposable {
  private readonly stopped = new AbortController();
  private readonly table = new Table();
  /** Stored as rows whose values are buffers. */
  private readonly objects = new Table();
  private readonly counts = new AccessCounts();
  private readonly faults = new PlatformFaults();
  private readonly registry: InstanceRegistry;
  private readonly router = this.createRouter();
  private readonly listener = new Listener((req, res) =>
    this.router.lookup(req, res),
  );

  private constructor(options: PlatformOptions) {
    this.registry = new InstanceRegistry(options.listLagMs ?? 0);
  }

  /** Starts a stand-in platform. */
  static async start(options: PlatformOptions = {}): Promise<Platform> {
    const platform = new Platform(options);
    await platform.listener.listen(options.port ?? 0);
    return platform;
  }

  /** Base URL. */
  get url(): string {
    return this.listener.url;
  }

  /** Replaces the list of instances; the change is visible after the lag. */
  setInstances({instances, lagMs}: InstancesChange): void {
    this.registry.replace(instances, performance.now(), lagMs);
  }

  /** Replaces the faults of all clients, or of `forClient` if it is given. */
  setFaults(faults: readonly PlatformFault[], forClient?: string): void {
    this.faults.replace({faults, forClient});
  }

  /** Counters of the accesses so far. */
  accessCounts(): CountsReport {
    return this.counts.report();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopped.abort();
    await this.listener[Symbol.asyncDispose]();
  }

  private createRouter(): findMyWay.Instance<findMyWay.HTTPVersion.V1> {
    const router = findMyWay({
      defaultRoute: (req, res) => sendEmpty(res, Status.NotFound),
      maxParamLength: 1024,
    });
    router.on(
      'POST',
      '/table/transactions',
      this.storeHandler(access => this.postTransaction(access)),
    );
    router.on(
      'GET',
      '/table/rows',
      this.storeHandler(access => this.getRows(access)),
    );
    router.on(
      'GET',
      '/table/rows/*',
      this.storeHandler(access => this.getRow(access)),
    );
    router.on(
      'PUT',
      '/objects/*',
      this.storeHandler(access => this.putObject(access)),
    );
    router.on(
      'GET',
      '/objects/*',
      this.storeHandler(access => this.getObject(access)),
    );
    router.on('GET', '/instances', (req, res) => this.getInstances(req, res));
    router.on('POST', '/control/faults', (req, res) =>
      this.postFaults(req, res),
    );
    router.on('PUT', '/control/instances', (req, res) =>
      this.putInstances(req, res),
    );
    router.on('GET', '/control/counts', (req, res) =>
      sendJson(res, Status.Ok, this.counts.report()),
    );
    return router;
  }

  /**
   * Wraps a handler of the table or the object store: closes the connection or
   * answers 503 if the client's faults say so.
   */
  private storeHandler(
    handle: (access: StoreRequest) => void | Promise<void>,
  ): findMyWay.Handler<findMyWay.HTTPVersion.V1> {
    return async (req, res, params, store, query) => {
      const faults = this.faultsFor(req);
      if (faults.unreachable) return void req.socket.destroy();
      if (faults.down) return sendEmpty(res, Status.Unavailable);
      await handle({req, res, key: params['*'] ?? '', query, faults});
    };
  }

  private async postTransaction({
    req,
    res,
    faults,
  }: StoreRequest): Promise<void> {
    const transaction = await readValidJson(req, res, transactionSchema);
    if (transaction === undefined) return;
    if (!(await this.injectDelay(faults))) return;
    this.counts.countWrite(transaction.writes.map(write => write.key));
    const commit = this.table.commit(transaction, performance.now());
    switch (commit.kind) {
      case 'committed':
        if (faults.consumeLostAnswer()) return void req.socket.destroy();
        return sendJson(res, Status.Ok, {versions: commit.versions});
      case 'conflict':
        this.counts.countConflict();
        return sendJson(res, Status.Conflict, {failed: commit.failed});
    }
  }

  private async getRow({res, key, faults}: StoreRequest): Promise<void> {
    if (!(await this.injectDelay(faults))) return;
    this.counts.countRead(key);
    const row = this.table.read(key, readTimestamp(faults));
    if (row === undefined) return sendEmpty(res, Status.NotFound);
    sendJson(res, Status.Ok, row);
  }

  private async getRows({res, query, faults}: StoreRequest): Promise<void> {
    if (!(await this.injectDelay(faults))) return;
    const prefix = query['prefix'] ?? '';
    this.counts.countRead(prefix);
    const rows = this.table.scan(prefix, readTimestamp(faults));
    sendJson(res, Status.Ok, {rows});
  }

  private async putObject({
    req,
    res,
    key,
    faults,
  }: StoreRequest): Promise<void> {
    const value = await readBody(req);
    if (value === undefined) return;
    if (!(await this.injectDelay(faults))) return;
    this.counts.countWrite([key]);
    const transaction = {conditions: [], writes: [{key, value}]};
    this.objects.commit(transaction, performance.now());
    sendEmpty(res, Status.NoContent);
  }

  private async getObject({res, key, faults}: StoreRequest): Promise<void> {
    if (!(await this.injectDelay(faults))) return;
    this.counts.countRead(key);
    const row = this.objects.read(key, readTimestamp(faults));
    if (row === undefined) return sendEmpty(res, Status.NotFound);
    const bytes = row.value as Buffer;
    res.writeHead(Status.Ok, {'content-length': bytes.length});
    res.end(bytes);
  }

  private getInstances(req: IncomingMessage, res: ServerResponse): void {
    if (this.faultsFor(req).unreachable) return void req.socket.destroy();
    const {instances} = this.registry.list(performance.now());
    const state = new URL(req.url!, this.url).searchParams.get('state');
    const listed = instances.filter(i => state === null || i.state === state);
    sendJson(res, Status.Ok, {instances: listed});
  }

  private async postFaults(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const change = await readValidJson(req, res, platformFaultsChangeSchema);
    if (change === undefined) return;
    this.faults.replace(change);
    sendEmpty(res, Status.NoContent);
  }

  private async putInstances(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const change = await readValidJson(req, res, instancesChangeSchema);
    if (change === undefined) return;
    this.setInstances(change);
    sendEmpty(res, Status.NoContent);
  }

  private faultsFor(req: IncomingMessage): EffectiveFaults {
    return this.faults.effectiveFor(headerValue(req, CLIENT_HEADER));
  }

  /** Waits for the injected delay; false if the platform stops first. */
  private async injectDelay({delayMs}: EffectiveFaults): Promise<boolean> {
    return delayMs <= 0 || sleep(delayMs, this.stopped.signal);
  }
}

/** The time as of which a read sees the store. */
function readTimestamp(faults: EffectiveFaults): number {
  return performance.now() - faults.staleMs;
}
