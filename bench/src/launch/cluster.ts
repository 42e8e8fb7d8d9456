/**
 * The system under test: stand-ins of the platform and of backend servers, and
 * daemons.
 */
import type {ServiceConfig} from '@ragworthall/contracts';
import type {
  BackendServerFault,
  LedgerReport,
  PlatformFault,
} from '@ragworthall/standins';
import {createHash} from 'node:crypto';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {ManagedProcess} from './managed_process.js';

const require = createRequire(import.meta.url);
const STANDINS_SCRIPT = scriptPathOf('@ragworthall/standins');
const DAEMON_SCRIPT = scriptPathOf('@ragworthall/daemon');
const CLIENT_SCRIPT = scriptPathOf('@ragworthall/cli');

/** Shared secret of the cell, for tests only. */
const CELL_SECRET = 'secret-of-the-cell-under-test';

/** Properties of a backend server to start. */
export interface ServerSpec {
  readonly id: string;
  readonly slots: number;
  readonly serviceMs: number;
  readonly distribution: 'fixed' | 'exponential';
  readonly seed: number;
  readonly failureDomain: string;
}

/** Composition and settings of a cluster. */
export interface ClusterOptions {
  readonly daemons: number;
  /** Number of seats in the cell; at least `daemons`, which is the default. */
  readonly seats?: number;
  readonly members: readonly string[];
  readonly logLevel?: 'error' | 'warn' | 'info' | 'debug';
  /**
   * Additional settings of the daemons; each section replaces the default one.
   */
  readonly settings?: Readonly<Record<string, unknown>>;
  /** Failure domains, assigned to the seats in rotation. */
  readonly failureDomains?: readonly string[];
  /** Called with each log line of each daemon. */
  readonly onLog?: (daemon: string, line: string) => void;
}

/** A running backend server. */
export interface RunningServer extends ServerSpec {
  readonly address: string;
  readonly process: ManagedProcess;
}

/** A running daemon. */
export interface RunningDaemon {
  readonly id: string;
  readonly seat: number;
  readonly process: ManagedProcess;
  /** Base URLs of its listeners. */
  readonly callersUrl: string;
  readonly operatorsUrl: string;
  readonly peersUrl: string;
  readonly healthUrl: string;
}

/** The processes of one run. */
export class Cluster implements AsyncDisposable {
  readonly daemons: RunningDaemon[] = [];
  readonly servers: RunningServer[] = [];
  private readonly children: ManagedProcess[] = [];
  private restarts = 0;

  private constructor(
    private readonly options: ClusterOptions,
    private readonly directory: string,
    /** Base URL of the platform. */
    readonly platformUrl: string,
    platform: ManagedProcess,
  ) {
    this.children.push(platform);
  }

  /** Starts the platform and the daemons. */
  static async start(options: ClusterOptions): Promise<Cluster> {
    const directory = await mkdtemp(join(tmpdir(), 'ragworthall-'));
    const platform = ManagedProcess.start('platform', STANDINS_SCRIPT, [
      'platform',
    ]);
    const url = await platform.waitUntilReady(
      line => line['url'] as string | undefined,
    );
    const cluster = new Cluster(options, directory, url, platform);
    const seats = Array.from({length: options.daemons}, (_, seat) => seat);
    await Promise.all(seats.map(seat => cluster.startDaemon(seat)));
    cluster.daemons.sort((a, b) => a.seat - b.seat);
    return cluster;
  }

  /** Returns the token of a member's operators. */
  operatorTokenOf(member: string): string {
    return `token-of-${member}-under-test`;
  }

  /** Starts a group of backend servers together in one new process. */
  async startServers(specs: readonly ServerSpec[]): Promise<RunningServer[]> {
    const withPorts = specs.map(spec => ({...spec, port: 0}));
    const args = ['backend-servers', '--spec-json', JSON.stringify(withPorts)];
    const child = ManagedProcess.start(
      'backend servers',
      STANDINS_SCRIPT,
      args,
    );
    this.children.push(child);
    const ready = await child.waitUntilReady(line =>
      line['kind'] === 'backend-servers'
        ? (line['servers'] as readonly {id: string; port: number}[])
        : undefined,
    );
    const running = specs.map(spec => ({
      ...spec,
      address: `127.0.0.1:${ready.find(r => r.id === spec.id)!.port}`,
      process: child,
    }));
    this.servers.push(...running);
    return running;
  }

  /** Starts a daemon at a seat, replacing the previous one there. */
  async startDaemon(seat: number): Promise<RunningDaemon> {
    const id = `entry-${seat}`;
    const file = join(this.directory, `${id}-${this.restarts++}.jsonc`);
    await writeFile(file, JSON.stringify(this.settingsOf(id, seat)));
    const {onLog} = this.options;
    const child = ManagedProcess.start(
      id,
      DAEMON_SCRIPT,
      ['--settings', file],
      line => onLog?.(id, line),
    );
    this.children.push(child);
    const listening = await child.waitUntilReady(line =>
      line['message'] === 'listening' ? line : undefined,
    );
    const daemon: RunningDaemon = {
      id,
      seat,
      process: child,
      callersUrl: listening['callers'] as string,
      operatorsUrl: listening['operators'] as string,
      peersUrl: listening['peers'] as string,
      healthUrl: listening['health'] as string,
    };
    const index = this.daemons.findIndex(d => d.seat === seat);
    if (index < 0) this.daemons.push(daemon);
    else this.daemons[index] = daemon;
    return daemon;
  }

