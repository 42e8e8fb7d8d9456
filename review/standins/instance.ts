/** A process of the entry instance, started with the command of the deploy file. */
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {rmSync} from 'node:fs';
import {mkdtemp, writeFile} from 'node:fs/promises';
import {get} from 'node:http';
import {type AddressInfo, createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';

/** The command of `deploy/system.toml`, which runs in the root of the repository. */
const ARGUMENTS = ['--max-old-space-size=333', 'target/ragworthalld.mjs'];
const READY_TIMEOUT_MS = 15_000;
const READY_POLL_MS = 50;
const OK = 200;
/** Ports between instances, as a pair of the first and the last one. */
const PEER_PORTS = 2;

/** What one instance is started with. */
export interface InstanceOptions {
  readonly name: string;
  readonly zone: string;
  /** Loopback address of its own. */
  readonly ip: string;
  readonly store: string;
}

/** An instance; it can be started again after it has ended. */
export class Instance {
  private child: ChildProcess | undefined;
  private exited: Promise<unknown> = Promise.resolve();

  private constructor(
    readonly options: InstanceOptions,
    private readonly ports: readonly number[],
    private readonly folder: string,
  ) {}

  /** Starts an instance and waits until it is ready. */
  static async start(options: InstanceOptions): Promise<Instance> {
    const ports = await freePorts(options.ip, 3 + PEER_PORTS);
    const folder = await mkdtemp(join(tmpdir(), 'review-'));
    process.once('exit', () => rmSync(folder, {recursive: true, force: true}));
    const instance = new Instance(options, ports, folder);
    await instance.launch(true);
    return instance;
  }

  get name(): string {
    return this.options.name;
  }

  /** Where callers connect, IP and port. */
  get callers(): string {
    return `${this.options.ip}:${this.ports[0]}`;
  }

  get pid(): number | undefined {
    return this.child?.pid;
  }

  /** Launches the process and waits until it is ready. */
  async launch(isFirstStart: boolean): Promise<void> {
    const file = join(this.folder, 'node.json');
    await writeFile(file, JSON.stringify(this.settings(isFirstStart)));
    const child = spawn(process.execPath, ARGUMENTS, {
      stdio: ['ignore', 'ignore', 'inherit'],
      env: {
        PATH: process.env['PATH'],
        HOME: process.env['HOME'],
        RAGWORTHALL_SETTINGS: file,
      },
    });
    this.child = child;
    this.exited = once(child, 'exit');
    const onExit = () => child.kill('SIGKILL');
    process.once('exit', onExit);
    child.once('exit', () => process.off('exit', onExit));
    await this.waitUntilReady();
  }

  signal(name: NodeJS.Signals): void {
    this.child?.kill(name);
  }

  /** Waits for the end of the process. */
  async waitForExit(): Promise<void> {
    await this.exited;
  }

  /** Kills the process. */
  async close(): Promise<void> {
    this.child?.kill('SIGKILL');
    await this.exited;
  }

  private async waitUntilReady(): Promise<void> {
    const until = performance.now() + READY_TIMEOUT_MS;
    const url = `http://${this.options.ip}:${this.ports[1]}/ragworthall/ready`;
    while (performance.now() < until) {
      if ((await statusOf(url)) === OK) return;
      await delay(READY_POLL_MS);
    }
    throw new Error(`${this.name} is not ready`);
  }

  private settings(isFirstStart: boolean): object {
    const {name, zone, ip, store} = this.options;
    const [front, ready, directory, firstPeer] = this.ports;
    return {
      Self: {
        Node: name,
        Role: 'entry',
        MachineClass: 'front',
        Serves: ['front', 'directory'],
        Ip: ip,
        Zone: zone,
        Region: 'r',
        LossCounts: false,
        Bootstrap: isFirstStart,
        DataDir: null,
        Limits: {
          CpuShare: 0.675,
          Cores: 2,
          MemoryMb: MEMORY_MB,
          MaxFds: 10_250,
          LinkMbps: 2_500,
          DiskMb: 0,
        },
      },
      Network: {
        Listen: {
          Front: `${ip}:${front}`,
          ReadyAddr: `${ip}:${ready}`,
          Directory: `${ip}:${directory}`,
        },
        PortRange: [firstPeer, firstPeer! + 1],
        Seeds: [],
        Zones: {a: 'r', b: 'r', c: 'r'},
      },
      Platform: {
        Discovery: 'platform',
        Entry: 'directory',
        HeartbeatS: 1.5,
        Platform: {Address: store, form: 'table', HistoryS: 20},
      },
      Terms: {
        Bounds: {
          StableS: 3,
          DrainS: 2,
          GraceS: 6,
          LossSlackS: 0.2,
          ConfigApplyS: 2,
          RetryBudgetRatio: 0.2,
          BudgetWindowS: 10,
          BudgetExtra: 56,
          ProbesPerS: 60,
        },
      },
    };
  }
}

/** Memory that a process may use, megabytes; the smaller machines of altamar-gw. */
export const MEMORY_MB = 740;

/** Returns loopback addresses that no other run is likely to use. */
export function loopbackAddresses(count: number): readonly string[] {
  const net = `127.${10 + (process.pid % 200)}.${1 + (Date.now() % 250)}`;
  return Array.from({length: count}, (_, i) => `${net}.${10 + i}`);
}

async function freePorts(ip: string, count: number): Promise<number[]> {
  const servers = Array.from({length: count}, () => createServer());
  const ports = await Promise.all(
    servers.map(async server => {
      server.listen(0, ip);
      await once(server, 'listening');
      return (server.address() as AddressInfo).port;
    }),
  );
  servers.forEach(server => server.close());
  return ports;
}

function statusOf(url: string): Promise<number | undefined> {
  return new Promise(resolve => {
    const req = get(url, {agent: false, timeout: 500}, res => {
      res.resume();
      resolve(res.statusCode);
    });
    req.on('timeout', () => req.destroy());
    req.on('error', () => resolve(undefined));
  });
}
