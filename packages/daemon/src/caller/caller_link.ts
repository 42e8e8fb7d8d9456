/**
 * One connection of a caller. Its task serves one request after the other, so
 * that answers leave in the order of the requests.
 */
import {
  type CallContext,
  type Clock,
  refusedNotRun,
  RefusalReason,
  type Refused,
} from '@ragworthall/balancer';
import {
  BackendHeader,
  CallerHeader,
  Outcome,
  type Refusal,
} from '@ragworthall/contracts';
import {ok, type Result} from 'neverthrow';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {
  faultMessage,
  faultRefusal,
  refusalOf,
  statusOf,
  writeAnswer,
  writeJson,
  writeRefusal,
} from './answer_writer.js';
import {
  type BodyMemory,
  type BodyReadResult,
  bytesAhead,
  discardBody,
  readBody,
} from './body.js';
import type {CallContextCodec, ContextFault} from './call_context.js';
import type {
  CallerLimits,
  CallerRequest,
  CallerResult,
  CallHandler,
} from './caller_handler.js';
import {headOf, one, requestOf} from './caller_request.js';
import {Inbox} from './inbox.js';
import type {MemberConnections} from './member_connections.js';
import type {Grant, MemberAdmission} from './member_admission.js';
import {Counter, type MetricSink, Timing} from '../metrics/metric.js';
import {faultOfHead} from './message_check.js';
import {faultAnswer, MessageFault, recordedReason} from './message_fault.js';
import {parseTarget, type ServiceTarget} from './request_target.js';

/** Requests that may wait on one connection behind the one being served. */
const MAX_PIPELINED = 64;
/** Time for what is left of a refused body to arrive, milliseconds. */
const LINGER_MS = 500;

/** One request and the place for its answer. */
interface Exchange {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  /** Whether the caller waits for `100 Continue` before it sends the body. */
  readonly expectsContinue: boolean;
}

/** What a connection shares with the others of its server. */
export interface CallerDesk {
  readonly handler: CallHandler;
  readonly limits: CallerLimits;
  readonly clock: Clock;
  readonly bodyMemory: BodyMemory;
  readonly connections: MemberConnections;
  /** Accounts for the members' shares; undefined: every call is admitted. */
  readonly gate: MemberAdmission | undefined;
  /** Reads the context of nested calls; undefined: contexts are ignored. */
  readonly contexts: CallContextCodec | undefined;
  readonly metrics: MetricSink | undefined;
  /** Whether each answer ends its connection. */
  readonly closing: boolean;
}

/** What the connection is doing. */
type Phase = 'idle' | 'receiving' | 'answering';

/** The connection of one caller. */
export class CallerLink {
  private readonly inbox = new Inbox<Exchange>();
  private phase: Phase = 'idle';
  /** Member whose service was called last. */
  private member: string | undefined;
  private onIdle: () => void = () => undefined;

  constructor(
    private readonly socket: Socket,
    private readonly desk: CallerDesk,
  ) {
    socket.once('close', () => this.inbox.close());
  }

  /** Whether no request is being served. */
  get idle(): boolean {
    return this.phase === 'idle' && this.inbox.size === 0;
  }

  /** Takes in a request that the parser found. */
  receive(
    req: IncomingMessage,
    res: ServerResponse,
    expectsContinue: boolean,
  ): void {
    // A connection that dies mid-answer emits an error; its close follows.
    res.on('error', () => undefined);
    if (this.inbox.size >= MAX_PIPELINED) this.socket.destroy();
    else this.inbox.put({req, res, expectsContinue});
  }

  /** Ends the connection for a message that the parser could not read. */
  fail(fault: MessageFault): void {
    // In the middle of an answer, further bytes would pass for a part of it.
    if (this.phase === 'answering' || !this.socket.writable) {
      this.socket.destroy();
      return;
    }
    this.phase = 'answering';
    this.countFault(fault);
    this.socket.end(faultMessage(fault));
    setTimeout(() => this.socket.destroy(), LINGER_MS).unref();
  }

