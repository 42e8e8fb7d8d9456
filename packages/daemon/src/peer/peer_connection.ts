/**
 * The link to one other instance after its handshake. One task reads its
 * messages; heartbeats are sent on a timer and whenever the status changes.
 */
import {
  type Call,
  type CallResult,
  type Clock,
  type ForwardOutcome,
  type ForwardRole,
  type PeerHandlers,
  type PeerLink,
  type ProbeReply,
  type ProbeRequest,
  RefusalReason,
  refusedNotRun,
  type SeatReport,
  SILENCE_LIMIT_MS,
  type HeartbeatStatus,
} from '@ragworthall/balancer';
import {callMessage, callOf} from './call_message.js';
import {PendingRequests} from './pending_requests.js';
import {heartbeatMessage, heartbeatOf} from './heartbeat_message.js';
import type {LinkError} from './link_error.js';
import type {MessageOf, PeerMessage} from './message.js';
import type {PeerSocket} from './peer_socket.js';

/** Interval between heartbeats, milliseconds. */
export const HEARTBEAT_MS = 250;
/** Retry delay for callers while results wait for the link, milliseconds. */
const FULL_RETRY_AFTER_MS = 500;
/** Number of unanswered heartbeats whose send times are kept. */
const MAX_UNANSWERED_HEARTBEATS = 64;

/** Receives the events of a link, for the instance that owns it. */
export interface LinkEvents {
  readonly clock: Clock;
  readonly handlers: PeerHandlers;
  /** The status that this instance sends with its heartbeats. */
  heartbeatStatus(now: number): HeartbeatStatus;
  /** The link is open; nothing has been sent on it since the handshake. */
  onLinked(link: PeerConnection): void;
  /**
   * A heartbeat was received.
   *
   * @param ackedSentAt When the heartbeat was sent that this one echoes;
   *     -Infinity if unknown.
   */
  onHeartbeat(
    link: PeerConnection,
    status: HeartbeatStatus,
    ackedSentAt: number,
  ): void;
  onSeats(link: PeerConnection, reports: readonly SeatReport[]): void;
  onChange(link: PeerConnection, message: MessageOf<'change'>): void;
  onChangesWanted(link: PeerConnection, from: number): void;
  onSnapshot(link: PeerConnection, message: MessageOf<'snapshot'>): void;
  /** A message of a later version was received and ignored. */
  onUnknownMessage(link: PeerConnection, name: string): void;
}

/** A link to another instance. */
export class PeerConnection implements PeerLink {
  /** Resolves when the link has ended. */
  readonly ended: Promise<void>;
  private readonly pendingCalls = new PendingRequests<CallResult>();
  private readonly pendingProbes = new PendingRequests<ProbeReply>();
  /** Requests of the other end that run here; probes have negative numbers. */
  private readonly running = new Map<number, AbortController>();
  /** Send times of heartbeats, by sequence number. */
  private readonly sentAt = new Map<number, number>();
  private sequence = 0;
  private lastReceivedSequence = 0;
  private lastReceivedAt: number;
  private lastTickAt: number;
  private resolveEnded!: () => void;

  constructor(
    private readonly socket: PeerSocket<PeerMessage>,
    /** The hello of the other end. */
    readonly peer: MessageOf<'hello'>,
    /** Whether the end with the higher seat dialled. */
    readonly isPreferred: boolean,
    private readonly events: LinkEvents,
  ) {
    this.lastReceivedAt = events.clock.now();
    this.lastTickAt = this.lastReceivedAt;
    this.ended = new Promise(resolve => (this.resolveEnded = resolve));
  }

  get instance(): string {
    return this.peer.holder.instance;
  }

  get incarnation(): string {
    return this.peer.holder.incarnation;
  }

  /** Number of calls forwarded to the other end and not answered yet. */
  get callsInFlight(): number {
    return this.pendingCalls.size;
  }

  /** Number of calls and probes that run here for the other end. */
  get requestsRunning(): number {
    return this.running.size;
  }

  /** Reads messages until the link ends; returns why it ended. */
  async run(): Promise<LinkError> {
    this.events.onLinked(this);
    this.sendHeartbeat(true);
    const timer = setInterval(() => this.tick(), HEARTBEAT_MS);
    for (;;) {
      const received = await this.socket.receive();
      if (!received) break;
      this.lastReceivedAt = this.events.clock.now();
      if (received.kind === 'message') this.handleMessage(received.message);
      else this.events.onUnknownMessage(this, received.name);
    }
    clearInterval(timer);
    const err = this.socket.error ?? {kind: 'disposed'};
    this.pendingCalls.failAll(err);
    this.pendingProbes.failAll(err);
    this.running.forEach(controller => controller.abort());
    this.resolveEnded();
    return err;
  }

