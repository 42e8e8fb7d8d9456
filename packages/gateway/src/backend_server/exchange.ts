/** One request and its answer on a connection to a backend server. */
import {offAbort, onAbort} from '@ragworthall/balancer';
import {BodyBuffer} from '@ragworthall/daemon';
import type {Dispatcher} from 'undici';
import type {AnswerHead} from '../platform/wire_format.js';
import type {AnswerCosts, ReceivedAnswer} from './answer_costs.js';
import type {BackendConnection} from './backend_connection.js';
import {trailerBytesOf} from './trailer_bytes.js';

/** How an exchange ended, before its headers are interpreted. */
export type ExchangeResult =
  | {
      readonly kind: 'message';
      readonly status: number;
      readonly headers: Readonly<Record<string, string | string[] | undefined>>;
      readonly body: BodyBuffer;
    }
  | {readonly kind: 'not_sent'; readonly detail: string}
  | {readonly kind: 'broken'; readonly detail: string}
  | {readonly kind: 'late'}
  | {readonly kind: 'abandoned'};

/** Detail of a request whose time was over before it was sent. */
export const LATE_UNSENT = 'late before it was sent';

/** A complete answer. */
export type Message = Extract<ExchangeResult, {kind: 'message'}>;

/** Time from the first byte of an answer to the end of its head, milliseconds. */
const HEAD_TIMEOUT_MS = 5_000;
/** Bytes of an answer besides its body: head, informational answers, trailers. */
const MAX_OVERHEAD_BYTES = 32_768;
/** A read of so many bytes without one of a body is of trailers, bytes. */
const TRAILER_READ_BYTES = 4_096;
/** Ends a head. */
const BLANK_LINE = '\r\n\r\n';
/** Bytes that frame one byte of a body, at most: a chunk of a single byte. */
const MAX_FRAMING_FACTOR = 8;
/** Chunks shorter than this count as short, bytes. */
const SHORT_CHUNK_BYTES = 64;
/** Short chunks after which they are counted anew. */
const SHORT_CHUNK_STEP = 1_024;
/** Lower status codes announce that the final answer is still to come. */
const FIRST_FINAL_STATUS = 200;

/** Receives the head of an answer, which may still be broken off. */
export type HeadListener = (head: AnswerHead) => void;

/** Limits of one exchange. */
export interface ExchangeLimits {
  /** Time after which it is given up, milliseconds. */
  readonly timeoutMs: number;
  /** Largest body of the answer, bytes. */
  readonly maxBodyBytes: number;
}

/** Buffers the answer to one request. */
export class Exchange implements Dispatcher.DispatchHandler, ReceivedAnswer {
  /** Resolves when the exchange has ended. Never rejects. */
  readonly ended: Promise<ExchangeResult>;
  private resolve!: (result: ExchangeResult) => void;
  private controller: Dispatcher.DispatchController | undefined;
  private sent = false;
  private status = 0;
  private headers: Record<string, string | string[] | undefined> = {};
  private readonly body = new BodyBuffer();
  private earlyResult: ExchangeResult | undefined;
  private readonly timer: NodeJS.Timeout;
  private headTimer: NodeJS.Timeout | undefined;
  /** How often bytes of the answer were read. */
  private reads = 0;
  /** State at the last read, if the head had ended before it. */
  private lastRead: {parsed: number; bodyBytes: number} | undefined;
  private shortChunks = 0;
  private readonly onAbort = () => this.abort({kind: 'abandoned'});

  constructor(
    private readonly connection: BackendConnection,
    private readonly costs: AnswerCosts,
    private readonly limits: ExchangeLimits,
    private readonly signal: AbortSignal,
    private readonly onHead: HeadListener,
  ) {
    this.ended = new Promise(resolve => (this.resolve = resolve));
    // After the process was paused, an answer may be waiting in the socket: read it
    // before the timeout takes effect.
    const onTimeout = () => setImmediate(() => this.abort({kind: 'late'}));
    this.timer = setTimeout(onTimeout, Math.max(0, limits.timeoutMs));
    if (signal.aborted) this.onAbort();
    else onAbort(signal, this.onAbort);
  }