  /** Serves the connection until it closes. */
  async run(): Promise<void> {
    for (;;) {
      const exchange = await this.inbox.take();
      if (!exchange) break;
      this.phase = 'receiving';
      await this.serve(exchange);
      this.phase = 'idle';
      if (this.idle) this.onIdle();
    }
    if (this.member !== undefined) this.desk.connections.remove(this.member);
    this.onIdle();
  }

  /** Resolves when no request is being served. */
  async idled(): Promise<void> {
    if (this.idle) return;
    await new Promise<void>(resolve => {
      const before = this.onIdle;
      this.onIdle = () => {
        before();
        resolve();
      };
    });
  }

  private async serve(exchange: Exchange): Promise<void> {
    const {req} = exchange;
    const fault = faultOfHead(req);
    if (fault) return this.refuse(exchange, fault);
    const target = parseTarget(req.url ?? '/');
    switch (target.kind) {
      case 'addresses':
        return this.answerAddresses(exchange, target.serviceId);
      case 'service':
        return this.serveCall(exchange, target);
      case 'unknown':
        return this.refuse(
          exchange,
          refusedNotRun(RefusalReason.UnknownService),
        );
      case 'malformed':
        return this.refuse(exchange, MessageFault.TargetMalformed);
      default:
        target satisfies never;
    }
  }

  private async answerAddresses(
    exchange: Exchange,
    serviceId: CallerRequest['serviceId'],
  ): Promise<void> {
    const answer = this.desk.handler.addresses(serviceId);
    if (!answer) {
      return this.refuse(exchange, refusedNotRun(RefusalReason.UnknownService));
    }
    await this.write(exchange, res => writeJson(res, 200, answer));
  }

  private async serveCall(
    exchange: Exchange,
    target: ServiceTarget,
  ): Promise<void> {
    const {req, res} = exchange;
    const {bodyBytes, bodyMs} = this.desk.limits;
    this.countFor(target.member);
    if (req.headers[BackendHeader.Rank] !== undefined) {
      return this.refuse(exchange, refusedNotRun(RefusalReason.RankClaimed));
    }
    const ahead = bytesAhead(req, bodyBytes);
    if (ahead > bodyBytes) {
      return this.refuse(exchange, refusedNotRun(RefusalReason.BodyTooLarge));
    }
    const admitted = this.admit(target.member, ahead);
    if (admitted.kind === 'refused') return this.refuse(exchange, admitted);
    using ownedGrant = admitted;
    using memory = this.desk.bodyMemory.reserve(ahead);
    if (!memory)
      return await this.refuse(exchange, MessageFault.BodyMemoryExhausted);
    if (exchange.expectsContinue) res.writeContinue();
    const read = await readBody(req, bodyBytes, bodyMs);
    if (read.kind !== 'complete') return await this.endUnread(exchange, read);
    await this.answerCall(exchange, target, read.body);
  }

  private async answerCall(
    exchange: Exchange,
    target: ServiceTarget,
    body: Uint8Array,
  ): Promise<void> {
    const {req, res} = exchange;
    const context = this.contextOf(req);
    if (context.isErr()) return this.refuse(exchange, context.error);
    const call = requestOf(req, target, body, context.value);
    this.phase = 'answering';
    const left = new AbortController();
    res.once('close', () => {
      if (!res.writableFinished) left.abort();
    });
    const result = await this.handle(call, left.signal);
    await this.write(exchange, () => writeResult(res, result));
  }

  private async handle(
    call: CallerRequest,
    signal: AbortSignal,
  ): Promise<CallerResult> {
    const {handler, clock, metrics} = this.desk;
    const startedAt = clock.now();
    const result = await handler.handle(call, signal);
    const elapsedMs = clock.now() - startedAt;
    metrics?.time(Timing.CallMs, elapsedMs, {
      service: call.serviceId,
      result: result.kind,
    });
    return result;
  }

