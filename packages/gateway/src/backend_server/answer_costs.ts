/**
 * Bounds what the answers that are being received cost. A faulty server may send
 * bytes without end; it must not take the memory, or the processor time, that the
 * answers of others need.
 */

/** An answer that is being received. */
export interface ReceivedAnswer {
  /** Address of the server that sends it. */
  readonly address: string;
  /** Ends the answer because it costs too much. */
  fail(detail: string): void;
}

/** Limits on the answers that are being received, bytes. */
export interface AnswerLimits {
  /** Largest body of one answer. */
  readonly answerBytes: number;
  /** Memory that the bodies of all answers take together. */
  readonly totalBytes: number;
}

/** The memory of all answers that one instance is receiving. */
export class AnswerMemory {
  private readonly costOf = new Map<ReceivedAnswer, number>();
  private total = 0;

  constructor(private readonly limitBytes: number) {}

  /** Memory in use, bytes. */
  get usedBytes(): number {
    return this.total;
  }

  /**
   * Records the memory that an answer takes. If all together exceed the limit, ends
   * the largest answer of the server whose answers take most.
   */
  record(answer: ReceivedAnswer, bytes: number): void {
    this.total += bytes - (this.costOf.get(answer) ?? 0);
    this.costOf.set(answer, bytes);
    if (this.total <= this.limitBytes) return;
    const ofServers = new Map<string, number>();
    this.costOf.forEach((cost, {address}) => add(ofServers, address, cost));
    dearestAnswer(this.costOf, dearest(ofServers))?.fail(
      `answers take over ${this.limitBytes} bytes, most of them of its server`,
    );
  }

  /** Frees the memory of an answer that has ended. */
  release(answer: ReceivedAnswer): void {
    this.total -= this.costOf.get(answer) ?? 0;
    this.costOf.delete(answer);
  }
}

/** Interval over which short chunks are counted, milliseconds. */
const CHUNK_WINDOW_MS = 1_000;
/**
 * Short chunks of all answers in such an interval. Each takes about four
 * microseconds of processor time, whatever its length.
 */
const MAX_SHORT_CHUNKS = 65_536;

/** The rate of the short chunks of all answers that one instance is receiving. */
export class ShortChunkRate {
  private readonly ofAnswers = new Map<ReceivedAnswer, number>();
  /** Counts those of answers that have ended, too. */
  private readonly ofServers = new Map<string, number>();
  private total = 0;
  private windowStartedAt = -Infinity;

  constructor(private readonly limit = MAX_SHORT_CHUNKS) {}

  /**
   * Counts short chunks of an answer. Above the limit, ends the answer with most of
   * them of the server that has sent most.
   */
  record(answer: ReceivedAnswer, chunks: number, now: number): void {
    if (now - this.windowStartedAt >= CHUNK_WINDOW_MS) this.clear(now);
    this.total += chunks;
    add(this.ofAnswers, answer, chunks);
    add(this.ofServers, answer.address, chunks);
    if (this.total <= this.limit) return;
    dearestAnswer(this.ofAnswers, dearest(this.ofServers))?.fail(
      `over ${this.limit} short chunks a second, most of them of its server`,
    );
  }

  /** Forgets an answer that has ended. */
  release(answer: ReceivedAnswer): void {
    this.ofAnswers.delete(answer);
  }

  private clear(now: number): void {
    this.ofAnswers.clear();
    this.ofServers.clear();
    this.total = 0;
    this.windowStartedAt = now;
  }
}

/** What the answers that one instance is receiving cost. */
export class AnswerCosts {
  /** Largest body of one answer, bytes. */
  readonly answerBytes: number;
  readonly memory: AnswerMemory;
  readonly shortChunks = new ShortChunkRate();

  constructor({answerBytes, totalBytes}: AnswerLimits) {
    this.answerBytes = answerBytes;
    this.memory = new AnswerMemory(totalBytes);
  }

  /** Frees what an answer that has ended cost. */
  release(answer: ReceivedAnswer): void {
    this.memory.release(answer);
    this.shortChunks.release(answer);
  }
}

function add<K>(costs: Map<K, number>, key: K, cost: number): void {
  costs.set(key, cost + (costs.get(key) ?? 0));
}

function dearest<K>(costs: ReadonlyMap<K, number>): K | undefined {
  return [...costs].sort(([, a], [, b]) => b - a)[0]?.[0];
}

function dearestAnswer(
  costs: ReadonlyMap<ReceivedAnswer, number>,
  address: string | undefined,
): ReceivedAnswer | undefined {
  const ofServer = [...costs].filter(([answer]) => answer.address === address);
  return dearest(new Map(ofServer));
}
