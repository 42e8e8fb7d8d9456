/** A caller's connection and its pipelined requests, which are answered in order. */
import {
  closeLingering,
  discardInput,
  HeadProgress,
  lingerAfterLastAnswer,
} from '@ragworthall/daemon';
import {setMaxListeners} from 'node:events';
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {encodeRejection, Rejection} from './rejection.js';
import {RequestTurns} from './request_turns.js';
import {Admission, type UnreadAccount} from './unread_answers.js';

/** Requests of one connection that are served at the same time. */
const MAX_IN_FLIGHT = 16;

/** How a server goes on with its connections. */
export const ServingPhase = {
  Serving: 'serving',
  /** Each connection ends with the answers to what it has received. */
  Closing: 'closing',
  /** Connections that are not in use end, too. */
  Closed: 'closed',
} as const;

/** A value of {@link ServingPhase}. */
export type ServingPhase = (typeof ServingPhase)[keyof typeof ServingPhase];

/** What a connection still held when it was closed. */
export interface ConnectionCut {
  /** Requests that were in flight without an answer. */
  readonly unanswered: number;
  /** Answers of which bytes had not left the process. */
  readonly unsent: number;
}

/** One connection of a caller. */
export class CallerConnection {
  /** Aborted when the caller has closed the connection. */
  private readonly closeController = new AbortController();
  /** Responses of the requests in flight, in the order of the requests. */
  private readonly openResponses = new Set<ServerResponse>();
  /** Sizes of the answers that were written, while their bytes have not left. */
  private readonly unreadBytes = new Map<ServerResponse, number>();
  private readonly turns: RequestTurns;
  private readonly heads: HeadProgress;
  /** Whether no further request is served. */
  private isEnding = false;
  /** What is answered after the requests in flight, before the connection ends. */
  private rejection: Rejection | undefined;
  /** Resolves when the last request so far has been received or rejected. */
  private lastReceived: Promise<unknown> = Promise.resolve();
  /** Answers that were not sent whole when the socket was destroyed. */
  private droppedAnswers = 0;
  /** Bytes that had been read when the last request was answered. */
  private bytesReadBefore = 0;

  constructor(
    private readonly socket: Socket,
    private readonly phase: () => ServingPhase,
    private readonly onRejected: (rejection: Rejection) => void,
    private readonly unread: UnreadAccount,
  ) {
    this.heads = new HeadProgress(socket);
    this.turns = new RequestTurns(socket, () => this.inFlight);
    lingerAfterLastAnswer(socket);
    // Each request in flight adds a listener.
    setMaxListeners(0, this.closeController.signal);
    socket.once('close', () => {
      this.closeController.abort();
      unread[Symbol.dispose]();
      this.turns.check();
    });
  }

  /** Aborted when the caller has disconnected. */
  get closed(): AbortSignal {
    return this.closeController.signal;
  }

  /** What is lost if the connection closes now, or was if it has closed. */
  get cut(): ConnectionCut {
    const unsent = this.responses.filter(res => res.writableEnded).length;
    return {
      unanswered: this.openResponses.size - unsent,
      unsent: unsent + this.droppedAnswers,
    };
  }

  /** Number of requests in flight. */
  get inFlight(): number {
    return this.openResponses.size;
  }

  /** Whether any request is in flight. */
  get isBusy(): boolean {
    return this.openResponses.size > 0;
  }

  /** Whether a request is in flight or is being received. */
  get isInUse(): boolean {
    if (this.isBusy) return true;
    return !this.isEnding && this.socket.bytesRead > this.bytesReadBefore;
  }

  /**
   * Registers a request; returns false if the connection is ending, so that the
   * request would get no answer.
   */
  accept(res: ServerResponse): boolean {
    this.heads.arrived();
    // Behind others it might wait for its turn until the stop is over.
    this.isEnding ||= this.isClosing && this.isBusy;
    if (this.isEnding) {
      discardInput(this.socket);
      return false;
    }
    this.openResponses.add(res);
    this.turns.arrived();
    res.once('close', () => this.forget(res));
    return true;
  }

  /**
   * Receives the requests one after another, so that none begins before those
   * ahead of it are known not to end the connection. Resolves with undefined if
   * one of them has, or if there is no memory for its answer.
   *
   * @param refuse Rejects the request for lack of memory.
   */
  async receive<T>(
    res: ServerResponse,
    read: () => Promise<T>,
    refuse: () => void,
  ): Promise<T | undefined> {
    const received = this.lastReceived.then(async () => {
      await this.turns.wait(() => this.mustWait(res));
      if (!this.openResponses.has(res)) return undefined;
      if (this.admissionOf(res) !== Admission.Refuse) return await read();
      refuse();
      return undefined;
    });
    this.lastReceived = received.catch(() => undefined);
    const request = await received;
    if (!this.openResponses.has(res)) return undefined;
    if (!this.isClosing || this.responses[0] === res) return request;
    this.endBefore(res);
    return undefined;
  }