  private async endUnread(
    exchange: Exchange,
    read: Exclude<BodyReadResult, {kind: 'complete'}>,
  ): Promise<void> {
    switch (read.kind) {
      case 'too_large':
        return this.refuse(exchange, refusedNotRun(RefusalReason.BodyTooLarge));
      case 'too_slow':
        return this.refuse(exchange, MessageFault.RequestTooSlow);
      case 'truncated':
        if (this.phase === 'receiving') this.socket.destroy();
        return;
      default:
        read satisfies never;
    }
  }

  /** Refuses a request; a connection with a body on its way is closed after. */
  private async refuse(
    exchange: Exchange,
    refusal: Refused | MessageFault,
  ): Promise<void> {
    const {req, res} = exchange;
    if (typeof refusal === 'string') this.countFault(refusal);
    // Closing over unread bytes resets the connection, and the refusal with it.
    if (!exchange.expectsContinue) await discardBody(req, LINGER_MS);
    if (res.destroyed) return;
    if (!req.complete) res.setHeader('connection', 'close');
    const told = await this.told(req, refusal);
    const status =
      typeof refusal === 'string'
        ? faultAnswer(refusal).status
        : statusOf(refusal.reason);
    await this.write(exchange, () => writeRefusal(res, status, told));
  }

  /** Returns what may be said: a copy under the same key may have run. */
  private async told(
    req: IncomingMessage,
    refusal: Refused | MessageFault,
  ): Promise<Refusal> {
    const refused =
      typeof refusal === 'string'
        ? refusedNotRun(recordedReason(refusal))
        : refusal;
    const target = parseTarget(req.url ?? '/');
    const key = one(req.headers[CallerHeader.IdempotencyKey]);
    const isKeyed = target.kind === 'service' && key !== undefined;
    const result = isKeyed
      ? await this.desk.handler.refuse(headOf(req, target, key), refused)
      : refused;
    const outcome =
      result.kind === 'refused' ? result.outcome : Outcome.Unknown;
    return typeof refusal === 'string'
      ? faultRefusal(refusal, outcome)
      : {...refusalOf(refusal), outcome};
  }

  /** Writes an answer and waits until the connection has taken it. */
  private async write(
    {res}: Exchange,
    writer: (res: ServerResponse) => void,
  ): Promise<void> {
    if (res.destroyed) return;
    this.phase = 'answering';
    if (!this.mayStayOpen()) res.setHeader('connection', 'close');
    await new Promise<void>(resolve => {
      const onStuck = () => this.socket.destroy();
      const timer = setTimeout(onStuck, this.desk.limits.answerMs);
      res.once('close', () => {
        clearTimeout(timer);
        resolve();
      });
      writer(res);
    });
  }

  private admit(member: string, bytes: number): Grant | Refused {
    const {gate, clock} = this.desk;
    return gate ? gate.admit(member, bytes, clock.now()) : UNACCOUNTED;
  }

  private contextOf(
    req: IncomingMessage,
  ): Result<CallContext | undefined, ContextFault> {
    const {contexts} = this.desk;
    if (!contexts) return ok(undefined);
    return contexts.decode(
      one(req.headers[CallerHeader.CallContext]),
      Date.now(),
    );
  }

  private countFault(fault: MessageFault): void {
    this.desk.metrics?.count(Counter.MessagesRefused, {reason: fault});
  }

  private countFor(member: string): void {
    this.desk.connections.move(this.member, member);
    this.member = member;
  }

  private mayStayOpen(): boolean {
    if (this.desk.closing) return false;
    const {member} = this;
    return member === undefined || this.desk.connections.mayKeepOpen(member);
  }
}

const nothing = () => undefined;
/** Takes in every call, where no gate accounts for them. */
const UNACCOUNTED: Grant = {kind: 'granted', [Symbol.dispose]: nothing};

function writeResult(res: ServerResponse, result: CallerResult): void {
  switch (result.kind) {
    case 'answered':
      return writeAnswer(res, result.answer, result.requestId);
    case 'refused':
      return writeRefusal(
        res,
        statusOf(result.reason),
        refusalOf(result),
        result.requestId,
      );
    default:
      result satisfies never;
  }
}
