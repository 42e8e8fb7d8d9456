/**
 * The link to one other instance after its handshake. One task reads its
 * messages; heartbeats go out on a timer and whenever the standing changes.
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
  type SeatReport,
  SILENCE_LIMIT_MS,
  type HeartbeatStatus,
} from '@ragworthall/balancer';
import {callMessage, callOf} from './call_message.js';
import {CallsInFlight} from './calls_in_flight.js';
import {heartbeatMessage, heartbeatOf} from './heartbeat_message.js';
import type {LinkError} from './link_error.js';
import type {MessageOf, PeerMessage} from './message.js';
import type {PeerSocket} from './peer_socket.js';

/** Time between two heartbeats, milliseconds. */
export const HEARTBEAT_MS = 250;
/** Heartbeats whose send times are remembered. */
const MAX_UNANSWERED = 64;

/** What happens on a link, for the instance that owns it. */
export interface LinkEvents {
  readonly clock: Clock;
  readonly handlers: PeerHandlers;
  /** What this instance says about itself. */
  standing(now: number): HeartbeatStatus;
  /** The link is open; nothing has been sent on it since its handshake. */
  onLinked(link: PeerConnection): void;
  /** The other end said something about itself. */
  onStanding(
    link: PeerConnection,
    standing: HeartbeatStatus,
    askedAt: number,
  ): void;
  onSeats(link: PeerConnection, reports: readonly SeatReport[]): void;
  onChange(link: PeerConnection, message: MessageOf<'change'>): void;
  onChangesWanted(link: PeerConnection, from: number): void;
  onSnapshot(link: PeerConnection, message: MessageOf<'snapshot'>): void;
  /** A message of a later version was ignored. */
  onUnknown(link: PeerConnection, name: string): void;
}

/** A link to another instance. */
export class PeerConnection implements PeerLink, Disposable {
  /** Resolves when the link has ended. */
  readonly ended: Promise<void>;
  private readonly calls = new CallsInFlight<CallResult>();
  private readonly probes = new CallsInFlight<ProbeReply>();
  private readonly served = new Map<number, AbortController>();
  private readonly sentAt = new Map<number, number>();
  private sequence = 0;
  private heardSequence = 0;
  private heardAt: number;
  private tickedAt: number;
  private resolveEnded!: () => void;

  constructor(
    private readonly socket: PeerSocket<PeerMessage>,
    /** What the other end said in its handshake. */
    readonly peer: MessageOf<'hello'>,
    /** Whether the end with the higher seat dialled. */
    readonly isPreferred: boolean,
    private readonly events: LinkEvents,
  ) {
    this.heardAt = events.clock.now();
    this.tickedAt = this.heardAt;
    this.ended = new Promise(resolve => (this.resolveEnded = resolve));
  }

  get instance(): string {
    return this.peer.holder.instance;
  }

  get incarnation(): string {
    return this.peer.holder.incarnation;
  }

  /** Calls that the other end has not answered yet. */
  get callsInFlight(): number {
    return this.calls.size;
  }

  /** Calls of the other end that run here. */
  get callsServed(): number {
    return this.served.size;
  }

  /** Reads messages until the link ends; returns why it ended. */
  async run(): Promise<LinkError> {
    this.events.onLinked(this);
    this.beat(true);
    const timer = setInterval(() => this.tick(), HEARTBEAT_MS);
    for (;;) {
      const received = await this.socket.receive();
      if (!received) break;
      this.heardAt = this.events.clock.now();
      if (received.kind === 'message') this.take(received.message);
      else this.events.onUnknown(this, received.name);
    }
    clearInterval(timer);
    const err = this.socket.error ?? {kind: 'disposed'};
    this.calls.lose(err);
    this.probes.lose(err);
    this.served.forEach(running => running.abort());
    this.resolveEnded();
    return err;
  }

