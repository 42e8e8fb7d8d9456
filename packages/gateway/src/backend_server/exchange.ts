/** One request and its answer on a connection to a backend server. */
import {offAbort, onAbort} from '@ragworthall/balancer';
import type {Dispatcher} from 'undici';
import type {BackendConnection} from './backend_connection.js';

/** The raw end of an exchange. */
export type ExchangeEnd =
  | {
      readonly kind: 'message';
      readonly status: number;
      readonly headers: Readonly<Record<string, string | string[] | undefined>>;
      readonly body: Buffer;
    }
  | {readonly kind: 'not_sent'; readonly detail: string}
  | {readonly kind: 'broken'; readonly detail: string}
  | {readonly kind: 'late'}
  | {readonly kind: 'abandoned'};

/** Most bytes of an answer that are held in memory. */
const MAX_ANSWER_BYTES = 33_554_432;

/** Collects one answer. */
export class Exchange implements Dispatcher.DispatchHandler {
  /** Resolves when the exchange has ended; never rejects. */
  readonly ended: Promise<ExchangeEnd>;
  private resolve!: (end: ExchangeEnd) => void;
  private controller: Dispatcher.DispatchController | undefined;
  private sent = false;
  private status = 0;
  private headers: Record<string, string | string[] | undefined> = {};
  private readonly chunks: Buffer[] = [];
  private bytes = 0;
  private ending: ExchangeEnd | undefined;
  private readonly timer: NodeJS.Timeout;
  private readonly onAbort = () => this.abort({kind: 'abandoned'});

  constructor(
    private readonly connection: BackendConnection,
    timeoutMs: number,
    private readonly signal: AbortSignal,
  ) {
    this.ended = new Promise(resolve => (this.resolve = resolve));
    // After a pause of the process an answer may lie unread: it comes first.
    const onTimeout = () => setImmediate(() => this.abort({kind: 'late'}));
    this.timer = setTimeout(onTimeout, Math.max(0, timeoutMs));
    if (signal.aborted) this.onAbort();
    else onAbort(signal, this.onAbort);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.ending) controller.abort(new Error('ended before it was sent'));
    else this.sent = true;
  }

  onResponseStart(
    unusedController: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    this.status = status;
    this.headers = headers;
  }

  onResponseData(
    unusedController: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.bytes += chunk.byteLength;
    if (this.bytes > MAX_ANSWER_BYTES) {
      this.abort({kind: 'broken', detail: 'the answer is too large'});
      return;
    }
    this.chunks.push(chunk);
  }

  onResponseEnd(): void {
    const {status, headers} = this;
    // An answer without a length must not pass for whole when its end is a reset.
    if (this.connection.isBroken) {
      this.finish({kind: 'broken', detail: 'reset within the answer'});
      return;
    }
    const body =
      this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks);
    this.finish({kind: 'message', status, headers, body});
  }

  onResponseError(
    unusedController: Dispatcher.DispatchController,
    err: Error,
  ): void {
    const detail = (err as {code?: string}).code ?? err.message;
    this.finish(
      this.ending ?? {kind: this.sent ? 'broken' : 'not_sent', detail},
    );
  }

  private abort(end: ExchangeEnd): void {
    this.ending ??= this.sent
      ? end
      : {kind: 'not_sent', detail: `${end.kind} before it was sent`};
    // Closing the connection is what cancels the request at the server.
    this.controller?.abort(new Error('given up'));
    this.finish(this.ending);
  }

  private finish(end: ExchangeEnd): void {
    clearTimeout(this.timer);
    offAbort(this.signal, this.onAbort);
    this.resolve(end);
  }
}
