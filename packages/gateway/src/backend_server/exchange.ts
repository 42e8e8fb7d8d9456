/** One request and its answer on a connection to a backend server. */
import {offAbort, onAbort} from '@ragworthall/balancer';
import type {Dispatcher} from 'undici';
import type {BackendConnection} from './backend_connection.js';

/** How an exchange ended, before its headers are interpreted. */
export type ExchangeResult =
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

/** Largest answer that is buffered, bytes. */
const MAX_ANSWER_BYTES = 33_554_432;

/** Buffers the answer to one request. */
export class Exchange implements Dispatcher.DispatchHandler {
  /** Resolves when the exchange has ended. Never rejects. */
  readonly ended: Promise<ExchangeResult>;
  private resolve!: (result: ExchangeResult) => void;
  private controller: Dispatcher.DispatchController | undefined;
  private sent = false;
  private status = 0;
  private headers: Record<string, string | string[] | undefined> = {};
  private readonly chunks: Buffer[] = [];
  private bytes = 0;
  private earlyResult: ExchangeResult | undefined;
  private readonly timer: NodeJS.Timeout;
  private readonly onAbort = () => this.abort({kind: 'abandoned'});

  constructor(
    private readonly connection: BackendConnection,
    timeoutMs: number,
    private readonly signal: AbortSignal,
  ) {
    this.ended = new Promise(resolve => (this.resolve = resolve));
    // After the process was paused, an answer may be waiting in the socket: read it
    // before the timeout takes effect.
    const onTimeout = () => setImmediate(() => this.abort({kind: 'late'}));
    this.timer = setTimeout(onTimeout, Math.max(0, timeoutMs));
    if (signal.aborted) this.onAbort();
    else onAbort(signal, this.onAbort);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.earlyResult) controller.abort(new Error('ended before sending'));
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
    // An answer without a length is incomplete if a reset ended it.
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
      this.earlyResult ?? {kind: this.sent ? 'broken' : 'not_sent', detail},
    );
  }

  private abort(result: ExchangeResult): void {
    this.earlyResult ??= this.sent
      ? result
      : {kind: 'not_sent', detail: `${result.kind} before it was sent`};
    // The server cancels the request when its connection is closed.
    this.controller?.abort(new Error('exchange aborted'));
    this.finish(this.earlyResult);
  }

  private finish(result: ExchangeResult): void {
    clearTimeout(this.timer);
    offAbort(this.signal, this.onAbort);
    this.resolve(result);
  }
}