  async forward(
    call: Call,
    role: ForwardRole,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<ForwardOutcome> {
    const settled = await this.calls.ask(
      number => this.send(callMessage(number, call, role, timeoutMs)),
      number => this.send({kind: 'cancel', number}),
      timeoutMs,
      signal,
    );
    switch (settled.kind) {
      case 'reply':
        return {kind: 'result', result: settled.reply};
      case 'not_sent':
      case 'lost':
        return settled;
      default:
        throw new Error(`unexpected end: ${settled satisfies never}`);
    }
  }

  /** Asks the other end to probe a backend server. Never rejects. */
  async probe(
    req: ProbeRequest,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<ProbeReply> {
    const settled = await this.probes.ask(
      number => this.send({kind: 'probe', number, ...req}),
      number => this.send({kind: 'cancel', number: -number}),
      timeoutMs,
      signal,
    );
    if (settled.kind === 'reply') return settled.reply;
    return {kind: 'unreachable', detail: settled.detail};
  }

  /** Sends a message; returns false if the link does not take it. */
  send(message: PeerMessage): boolean {
    return this.socket.send(message);
  }

  /** Sends a heartbeat, and asks for one at once if wanted. */
  beat(wantsEcho: boolean): void {
    const now = this.events.clock.now();
    this.sequence += 1;
    this.sentAt.set(this.sequence, now);
    this.forgetSent(this.sequence - MAX_UNANSWERED);
    const standing = this.events.standing(now);
    const {sequence, heardSequence: echo} = this;
    this.send(heartbeatMessage({sequence, echo, wantsEcho, standing}));
  }

  /** Ends the link. */
  end(err: LinkError): void {
    this.socket.end(err);
  }

  [Symbol.dispose](): void {
    this.end({kind: 'disposed'});
  }

  private tick(): void {
    const now = this.events.clock.now();
    // After a pause of this process, what came meanwhile was not read yet.
    const paused = now - this.tickedAt > 2 * HEARTBEAT_MS;
    this.tickedAt = now;
    if (paused) this.heardAt = now;
    if (now - this.heardAt > SILENCE_LIMIT_MS) {
      this.end({kind: 'silent', limitMs: SILENCE_LIMIT_MS});
      return;
    }
    this.beat(false);
  }

  private take(message: PeerMessage): void {
    switch (message.kind) {
      case 'hello':
      case 'proof':
        this.end({kind: 'malformed', detail: `second ${message.kind}`});
        return;
      case 'heartbeat':
        this.takeHeartbeat(message);
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
        // A later version may know more reasons; they are passed on.
        this.calls.reply(message.number, message.result as CallResult);
        return;
      case 'cancel':
        this.served.get(message.number)?.abort();
        return;
      case 'signs':
        this.events.handlers.recordLeavingStatus(message.signs, this.instance);
        return;
      case 'probe':
        void this.serveProbe(message);
        return;
      case 'probed':
        this.probes.reply(message.number, message.reply as ProbeReply);
        return;
      case 'crashes':
        this.events.handlers.recordCrashCounts(message.counts, this.instance);
        return;
      default:
        throw new Error(`unexpected message: ${message satisfies never}`);
    }
  }

  private takeHeartbeat(message: MessageOf<'heartbeat'>): void {
    const {sequence, echo, wantsEcho, standing} = heartbeatOf(message);
    this.heardSequence = Math.max(this.heardSequence, sequence);
    const askedAt = this.sentAt.get(echo) ?? -Infinity;
    this.forgetSent(echo - 1);
    this.events.onStanding(this, standing, askedAt);
    if (wantsEcho) this.beat(false);
  }

  private forgetSent(upTo: number): void {
    for (const sequence of this.sentAt.keys()) {
      if (sequence > upTo) return;
      this.sentAt.delete(sequence);
    }
  }

  private async serveCall(message: MessageOf<'call'>): Promise<void> {
    const {number, role} = message;
    const call = callOf(message, this.events.clock.now());
    const result = await this.serve(number, signal =>
      this.events.handlers.runForwarded(call, role, this.instance, signal),
    );
    // The types differ in `readonly` only.
    const wire = result as MessageOf<'result'>['result'];
    this.send({kind: 'result', number, result: wire});
  }

  private async serveProbe(message: MessageOf<'probe'>): Promise<void> {
    const {number, serviceId, backendServerId} = message;
    // Calls and probes are numbered apart.
    const reply = await this.serve(-number, signal =>
      this.events.handlers.probe({serviceId, backendServerId}, signal),
    );
    this.send({kind: 'probed', number, reply});
  }

  private async serve<T>(
    number: number,
    work: (signal: AbortSignal) => Promise<T>,
  ): Promise<T> {
    const running = new AbortController();
    this.served.set(number, running);
    try {
      return await work(running.signal);
    } finally {
      this.served.delete(number);
    }
  }
}
