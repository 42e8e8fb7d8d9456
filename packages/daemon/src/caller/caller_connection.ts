/**
 * A caller's HTTP/1.1 connection. One task per connection serves its requests
 * in sequence, so pipelined requests are answered in the order they arrived.
 */
import {
  type CallContext,
  refusedNotRun,
  RefusalReason,
  type Refused,
} from '@ragworthall/balancer';
import {BackendHeader, CallerHeader} from '@ragworthall/contracts';
import {ok, type Result} from 'neverthrow';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {
  encodeFaultAnswer,
  writeJson,
  writeRefusal,
  writeResult,
} from './answer_writer.js';
import {
  type BodyReadResult,
  maxBodyBytesOf,
  discardBody,
  readBody,
} from './body.js';
import type {ContextFault} from './call_context.js';
import type {CallerRequest, CallerResult} from './caller_handler.js';
import {callerRequestOf, singleValue} from './caller_request.js';
import type {CallerServerContext} from './caller_server_context.js';
import {HeadProgress} from './head_progress.js';
import {areValidFields} from './header_syntax.js';
import {Inbox} from './inbox.js';
import {closeLingering, LINGER_MS} from './lingering_close.js';
import {type Grant, UNLIMITED_GRANT} from './member_admission.js';
import {Counter, Timing} from '../metrics/metric.js';
import {faultOfHead} from './message_check.js';
import {MessageFault} from './message_fault.js';
import {discardInput} from './parser_detachment.js';
import {createRefusal, REFUSED_STOPPING, statusOfRefusal} from './refusal.js';
import {parseTarget, type ServiceTarget} from './request_target.js';

/** Maximum number of requests queued on a connection behind the current one. */
const MAX_PIPELINED_REQUESTS = 64;

/** Longest time for sending an answer, as a multiple of the limit on its stalls. */
const MAX_ANSWER_STALLS = 10;

/** A received request and the response object to answer it with. */
interface PendingRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  /** Whether the caller waits for `100 Continue` before it sends the body. */
  readonly expectsContinue: boolean;
}

/** What the connection is currently doing. */
type Phase = 'idle' | 'receiving' | 'answering' | 'writing';

/** Serves the requests of one caller connection. */
export class CallerConnection {
  private readonly queue = new Inbox<PendingRequest>();
  private phase: Phase = 'idle';
  /** The request that is being received or answered. */
  private current: IncomingMessage | undefined;
  private readonly heads: HeadProgress;
  /** Whether no request that arrives from now on is served. */
  private isEnding = false;
  /** Whether the last bytes have been written. */
  private hasEnded = false;
  /** What is answered after the requests so far, before the connection ends. */
  private fault: MessageFault | undefined;
  /** Member whose service was called last; the connection counts towards it. */
  private lastMember: string | undefined;
  /** Bytes that had been read when the last request was answered. */
  private bytesReadBefore = 0;
  /** Aborted when the current call is to end without its answer. */
  private callEnding = new AbortController();

  constructor(
    private readonly socket: Socket,
    private readonly server: CallerServerContext,
  ) {
    this.heads = new HeadProgress(socket);
    socket.once('close', () => this.queue.close());
  }

  /** Whether no request is being served or queued. */
  get idle(): boolean {
    return this.phase === 'idle' && this.queue.size === 0;
  }

  /** Number of requests whose answers are not known. */
  get unanswered(): number {
    const isCurrent = this.phase === 'receiving' || this.phase === 'answering';
    return this.queue.size + (isCurrent ? 1 : 0);
  }

  /** Queues a parsed request; too many queued requests end the connection. */
  receive(
    req: IncomingMessage,
    res: ServerResponse,
    expectsContinue: boolean,
  ): void {
    // A connection lost mid-answer emits `error`; `write` handles its `close`.
    res.on('error', () => undefined);
    this.heads.arrived();
    this.isEnding ||=
      this.server.isOver ||
      // While requests wait, the connection would not end.
      (this.server.closing && !this.idle) ||
      this.queue.size >= MAX_PIPELINED_REQUESTS;
    // Behind an answer that ends the connection, its caller takes it for not read.
    if (this.isEnding) return discardInput(this.socket);
    if (this.idle) this.begin(req);
    this.queue.put({req, res, expectsContinue});
  }

  /**
   * Answers the requests received so far, then a message that could not be
   * parsed, and ends the connection.
   */
  fail(fault: MessageFault): void {
    if (this.isEnding) return;
    this.isEnding = true;
    this.fault = fault;
    this.countFault(fault);
    const isFaultInBody = this.phase === 'receiving' && !this.current?.complete;
    if (this.idle || isFaultInBody) this.end();
  }

