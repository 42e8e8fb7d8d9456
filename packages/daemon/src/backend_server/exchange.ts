/** A request and its answer on a connection to a backend server. */
import {
  type AbandonCause,
  type Attempt,
  type LoadHint,
  offAbort,
  onAbort,
} from '@ragworthall/balancer';
import {BackendHeader, ServerState} from '@ragworthall/contracts';
import type {Dispatcher} from 'undici';
import {endToEndHeaders} from '../caller/header_filter.js';
import {BodyBuffer} from '../message/body_buffer.js';

const SERVER_STATES: ReadonlySet<string> = new Set(Object.values(ServerState));

/** Limits and start time of an exchange. */
export interface ExchangeOptions {
  /** Maximum size of the answer's body, which is buffered, bytes. */
  readonly maxBodyBytes: number;
  /** Time after which the exchange is abandoned, milliseconds. */
  readonly timeoutMs: number;
  /** Time without data after which the connection is suspect, milliseconds. */
  readonly maxSilenceMs: number;
  /** Monotonic time, milliseconds. */
  readonly startedAt: number;
  /** Aborted when the caller has disconnected. */
  readonly signal: AbortSignal;
}

/** Collects one answer or, without one, determines what became of the request. */
export class Exchange implements Dispatcher.DispatchHandler {
  /** Resolves with the result when the exchange has ended; never rejects. */
  readonly attempt: Promise<Attempt>;
  private resolve!: (attempt: Attempt) => void;
  private wasSent = false;
  private status = 0;
  private headers: string[] = [];
  private readonly body = new BodyBuffer();
  private lastByteAt: number;
  private controller: Dispatcher.DispatchController | undefined;
  private abortResult: Attempt | undefined;
  private readonly timer: NodeJS.Timeout;
  private readonly onAbort = () => this.abandon('caller_left');

  constructor(private readonly options: ExchangeOptions) {
    this.attempt = new Promise(resolve => (this.resolve = resolve));
    this.lastByteAt = options.startedAt;
    // After the process was suspended, the timer may fire while an answer is
    // already in the socket's buffer: let that be read first.
    const onTimeout = () => setImmediate(() => this.abandon('deadline'));
    this.timer = setTimeout(onTimeout, Math.max(0, options.timeoutMs));
    if (options.signal.aborted) this.onAbort();
    else onAbort(options.signal, this.onAbort);
  }

  /** Start time on the monotonic clock, milliseconds. */
  get startedAt(): number {
    return this.options.startedAt;
  }

  /** Whether no data has been received for longer than the limit. */
  isSilent(now: number): boolean {
    return this.wasSent && now - this.lastByteAt > this.options.maxSilenceMs;
  }

  /** Aborts the exchange because its connection no longer delivers data. */
  closeSilent(): void {
    const detail = 'silent while the server answers on another connection';
    this.abort({kind: 'lost', detail, silent: true});
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.abortResult) {
      controller.abort(new Error('abandoned before it was sent'));
      return;
    }
    this.wasSent = true;
  }

  onResponseStart(
    unusedController: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    this.lastByteAt = performance.now();
    this.status = status;
    this.headers = endToEndHeaders(headers);
  }

  onResponseData(
    unusedController: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.lastByteAt = performance.now();
    // Chunks may still arrive after the exchange has ended.
    if (this.abortResult) return;
    this.body.append(chunk);
    if (this.body.byteLength <= this.options.maxBodyBytes) return;
    this.abort({kind: 'too_large'});
    this.body.clear();
  }

  onResponseEnd(): void {
    const load = loadHintOf(this.headers);
    if (headerValue(this.headers, BackendHeader.Shed) === '1') {
      this.finish({kind: 'shed', load});
      return;
    }
    const body = this.body.join();
    const answer = {status: this.status, headers: this.headers, body};
    this.finish({kind: 'answered', answer, load});
  }

  onResponseError(
    unusedController: Dispatcher.DispatchController,
    err: Error,
  ): void {
    const detail = (err as {code?: string}).code ?? err.message;
    const kind = this.wasSent ? 'lost' : 'not_sent';
    this.finish(this.abortResult ?? {kind, detail});
  }

  private abandon(cause: AbandonCause): void {
    const notSentDetail = 'abandoned before it was sent';
    this.abort(
      this.wasSent
        ? {kind: 'abandoned', cause}
        : {kind: 'not_sent', detail: notSentDetail, abandoned: cause},
    );
  }

  private abort(attempt: Attempt): void {
    this.abortResult ??= attempt;
    // Closing the connection cancels the request at the server.
    if (this.controller) this.controller.abort(new Error('abandoned'));
    // If the request has not been started yet, `onRequestStart` aborts it.
    this.finish(this.abortResult);
  }

  private finish(attempt: Attempt): void {
    clearTimeout(this.timer);
    offAbort(this.options.signal, this.onAbort);
    this.resolve(attempt);
  }
}

function headerValue(
  headers: readonly string[],
  name: string,
): string | undefined {
  const index = headers.findIndex((h, i) => i % 2 === 0 && h === name);
  return index < 0 ? undefined : headers[index + 1];
}

function loadHintOf(headers: readonly string[]): LoadHint {
  const inFlight = headerValue(headers, BackendHeader.InFlight);
  return {
    inFlight: inFlight === undefined ? undefined : Number(inFlight),
    state: parseServerState(headerValue(headers, BackendHeader.State)),
  };
}

/** Parses a server state; undefined if it is not a known one. */
export function parseServerState(value: unknown): ServerState | undefined {
  return typeof value === 'string' && SERVER_STATES.has(value)
    ? (value as ServerState)
    : undefined;
}
