/**
 * Decides whether a request may be sent, by the servers that ended under requests
 * with its content, and finds out whether one ended under it.
 */
import type {SharedServer} from '@ragworthall/balancer';
import {ProcessState} from '../backend_server/backend_client.js';
import type {SendResult} from '../backend_server/send_result.js';
import type {GatewayLog} from '../log/gateway_log.js';
import {type Content, contentFingerprint} from './content_fingerprint.js';
import {ContentRun} from './content_run.js';
import type {ProcessExaminer} from './process_examiner.js';
import {RowWrite, type SharedContents} from './shared_contents.js';

/**
 * Time that a suspect content waits for its claim, milliseconds. Without an answer
 * of the store it runs alone in this instance only, so a slow store is waited for.
 */
const CLAIM_WAIT_MS = 400;
/** Time for which a claim outlasts the deadline of its request, milliseconds. */
const CLAIM_MARGIN_MS = 500;
/** Time after which a caller may return if the store takes no claim, milliseconds. */
const NO_CLAIM_RETRY_MS = 1_000;

/** A request whose content may be suspect. */
export interface GuardedRequest extends Content {
  readonly id: string;
  /** Aborted when the caller has disconnected. */
  readonly callerGone: AbortSignal;
}

/** Whether a request may be sent. */
export type ContentPermission =
  | {readonly kind: 'granted'; readonly run: ContentRun}
  | {readonly kind: 'refused'; readonly forMs: number}
  /** It waited too long for another request with its content. */
  | {readonly kind: 'no_time'};

/** Guards the servers against contents under which they end. */
export class ContentGuard {
  constructor(
    private readonly contents: SharedContents,
    private readonly examiner: ProcessExaminer,
    private readonly log: GatewayLog,
  ) {}

  /**
   * Waits until a request may be sent; at once unless its content is suspect.
   *
   * @param timeLeftMs Returns the time within which it has to be sent.
   */
  async waitForPermission(
    request: GuardedRequest,
    timeLeftMs: () => number,
  ): Promise<ContentPermission> {
    const {contents} = this;
    const free = new ContentRun(contents, request, 0);
    // The common case is fast: no content is suspect.
    if (contents.size === 0) return granted(free);
    const fingerprint = contentFingerprint(request);
    for (;;) {
      const status = contents.statusOf(fingerprint, Date.now());
      const leftMs = timeLeftMs();
      switch (status.kind) {
        case 'clear':
          return granted(free);
        case 'refused':
          return status;
        case 'claimed':
        case 'suspect':
        case 'trial':
          break;
        default:
          status satisfies never;
      }
      if (leftMs <= 0 || request.callerGone.aborted) return {kind: 'no_time'};
      const isClaimed = status.kind === 'claimed';
      const lock = contents.lockOf(fingerprint);
      const held = isClaimed ? undefined : lock.tryTake();
      if (!held) {
        const waitMs = isClaimed ? Math.min(status.forMs, leftMs) : leftMs;
        await lock.wait(waitMs, request.callerGone);
        continue;
      }
      const isTrial = status.kind === 'trial';
      const claimed = await contents.claim(
        fingerprint,
        Date.now() + leftMs + CLAIM_MARGIN_MS,
        isTrial ? leftMs : CLAIM_WAIT_MS,
      );
      // Without the store, a suspect content runs alone here at least.
      const mayRun =
        claimed === RowWrite.Written ||
        (claimed === RowWrite.Failed && !isTrial);
      if (mayRun) {
        const knownEnds = contents.knownEnds(fingerprint);
        return granted(new ContentRun(contents, request, knownEnds, held));
      }
      held[Symbol.dispose]();
      if (claimed === RowWrite.Failed) {
        return {kind: 'refused', forMs: NO_CLAIM_RETRY_MS};
      }
    }
  }

  /**
   * Learns from a send whether servers end under the content; resolves with whether
   * the process of this server has ended, when that is known. Never rejects.
   */
  async recordSend(
    run: ContentRun,
    request: GuardedRequest,
    server: SharedServer,
    result: SendResult,
  ): Promise<boolean> {
    switch (result.kind) {
      case 'answered':
        run.recordAnswer();
        return false;
      case 'lost':
        if (!result.brokeOff) return false;
        return run.holdFor(this.examine(run, request, server));
      case 'late':
        return run.holdFor(this.examine(run, request, server));
      case 'not_run':
      case 'not_sent':
      case 'abandoned':
        return false;
      default:
        return result satisfies never;
    }
  }

  /** Examines a server that did not answer; resolves with whether it ended. */
  private async examine(
    run: ContentRun,
    {id}: GuardedRequest,
    server: SharedServer,
  ): Promise<boolean> {
    const process = await this.examiner.examine(server);
    this.log.stateChange('server_examined', {
      server: server.entry.id,
      process,
      request: id,
      content: run.fingerprint,
    });
    switch (process) {
      case ProcessState.Ended:
      case ProcessState.BreaksOff:
        run.recordEnd(Date.now());
        return process === ProcessState.Ended;
      case ProcessState.Running:
      case ProcessState.Unknown:
        return false;
      default:
        return process satisfies never;
    }
  }
}

function granted(run: ContentRun): ContentPermission {
  return {kind: 'granted', run};
}