  /** Fails a message that has not arrived in time. */
  async failLate(fault: MessageFault): Promise<void> {
    const {headersMs} = this.server.limits;
    if (await this.heads.isLate(headersMs)) this.fail(fault);
  }

  /** Serves the connection until it closes. */
  async run(): Promise<void> {
    for (;;) {
      const pending = await this.queue.take();
      if (!pending) break;
      this.begin(pending.req);
      await this.serve(pending);
      this.phase = 'idle';
      this.bytesReadBefore = this.socket.bytesRead;
      // The head of an answer may have been written before the drain began.
      const ends = this.isEnding || this.server.closing;
      if (this.idle && ends) this.end();
    }
    if (this.lastMember !== undefined)
      this.server.connections.remove(this.lastMember);
  }

  /** Nothing was received or sent for the time limit in force. */
  handleSilence(): void {
    if (this.phase === 'writing') this.socket.destroy();
    else this.closeIdle();
  }

  /**
   * Closes the connection unless a request is being received or answered. One that
   * arrives while the close is on its way does not run.
   */
  closeIdle(): void {
    const isHeadArriving = this.socket.bytesRead > this.bytesReadBefore;
    if (this.idle && !isHeadArriving) this.end();
  }

  /** Ends the current call, and the connection after the requests so far. */
  endAfterCurrent(): void {
    this.callEnding.abort();
    this.isEnding = true;
    if (this.idle) this.end();
  }

  private begin(req: IncomingMessage): void {
    this.phase = 'receiving';
    this.current = req;
  }

  /** Writes the last answer. */
  private end(): void {
    if (this.hasEnded) return;
    this.isEnding = true;
    this.hasEnded = true;
    const lastBytes = this.fault ? encodeFaultAnswer(this.fault) : '';
    closeLingering(this.socket, lastBytes);
  }

  private async serve(pending: PendingRequest): Promise<void> {
    const {req} = pending;
    // The rest of its body could not be parsed.
    if (this.fault && !req.complete) return;
    const fault = faultOfHead(req);
    if (fault) return this.refuse(pending, fault);
    const target = parseTarget(req.url ?? '/');
    switch (target.kind) {
      case 'addresses':
        return this.answerAddresses(pending, target.serviceId);
      case 'service':
        return this.serveCall(pending, target);
      case 'unknown':
        return this.refuse(
          pending,
          refusedNotRun(RefusalReason.UnknownService),
        );
      case 'malformed':
        return this.refuse(pending, MessageFault.TargetMalformed);
      default:
        target satisfies never;
    }
  }

  private async answerAddresses(
    pending: PendingRequest,
    serviceId: CallerRequest['serviceId'],
  ): Promise<void> {
    const answer = this.server.handler.addresses(serviceId);
    if (!answer) {
      return this.refuse(pending, refusedNotRun(RefusalReason.UnknownService));
    }
    await this.write(pending, res => writeJson(res, 200, answer));
  }

  private async serveCall(
    pending: PendingRequest,
    target: ServiceTarget,
  ): Promise<void> {
    const {req, res} = pending;
    const {bodyBytes, bodyMs} = this.server.limits;
    this.countTowards(target.member);
    if (req.headers[BackendHeader.Rank] !== undefined) {
      return this.refuse(pending, refusedNotRun(RefusalReason.RankClaimed));
    }
    const maxBytes = maxBodyBytesOf(req, bodyBytes);
    if (maxBytes > bodyBytes) {
      return this.refuse(pending, refusedNotRun(RefusalReason.BodyTooLarge));
    }
    if (this.server.isOver) {
      return this.refuse(pending, REFUSED_STOPPING);
    }
    const admission = this.admit(target.member, maxBytes);
    if (admission.kind === 'refused') return this.refuse(pending, admission);
    using ownedGrant = admission;
    using memory = this.server.bodyMemory.reserve(maxBytes);
    if (!memory)
      return await this.refuse(pending, MessageFault.BodyMemoryExhausted);
    if (pending.expectsContinue) res.writeContinue();
    this.callEnding = new AbortController();
    const {signal} = this.callEnding;
    const read = await readBody(req, bodyBytes, bodyMs, signal);
    if (read.kind !== 'complete')
      return await this.handleUnreadBody(pending, read);
    if (!areValidFields(req.rawTrailers))
      return await this.refuse(pending, MessageFault.HeaderMalformed);
    await this.answerCall(pending, target, read.body);
  }

