/** A request received by the stand-in backend server. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {BackendHeader, CallerHeader} from '@ragworthall/contracts';
import {headerValue} from '../link/message.js';

/** JSON body of the answer to a completed request. */
export interface BackendAnswer {
  /** Id of the backend server. */
  readonly server: string;
  readonly requestId: string;
  /** Path and query string as received. */
  readonly path: string;
  /** Idempotency key of the request, if any. */
  readonly key?: string;
  /** The request body. */
  readonly echo: string;
}

/** A request whose body has been read. */
export class ReceivedRequest {
  readonly requestId: string;
  readonly idempotencyKey: string | undefined;
  /** When the sender stops waiting, in milliseconds on the monotonic clock. */
  readonly deadlineMs: number;

  constructor(
    readonly req: IncomingMessage,
    readonly res: ServerResponse,
    readonly body: string,
    now: number,
  ) {
    this.requestId = headerValue(req, BackendHeader.RequestId) ?? '';
    this.idempotencyKey = headerValue(req, CallerHeader.IdempotencyKey);
    const timeoutMs = headerValue(req, BackendHeader.TimeoutMs);
    this.deadlineMs = timeoutMs ? now + Number(timeoutMs) : Infinity;
  }

  /** Key of the request in the ledger. */
  get ledgerKey(): string {
    return this.idempotencyKey ?? this.requestId;
  }

  /** Whether the connection is closed, so that no answer can be sent. */
  get isConnectionClosed(): boolean {
    return this.req.socket.destroyed;
  }

  /** Builds the body of the answer sent by the backend server `server`. */
  answerBody(server: string): BackendAnswer {
    return {
      server,
      requestId: this.requestId,
      path: this.req.url!,
      key: this.idempotencyKey,
      echo: this.body,
    };
  }
}