  async forward(
    call: Call,
    role: ForwardRole,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<ForwardOutcome> {
    const outcome = await this.pendingCalls.send(
      number => this.send(callMessage(number, call, role, timeoutMs)),
      number => this.send({kind: 'cancel', number}),
      timeoutMs,
      signal,
    );
    switch (outcome.kind) {
      case 'reply':
        return {kind: 'result', result: outcome.reply};
      case 'not_sent':
      case 'lost':
        return outcome;
      default:
        throw new Error(`unexpected outcome: ${outcome satisfies never}`);
    }
  }

  /** Requests that the other end probe a backend server. Never rejects. */
  async probe(
    req: ProbeRequest,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<ProbeReply> {
    const outcome = await this.pendingProbes.send(
      number => this.send({kind: 'probe', number, ...req}),
      number => this.send({kind: 'cancel', number: -number}),
      timeoutMs,
      signal,
    );
    if (outcome.kind === 'reply') return outcome.reply;
    return {kind: 'unreachable', detail: outcome.detail};
  }

  /** Sends a message; returns false if it could not be sent. */
  send(message: PeerMessage): boolean {
    return this.socket.send(message);
  }

  /** Sends a heartbeat; `wantsEcho` requests one in return immediately. */
  sendHeartbeat(wantsEcho: boolean): void {
    const now = this.events.clock.now();
    this.sequence += 1;
    this.sentAt.set(this.sequence, now);
    this.deleteSendTimesUpTo(this.sequence - MAX_UNANSWERED_HEARTBEATS);
    const status = this.events.heartbeatStatus(now);
    const {sequence, lastReceivedSequence: echo} = this;
    this.send(heartbeatMessage({sequence, echo, wantsEcho, status}));
  }

  /** Ends the link once what was sent on it has arrived. */
  close(): Promise<void> {
    return this.socket.close();
  }

  /** Ends the link. */
  end(err: LinkError): void {
    this.socket.end(err);
  }

  private tick(): void {
    const now = this.events.clock.now();
    // Messages that arrived while this process was paused are still unread.
    const wasPaused = now - this.lastTickAt > 2 * HEARTBEAT_MS;
    this.lastTickAt = now;
    if (wasPaused) this.lastReceivedAt = now;
    if (now - this.lastReceivedAt > SILENCE_LIMIT_MS) {
      this.end({kind: 'silent', limitMs: SILENCE_LIMIT_MS});
      return;
    }
    this.sendHeartbeat(false);
  }

  private handleMessage(message: PeerMessage): void {
    switch (message.kind) {
      case 'hello':
      case 'proof':
        this.end({kind: 'malformed', detail: `second ${message.kind}`});
        return;
      case 'heartbeat':
        this.handleHeartbeat(message);
        return;
      case 'seats':
        this.events.onSeats(this, message.reports);
        return;
      case 'change':
        this.events.onChange(this, message);
        return;
      case 'changes_wanted':
        this.events.onChangesWanted(this, message.from);
        return;
      case 'snapshot':
        this.events.onSnapshot(this, message);
        return;
      case 'call':
        void this.serveCall(message);
        return;
      case 'result':
        // A later version may send reasons unknown here; they are passed on.
        this.pendingCalls.handleReply(
          message.number,
          message.result as CallResult,
        );
        return;
      case 'cancel':
        this.running.get(message.number)?.abort();
        return;
      case 'signs':
        this.events.handlers.recordLeavingStatus(message.signs, this.instance);
        return;
      case 'probe':
        void this.serveProbe(message);
        return;
      case 'probed':
        this.pendingProbes.handleReply(
          message.number,
          message.reply as ProbeReply,
        );
        return;
      case 'crashes':
        this.events.handlers.recordCrashCounts(message.counts, this.instance);
        return;
      default:
        throw new Error(`unexpected message: ${message satisfies never}`);
    }
  }

  private handleHeartbeat(message: MessageOf<'heartbeat'>): void {
    const {sequence, echo, wantsEcho, status} = heartbeatOf(message);
    this.lastReceivedSequence = Math.max(this.lastReceivedSequence, sequence);
    const ackedSentAt = this.sentAt.get(echo) ?? -Infinity;
    this.deleteSendTimesUpTo(echo - 1);
    this.events.onHeartbeat(this, status, ackedSentAt);
    if (wantsEcho) this.sendHeartbeat(false);
  }

  private deleteSendTimesUpTo(upTo: number): void {
    for (const sequence of this.sentAt.keys()) {
      if (sequence > upTo) return;
      this.sentAt.delete(sequence);
    }
  }

  private async serveCall(message: MessageOf<'call'>): Promise<void> {
    const {number, role} = message;
    const call = callOf(message, this.events.clock.now());
    // Only the ledger of the home can tell that no copy of the call has run.
    const isRefused = role === 'owner' && this.socket.isFull;
    const result = isRefused
      ? refusedNotRun(RefusalReason.QueueFull, FULL_RETRY_AFTER_MS)
      : await this.runCancellable(number, signal =>
          this.events.handlers.runForwarded(call, role, this.instance, signal),
        );
    // The types differ in `readonly` only.
    const mutableResult = result as MessageOf<'result'>['result'];
    this.socket.sendReply({kind: 'result', number, result: mutableResult});
  }

  private async serveProbe(message: MessageOf<'probe'>): Promise<void> {
    const {number, serviceId, backendServerId} = message;
    // Calls and probes are numbered separately; the sign keeps them distinct.
    const reply = await this.runCancellable(-number, signal =>
      this.events.handlers.probe({serviceId, backendServerId}, signal),
    );
    this.socket.sendReply({kind: 'probed', number, reply});
  }

  private async runCancellable<T>(
    number: number,
    work: (signal: AbortSignal) => Promise<T>,
  ): Promise<T> {
    const controller = new AbortController();
    this.running.set(number, controller);
    try {
      return await work(controller.signal);
    } finally {
      this.running.delete(number);
    }
  }
}