  private async answerCall(
    pending: PendingRequest,
    target: ServiceTarget,
    body: Uint8Array,
  ): Promise<void> {
    if (this.hasEnded) return;
    const {req, res} = pending;
    const context = this.readContext(req);
    if (context.isErr()) return this.refuse(pending, context.error);
    const call = callerRequestOf(req, target, body, context.value);
    this.phase = 'answering';
    const {callEnding} = this;
    res.once('close', () => {
      if (!res.writableFinished) callEnding.abort();
    });
    const result = await this.handle(call, callEnding.signal);
    await this.write(pending, () => writeResult(res, result));
  }

  private async handle(
    call: CallerRequest,
    signal: AbortSignal,
  ): Promise<CallerResult> {
    const {handler, clock, metrics} = this.server;
    const startedAt = clock.now();
    const result = await handler.handle(call, signal);
    const elapsedMs = clock.now() - startedAt;
    metrics?.time(Timing.CallMs, elapsedMs, {
      service: call.serviceId,
      result: result.kind,
    });
    return result;
  }

  private async handleUnreadBody(
    pending: PendingRequest,
    read: Exclude<BodyReadResult, {kind: 'complete'}>,
  ): Promise<void> {
    switch (read.kind) {
      case 'too_large':
        return this.refuse(pending, refusedNotRun(RefusalReason.BodyTooLarge));
      case 'too_slow':
        return this.refuse(pending, MessageFault.RequestTooSlow);
      case 'ended':
        return this.refuse(pending, REFUSED_STOPPING);
      case 'truncated':
        if (this.phase === 'receiving') this.socket.destroy();
        return;
      default:
        read satisfies never;
    }
  }

  /** Refuses a request; closes the connection if its body is incomplete. */
  private async refuse(
    pending: PendingRequest,
    refusal: Refused | MessageFault,
  ): Promise<void> {
    const {req, res} = pending;
    if (typeof refusal === 'string') this.countFault(refusal);
    // Closing a socket with unread bytes resets the connection, and the caller
    // would lose the refusal.
    if (!pending.expectsContinue) await discardBody(req, LINGER_MS);
    if (res.destroyed || this.hasEnded) return;
    // A caller whose fields are malformed may frame its messages differently.
    if (refusal === MessageFault.HeaderMalformed) {
      this.isEnding = true;
      this.queue.clear();
    }
    this.isEnding ||= !req.complete;
    const {handler} = this.server;
    const responseBody = await createRefusal(handler, req, refusal);
    const status = statusOfRefusal(refusal);
    await this.write(pending, () => writeRefusal(res, status, responseBody));
  }

  /** Writes an answer and waits until it is sent; a stalled one is aborted. */
  private async write(
    {res}: PendingRequest,
    writer: (res: ServerResponse) => void,
  ): Promise<void> {
    if (res.destroyed) return;
    this.phase = 'writing';
    if (this.endsWithNextAnswer()) {
      this.isEnding = true;
      res.setHeader('connection', 'close');
    }
    await new Promise<void>(resolve => {
      const {answerMs} = this.server.limits;
      const abort = () => this.socket.destroy();
      const timer = setTimeout(abort, MAX_ANSWER_STALLS * answerMs);
      // Reported when the caller has taken nothing for this long.
      this.socket.setTimeout(answerMs);
      res.once('close', () => {
        clearTimeout(timer);
        resolve();
      });
      writer(res);
    });
  }

  private admit(member: string, bytes: number): Grant | Refused {
    const {admission, clock} = this.server;
    return admission?.admit(member, bytes, clock.now()) ?? UNLIMITED_GRANT;
  }

  private readContext(
    req: IncomingMessage,
  ): Result<CallContext | undefined, ContextFault> {
    const {contextCodec} = this.server;
    if (!contextCodec) return ok(undefined);
    return contextCodec.decode(
      singleValue(req.headers[CallerHeader.CallContext]),
      Date.now(),
    );
  }

  private countFault(fault: MessageFault): void {
    this.server.metrics?.count(Counter.MessagesRefused, {reason: fault});
  }

  private countTowards(member: string): void {
    this.server.connections.move(this.lastMember, member);
    this.lastMember = member;
  }

  /** Returns whether no answer follows the one about to be written. */
  private endsWithNextAnswer(): boolean {
    if (this.queue.size > 0 || this.fault) return false;
    if (this.isEnding || this.server.closing) return true;
    const {lastMember} = this;
    return (
      lastMember !== undefined &&
      !this.server.connections.mayKeepOpen(lastMember)
    );
  }
}
