/** A process of the system under test, ended when it is disposed of. */
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';

/** Time that a process gets to stop by itself, milliseconds. */
const STOP_TIMEOUT_MS = 15_000;
/** Time that a process gets to become ready, milliseconds. */
const READY_TIMEOUT_MS = 15_000;

/** One child process that prints JSON lines. */
export class ManagedProcess implements AsyncDisposable {
  private constructor(
    private readonly process: ChildProcess,
    private readonly name: string,
    private readonly onLine: (line: string) => void,
  ) {
    this.closed = once(process, 'close');
    const lines = createInterface({input: process.stdout!});
    lines.on('line', line => this.take(line));
    process.stderr!.on('data', (data: Buffer) => this.lastErrors.push(data));
  }

  private readonly lastErrors: Buffer[] = [];
  private readonly closed: Promise<unknown>;
  private waiting: ((line: string) => void) | undefined;

  /** Starts a process of Node.js. */
  static start(
    name: string,
    script: string,
    args: readonly string[],
    onLine: (line: string) => void = () => undefined,
  ): ManagedProcess {
    const child = spawn(process.execPath, [script, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    return new ManagedProcess(child, name, onLine);
  }

  get pid(): number {
    return this.process.pid!;
  }

  get isRunning(): boolean {
    return this.process.exitCode === null && this.process.signalCode === null;
  }

  /** Its exit code; null while it runs and after a signal. */
  get exitCode(): number | null {
    return this.process.exitCode;
  }

  /** Resolves when it has ended and its output is read. */
  get exited(): Promise<unknown> {
    return this.closed;
  }

  /** What it wrote to its standard error. */
  get stderrText(): string {
    return Buffer.concat(this.lastErrors).toString();
  }

  /** Resolves with what `accept` makes of the first JSON line it takes. */
  waitUntilReady<T>(
    accept: (line: Record<string, unknown>) => T | undefined,
  ): Promise<T> {
    return new Promise((resolve, reject) => {
      const fail = () => reject(new Error(`${this.name}: ${this.stderrText}`));
      const bound = setTimeout(fail, READY_TIMEOUT_MS);
      this.process.once('exit', fail);
      this.waiting = line => {
        const accepted = accept(parseLine(line));
        if (accepted === undefined) return;
        clearTimeout(bound);
        this.process.off('exit', fail);
        this.waiting = undefined;
        resolve(accepted);
      };
    });
  }

  /** Sends a signal, such as SIGSTOP or SIGKILL. */
  signal(signal: NodeJS.Signals): void {
    this.process.kill(signal);
  }

  /** Stops it gracefully; resolves with its exit code, null if it was killed. */
  async stop(): Promise<number | null> {
    if (!this.isRunning) return this.process.exitCode;
    const exited = once(this.process, 'exit');
    this.signal('SIGCONT');
    this.signal('SIGTERM');
    const bound = setTimeout(() => this.signal('SIGKILL'), STOP_TIMEOUT_MS);
    await exited;
    clearTimeout(bound);
    return this.process.exitCode;
  }

  /** Ends it at once. */
  async kill(): Promise<void> {
    if (!this.isRunning) return;
    const exited = once(this.process, 'exit');
    this.signal('SIGKILL');
    await exited;
  }

  private take(line: string): void {
    this.waiting?.(line);
    this.onLine(line);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.kill();
  }
}

function parseLine(line: string): Record<string, unknown> {
  try {
    return JSON.parse(line) as Record<string, unknown>;
  } catch {
    return {};
  }
}