  /** Runs the operators' client and returns its exit code and output. */
  async runClient(
    member: string,
    args: readonly string[],
    daemon: RunningDaemon = this.daemons[0]!,
  ): Promise<{code: number | null; output: string}> {
    const tokenFile = join(this.directory, `${member}.token`);
    await writeFile(tokenFile, this.operatorTokenOf(member));
    const lines: string[] = [];
    const child = ManagedProcess.start(
      'client',
      CLIENT_SCRIPT,
      [...args, '--server', daemon.operatorsUrl, '--token-file', tokenFile],
      line => lines.push(line),
    );
    await child.exited;
    return {code: child.exitCode, output: lines.join('\n') + child.stderrText};
  }

  /** Applies services with the operators' client, one member at a time. */
  async apply(services: readonly ServiceConfig[]): Promise<void> {
    const members = [...new Set(services.map(s => s.member))];
    for (const member of members) {
      const memberServices = services.filter(s => s.member === member);
      const file = join(this.directory, `${member}.jsonc`);
      await writeFile(file, JSON.stringify({services: memberServices}));
      const {code, output} = await this.runClient(member, [
        'apply',
        '-f',
        file,
      ]);
      if (code !== 0) throw new Error(`apply exited with ${code}: ${output}`);
    }
  }

  /** Replaces the faults of one backend server; an empty list clears them. */
  async setServerFaults(
    id: string,
    faults: readonly BackendServerFault[],
  ): Promise<void> {
    const {address} = this.servers.find(s => s.id === id)!;
    await sendJson('POST', `http://${address}/control/faults`, {faults});
  }

  /**
   * Replaces the platform's faults for one daemon, or for all if none is given.
   */
  async setPlatformFaults(
    faults: readonly PlatformFault[],
    forClient?: string,
  ): Promise<void> {
    const url = `${this.platformUrl}/control/faults`;
    await sendJson('POST', url, {faults, forClient});
  }

  /** Fetches the ledgers of the backend servers whose process is running. */
  async fetchLedgers(): Promise<ReadonlyMap<string, LedgerReport>> {
    const running = this.servers.filter(s => s.process.isRunning);
    const reports = await Promise.all(
      running.map(async s => {
        const res = await fetch(`http://${s.address}/control/ledger`);
        return [s.id, (await res.json()) as LedgerReport] as const;
      }),
    );
    return new Map(reports);
  }

  /** Waits until each daemon returns addresses for a service. */
  async waitUntilInForce(serviceId: string, timeoutMs = 15_000): Promise<void> {
    const until = performance.now() + timeoutMs;
    const urls = this.daemons.map(
      d => `${d.callersUrl}/v1/addresses/${serviceId}`,
    );
    while (performance.now() < until) {
      const answers = await Promise.all(urls.map(url => fetchStatus(url)));
      if (answers.every(status => status === 200)) return;
      await delay(50);
    }
    throw new Error(
      `${serviceId} is not in force on all daemons after ${timeoutMs} ms`,
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this.children.map(child => child.kill()));
    await rm(this.directory, {recursive: true, force: true});
  }

  private settingsOf(id: string, seat: number): Record<string, unknown> {
    const {options} = this;
    const domains = options.failureDomains ?? ['domain-a'];
    const defaults: Record<string, unknown> = {
      instance: {id, failureDomain: domains[seat % domains.length]},
      cell: {
        name: 'cell-1',
        seat,
        seats: options.seats ?? options.daemons,
        secret: CELL_SECRET,
        seeds: this.daemons.map(d => hostOf(d.peersUrl)),
      },
      listen: {
        callers: '127.0.0.1:0',
        operators: '127.0.0.1:0',
        peers: '127.0.0.1:0',
        health: '127.0.0.1:0',
      },
      platform: {url: this.platformUrl},
      operators: options.members.map(member => ({
        member,
        tokenSha256: sha256(this.operatorTokenOf(member)),
      })),
      log: {level: options.logLevel ?? 'warn'},
    };
    return {...defaults, ...options.settings};
  }
}

function scriptPathOf(name: string): string {
  return join(dirname(require.resolve(name)), 'main.js');
}

function hostOf(url: string): string {
  return new URL(url).host;
}

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

async function sendJson(
  method: 'POST' | 'PUT',
  url: string,
  body: unknown,
): Promise<void> {
  const res = await fetch(url, {
    method,
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(body),
  });
  const text = await res.text();
  if (!res.ok) throw new Error(`${url}: ${res.status} ${text}`);
}

async function fetchStatus(url: string): Promise<number> {
  try {
    const res = await fetch(url);
    await res.arrayBuffer();
    return res.status;
  } catch {
    return 0;
  }
}
