/** A child process of the system under test, killed when it is disposed of. */
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';

/** Time after SIGTERM until a process is killed, milliseconds. */
const STOP_TIMEOUT_MS = 15_000;
/** Time within which a process must become ready, milliseconds. */
const READY_TIMEOUT_MS = 15_000;

/** A child process that writes JSON lines to its standard output. */
export class ManagedProcess implements AsyncDisposable {
  private constructor(
    private readonly process: ChildProcess,
    private readonly name: string,
    private readonly onLine: (line: string) => void,
  ) {
    this.closed = once(process, 'close');
    const lines = createInterface({input: process.stdout!});
    lines.on('line', line => this.handleLine(line));
    process.stderr!.on('data', (data: Buffer) => this.stderrChunks.push(data));
  }

  private readonly stderrChunks: Buffer[] = [];
  private readonly closed: Promise<unknown>;
  private readinessListener: ((line: string) => void) | undefined;

  /** Starts a script with Node.js. */
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

  /** The exit code; null while it runs and if a signal ended it. */
  get exitCode(): number | null {
    return this.process.exitCode;
  }

  /** Resolves when the process has exited and its output has been read. */
  get exited(): Promise<unknown> {
    return this.closed;
  }

  /** Everything written to standard error so far. */
  get stderrText(): string {
    return Buffer.concat(this.stderrChunks).toString();
  }

  /**
   * Passes each JSON line to `accept` and resolves with its first result that is
   * not undefined. Rejects if the process exits first or on timeout.
   */
  waitUntilReady<T>(
    accept: (line: Record<string, unknown>) => T | undefined,
  ): Promise<T> {
    return new Promise((resolve, reject) => {
      const fail = () =>
        reject(
          new Error(`${this.name} did not become ready: ${this.stderrText}`),
        );
      const timer = setTimeout(fail, READY_TIMEOUT_MS);
      this.process.once('exit', fail);
      this.readinessListener = line => {
        const accepted = accept(parseLine(line));
        if (accepted === undefined) return;
        clearTimeout(timer);
        this.process.off('exit', fail);
        this.readinessListener = undefined;
        resolve(accepted);
      };
    });
  }

  /** Sends a signal, such as SIGSTOP or SIGKILL. */
  signal(signal: NodeJS.Signals): void {
    this.process.kill(signal);
  }

  /**
   * Stops it gracefully; resolves with its exit code, null if it was killed.
   */
  async stop(): Promise<number | null> {
    if (!this.isRunning) return this.process.exitCode;
    const exited = once(this.process, 'exit');
    this.signal('SIGCONT');
    this.signal('SIGTERM');
    const timer = setTimeout(() => this.signal('SIGKILL'), STOP_TIMEOUT_MS);
    await exited;
    clearTimeout(timer);
    return this.process.exitCode;
  }

  /** Kills it with SIGKILL and waits for its exit. */
  async kill(): Promise<void> {
    if (!this.isRunning) return;
    const exited = once(this.process, 'exit');
    this.signal('SIGKILL');
    await exited;
  }

  private handleLine(line: string): void {
    this.readinessListener?.(line);
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