  /**
   * Returns whether the connection ends with the answer about to be written. Only
   * the last request in flight may end it: answers after it would be lost.
   */
  closesAfter(res: ServerResponse): boolean {
    if (!this.isClosing || this.rejection) return false;
    const isLast = this.responses.at(-1) === res;
    this.isEnding ||= isLast;
    return isLast;
  }

  /**
   * Records an answer that was written.
   *
   * @param bytes Size of its body.
   * @param stallMs Time without progress after which its caller counts as gone.
   */
  answered(res: ServerResponse, bytes: number, stallMs: number): void {
    this.unread.learn(bytes);
    this.turns.check();
    if (!this.openResponses.has(res) || res.writableLength === 0) return;
    this.unreadBytes.set(res, bytes);
    this.socket.setTimeout(stallMs);
    this.unread.written(bytes, performance.now());
  }

  /** Looks again whether a request has to wait, since the server is closing. */
  checkTurn(): void {
    this.turns.check();
  }

  /**
   * Closes the connection unless it is in use. A request that arrives while the
   * close is on its way is not served: its caller could not read the answer.
   */
  closeIdle(): void {
    if (!this.isInUse) this.end();
  }

  /**
   * Closes the connection after a time without progress, unless the next answer is
   * still awaited from a server. A request that came while the process stood still
   * is read first.
   */
  closeTimedOut(): void {
    const {bytesRead} = this.socket;
    setImmediate(() => {
      if (this.socket.bytesRead > bytesRead) return;
      if (!this.isBusy) this.end();
      else if (this.responses[0]?.writableEnded) this.socket.destroy();
    });
  }

  /**
   * Answers the requests in flight, then writes a rejection and ends the
   * connection. No request from `from` on is served, nor one that arrives later;
   * without `from`, none that has not been read completely.
   */
  reject(rejection: Rejection, from?: ServerResponse): void {
    // Bytes behind the last answer do not concern the connection.
    if (this.isEnding) return;
    this.rejection = rejection;
    this.onRejected(rejection);
    this.endBefore(from ?? this.responses.find(({req}) => !req.complete));
  }

  /** Ends the connection after the answers to what has been received. */
  endAfterReceived(): void {
    this.endBefore(this.responses.find(({req}) => !req.complete));
  }

  /**
   * Rejects a head that has not arrived in time.
   *
   * @param limitMs Time that a head may take.
   */
  async rejectLate(rejection: Rejection, limitMs: number): Promise<void> {
    if (await this.heads.isLate(limitMs)) this.reject(rejection);
  }

  private forget(res: ServerResponse): void {
    if (!this.openResponses.delete(res)) return;
    const bytes = this.unreadBytes.get(res);
    this.unreadBytes.delete(res);
    if (bytes !== undefined) this.unread.sent(bytes, performance.now());
    this.turns.check();
    // Node.js reports answers as finished that a destroyed socket has dropped.
    if (this.socket.destroyed) this.droppedAnswers += 1;
    this.bytesReadBefore = this.socket.bytesRead;
    const ends = this.isEnding || this.phase() === ServingPhase.Closed;
    if (ends && !this.isBusy) this.end();
  }

  /** Serves nothing from a request on, and ends after the answers ahead of it. */
  private endBefore(first: ServerResponse | undefined): void {
    this.isEnding = true;
    const {responses} = this;
    if (first) {
      responses.slice(responses.indexOf(first)).forEach(res => this.drop(res));
    }
    this.turns.check();
    if (!this.isBusy) this.end();
  }

  private mustWait(res: ServerResponse): boolean {
    if (this.isClosing || this.closed.aborted) return false;
    if (!this.openResponses.has(res)) return false;
    return this.admissionOf(res) === Admission.Wait;
  }

  private admissionOf(res: ServerResponse): Admission {
    const {responses} = this;
    const ahead = responses.slice(0, responses.indexOf(res));
    if (ahead.length >= MAX_IN_FLIGHT) return Admission.Wait;
    const served = ahead.filter(({writableEnded}) => !writableEnded);
    return this.unread.admission(served.length);
  }

  private get responses(): readonly ServerResponse[] {
    return [...this.openResponses];
  }

  private get isClosing(): boolean {
    return this.phase() !== ServingPhase.Serving;
  }

  private drop(res: ServerResponse): void {
    this.openResponses.delete(res);
    res.req.resume();
  }

  private end(): void {
    this.isEnding = true;
    const {rejection} = this;
    closeLingering(this.socket, rejection && encodeRejection(rejection));
  }
}
