/**
 * Bounds the memory of answers that callers have not read. Requests of a connection
 * that does not read its answers wait; where an address holds much, or all together
 * do, its further requests are refused before they run; far above that, what has
 * waited longest is given up.
 */

/** Share of the limit from which the requests of one connection wait. */
const CONNECTION_SHARE = 1 / 8;
/** Share of the limit from which the requests of one address are refused. */
const CALLER_SHARE = 1 / 2;
/** Multiple of the limit above which connections are ended. */
const HARD_MULTIPLE = 3;
/** Memory that an answer takes besides its body, bytes. */
const ANSWER_COST_BYTES = 1_024;

/**
 * Requests of one connection that are served before the size of an answer on it is
 * known.
 */
const MAX_UNKNOWN = 4;

/** What becomes of the next request on a connection. */
export const Admission = {
  Serve: 'serve',
  /** It waits until the caller has read more. */
  Wait: 'wait',
  /** It is rejected; it has not run. */
  Refuse: 'refuse',
} as const;

/** A value of {@link Admission}. */
export type Admission = (typeof Admission)[keyof typeof Admission];

/** What one connection holds. */
interface Held {
  readonly caller: string;
  /** Ends the connection. */
  readonly end: () => void;
  bytes: number;
  /** Size of its largest answer so far, bytes; undefined before the first. */
  largest: number | undefined;
  /** Since when it has held something, milliseconds. */
  since: number;
}

/** The unread answers of one connection; disposed when it has closed. */
export interface UnreadAccount extends Disposable {
  /**
   * Returns what becomes of the next request.
   *
   * @param ahead Number of requests of the connection that are being served; their
   *     answers are expected to be as large as the largest one before.
   */
  admission(ahead: number): Admission;
  /** Records the size of the body of an answer, read at once or not. */
  learn(bytes: number): void;
  /** Records an answer that was written, with the size of its body. */
  written(bytes: number, now: number): void;
  /** Records that the bytes of such an answer have left the process. */
  sent(bytes: number, now: number): void;
}

/** The unread answers of one instance. */
export class UnreadAnswers {
  private readonly holders = new Set<Held>();
  private readonly ofCallers = new Map<string, number>();
  private used = 0;

  /** @param limitBytes Memory from which requests are refused. */
  constructor(private readonly limitBytes: number) {}

  /** Memory in use, bytes. */
  get usedBytes(): number {
    return this.used;
  }

  /**
   * Opens the account of one connection.
   *
   * @param caller IP address that it comes from.
   */
  open(caller: string, end: () => void): UnreadAccount {
    const held: Held = {caller, end, bytes: 0, largest: undefined, since: 0};
    return {
      admission: ahead => this.admissionOf(held, ahead),
      learn: bytes => {
        held.largest = Math.max(held.largest ?? 0, bytes);
      },
      written: (bytes, now) => {
        if (held.bytes === 0) held.since = now;
        this.take(held, bytes + ANSWER_COST_BYTES);
        this.endOldest();
      },
      sent: (bytes, now) => {
        held.since = now;
        this.take(held, -Math.min(held.bytes, bytes + ANSWER_COST_BYTES));
      },
      [Symbol.dispose]: () => this.take(held, -held.bytes),
    };
  }

  private admissionOf(
    {caller, bytes, largest}: Held,
    ahead: number,
  ): Admission {
    const {limitBytes} = this;
    const ofCaller = this.ofCallers.get(caller) ?? 0;
    const isFull =
      ofCaller >= limitBytes * CALLER_SHARE ||
      (this.used >= limitBytes && ofCaller > 0);
    if (largest === undefined && ahead >= MAX_UNKNOWN) return Admission.Wait;
    const expected = bytes + ahead * (largest ?? 0);
    if (expected >= limitBytes * CONNECTION_SHARE) return Admission.Wait;
    if (!isFull) return Admission.Serve;
    return bytes > 0 ? Admission.Wait : Admission.Refuse;
  }

  /**
   * Ends connections of the address that holds most while there is far too much:
   * requests that were accepted before answers were known to be large.
   */
  private endOldest(): void {
    while (this.used > this.limitBytes * HARD_MULTIPLE) {
      const [caller] = [...this.ofCallers].sort(([, a], [, b]) => b - a)[0]!;
      const [oldest] = [...this.holders]
        .filter(held => held.caller === caller)
        .sort((a, b) => a.since - b.since);
      this.take(oldest!, -oldest!.bytes);
      oldest!.end();
    }
  }

  private take(held: Held, bytes: number): void {
    held.bytes += bytes;
    this.used += bytes;
    const {caller} = held;
    const ofCaller = (this.ofCallers.get(caller) ?? 0) + bytes;
    if (ofCaller > 0) this.ofCallers.set(caller, ofCaller);
    else this.ofCallers.delete(caller);
    if (held.bytes > 0) this.holders.add(held);
    else this.holders.delete(held);
  }
}