  /** Address of the server that answers. */
  get address(): string {
    return this.connection.address;
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.earlyResult) controller.abort(new Error('ended before sending'));
    else this.sent = true;
  }

  /**
   * Checks the bytes that the connection has read since the request, before they
   * are parsed: those of an answer without end need not be part of a body.
   *
   * @param parsed Number of the bytes that have been parsed.
   * @param peek Returns the bytes that have not.
   */
  onBytesRead(parsed: number, unparsed: number, peek: () => Buffer): void {
    // The head of nearly every answer comes whole, in the first read.
    if (this.status === 0 && this.reads === 1) {
      const onTimeout = () => this.fail('the head of the answer does not end');
      this.headTimer = setTimeout(onTimeout, HEAD_TIMEOUT_MS);
    }
    this.reads += 1;
    const {byteLength} = this.body;
    const allowed = MAX_OVERHEAD_BYTES + MAX_FRAMING_FACTOR * byteLength;
    // Trailers are not parsed beyond the limit: each field takes long.
    const surplus = this.isInTrailers(parsed) ? unparsed : 0;
    if (parsed + surplus - byteLength > allowed) {
      this.fail('the answer has too much besides its body');
    }
    if (this.status !== 0) this.lastRead = {parsed, bodyBytes: byteLength};
    // Parsing many header fields takes long, also of a head that does not end.
    if (this.status !== 0 || parsed + unparsed <= MAX_OVERHEAD_BYTES) return;
    const bytes = peek();
    if (!bytes.includes(BLANK_LINE)) this.fail('the head is too long');
    else if (trailerBytesOf(bytes) > MAX_OVERHEAD_BYTES) {
      this.fail('the answer has too much besides its body');
    }
  }

  /** Whether what was read last was parsed as trailers, so that no body follows. */
  private isInTrailers(parsed: number): boolean {
    const {lastRead} = this;
    return (
      lastRead !== undefined &&
      this.body.byteLength === lastRead.bodyBytes &&
      parsed - lastRead.parsed >= TRAILER_READ_BYTES
    );
  }

  /** Ends the exchange because of what the server sent. */
  fail(detail: string): void {
    this.abort({kind: 'broken', detail});
  }

  onResponseStart(
    unusedController: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    if (status < FIRST_FINAL_STATUS) return;
    clearTimeout(this.headTimer);
    this.status = status;
    this.headers = headers;
    this.onHead({status, headers});
  }

  onResponseData(
    unusedController: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    // Chunks may still arrive after the exchange has ended.
    if (this.earlyResult) return;
    const {body, limits} = this;
    const costBefore = body.costBytes;
    body.append(chunk);
    if (body.byteLength > limits.maxBodyBytes) {
      this.fail(`the body of the answer exceeds ${limits.maxBodyBytes} bytes`);
      return;
    }
    if (chunk.byteLength < SHORT_CHUNK_BYTES) this.countShortChunk();
    // What has ended must not take memory again.
    if (this.earlyResult || body.costBytes === costBefore) return;
    this.costs.memory.record(this, body.costBytes);
  }

  onResponseEnd(): void {
    const {status, headers, body} = this;
    // An answer without a length is incomplete if a reset ended it.
    if (this.connection.isBroken) {
      this.finish({kind: 'broken', detail: 'reset within the answer'});
      return;
    }
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

  private countShortChunk(): void {
    this.shortChunks += 1;
    if (this.shortChunks % SHORT_CHUNK_STEP !== 0) return;
    this.costs.shortChunks.record(this, SHORT_CHUNK_STEP, performance.now());
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
    clearTimeout(this.headTimer);
    this.costs.release(this);
    if (this.earlyResult) this.body.clear();
    offAbort(this.signal, this.onAbort);
    this.resolve(result);
  }
}
