/** A worker: it runs requests in slots, queues a few more and rejects the rest. */
import {once} from 'node:events';
import {createServer, type IncomingMessage, type Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

/** What a worker is started with. */
export interface WorkerOptions {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly slots: number;
  /** Requests that wait for a slot, at most. */
  readonly queue: number;
  /** Time that a request takes, milliseconds. */
  readonly workMs: () => number;
  /** Whether its answers tell its load. */
  readonly tellsLoad: boolean;
}

/** A request that a worker began to run. */
export interface Run {
  readonly id: string;
  readonly worker: string;
  readonly method: string;
  /** When it reached the worker, and when it began, as of `performance.now()`. */
  readonly arrivedAt: number;
  readonly startedAt: number;
  /** How it ended; undefined while it runs. */
  end: 'answered' | 'dropped' | 'crashed' | undefined;
}

/** Called before an answer is sent; what it returns precedes the answer's bytes. */
export type AnswerHook = (
  socket: Socket,
  answer: string,
  isHealth: boolean,
) => string;

interface Task {
  readonly start: () => void;
  readonly cancel: () => void;
}

const HEALTH_PATH = '/health';
const EXECUTED = 'HTTP/1.1 200 OK\r\n';

/** One worker. */
export class Worker {
  readonly runs: Run[] = [];
  /** When it was told to leave; undefined if it was not. */
  leavingSince: number | undefined;
  /** Ids of the requests that it rejected without running them. */
  readonly rejected: string[] = [];
  onAnswer: AnswerHook = () => '';
  private running = 0;
  private readonly waiting: Task[] = [];
  private readonly sockets = new Set<Socket>();
  private sequence = 1;

  private constructor(
    readonly options: WorkerOptions,
    private readonly server: Server,
  ) {}

  /** Starts on a free port. */
  static async start(options: WorkerOptions): Promise<Worker> {
    const server = createServer({keepAliveTimeout: 10_000});
    const worker = new Worker(options, server);
    server.on('connection', (socket: Socket) => {
      worker.sockets.add(socket);
      socket.once('close', () => worker.sockets.delete(socket));
      socket.on('error', () => undefined);
    });
    server.on('request', req => void worker.handle(req));
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    return worker;
  }

  get id(): string {
    return this.options.id;
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Its entry in the store; each is newer than the one before. */
  entry(state: 'ready' | 'draining'): object {
    const {service, zone, slots} = this.options;
    return {
      Address: this.address,
      Info: {Service: service, Version: 'v1', Zone: zone, Slots: slots},
      Status: {State: state, SeqNo: this.sequence++, WarmupLeftS: 0},
      born: 1_000,
    };
  }

  /** Ends as a process does: its connections are closed. */
  stop(): void {
    if (!this.server.listening) return;
    this.server.close();
    this.runs
      .filter(({end}) => end === undefined)
      .forEach(run => (run.end = 'crashed'));
    this.sockets.forEach(socket => socket.destroy());
  }

  private async handle(req: IncomingMessage): Promise<void> {
    const arrivedAt = performance.now();
    const isHealth = req.url === HEALTH_PATH;
    try {
      for await (const unused of req) void unused;
    } catch {
      return;
    }
    if (isHealth) return this.answerHealth(req);
    const id = String(req.headers['x-request-id']);
    const expected = req.headers['x-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      const head = 'HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n';
      return this.send(req, this.message(head, id), false);
    }
    const isTaken = this.enqueue(req, () => {
      const startedAt = performance.now();
      const method = req.method ?? '';
      const worker = this.id;
      const run: Run = {
        id,
        worker,
        method,
        arrivedAt,
        startedAt,
        end: undefined,
      };
      this.runs.push(run);
      const onClose = () => {
        clearTimeout(timer);
        run.end ??= 'dropped';
        this.taskEnded();
      };
      const timer = setTimeout(() => {
        req.socket.off('close', onClose);
        run.end = 'answered';
        const body = `ran ${id} at ${this.id}`;
        const head = `${EXECUTED}X-Response-Seal: seal-${id}\r\n`;
        this.taskEnded();
        this.send(req, this.message(head, id, body), false);
      }, this.options.workMs());
      req.socket.once('close', onClose);
    });
    if (isTaken) return;
    this.rejected.push(id);
    const head = 'HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n';
    this.send(req, this.message(head, id), false);
  }

  /** With the load, at once; else it waits for a slot or is rejected, as others. */
  private answerHealth(req: IncomingMessage): void {
    const isLeaving = this.leavingSince !== undefined;
    const head = isLeaving ? 'HTTP/1.1 503 Leaving\r\n' : EXECUTED;
    const reply = () => this.send(req, this.message(head), true);
    if (this.options.tellsLoad) return reply();
    const isTaken = this.enqueue(req, () => {
      this.taskEnded();
      reply();
    });
    if (isTaken) return;
    const full = 'HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n';
    this.send(req, this.message(full), true);
  }

  /** Runs a task in a slot, now or later; returns false if there is no room. */
  private enqueue(req: IncomingMessage, start: () => void): boolean {
    const {slots, queue} = this.options;
    if (this.running < slots) {
      this.running += 1;
      start();
      return true;
    }
    if (this.waiting.length >= queue) return false;
    const cancel = () => {
      const index = this.waiting.indexOf(task);
      if (index >= 0) this.waiting.splice(index, 1);
    };
    const task = {
      start: () => {
        req.socket.off('close', cancel);
        start();
      },
      cancel,
    };
    this.waiting.push(task);
    req.socket.once('close', cancel);
    return true;
  }

  private taskEnded(): void {
    this.running -= 1;
    const next = this.waiting.shift();
    if (!next) return;
    this.running += 1;
    next.start();
  }

  private message(head: string, request?: string, body = ''): string {
    const {slots, tellsLoad} = this.options;
    const load = `${this.running},${this.waiting.length},${slots},100`;
    const isLeaving = this.leavingSince !== undefined;
    return [
      head,
      request === undefined ? '' : `X-Request-Id: ${request}\r\n`,
      `X-Instance-Id: ${this.id}\r\n`,
      tellsLoad ? `X-Server-Load: ${load}\r\n` : '',
      isLeaving ? 'Server-Leaving: 1\r\n' : '',
      `Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
    ].join('');
  }

  private send(
    {socket}: IncomingMessage,
    answer: string,
    isHealth: boolean,
  ): void {
    if (!socket.writable) return;
    const before = this.onAnswer(socket, answer, isHealth);
    // Not by the response object, so that a faulty worker can add bytes of its own.
    socket.write(before + answer);
  }
}
