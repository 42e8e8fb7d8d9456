/**
 * Bounds the memory for answers of backend servers that are being received. A
 * faulty server may send bytes without end; it must not take the memory of the
 * answers of others.
 */

/** Limits on the answers that are being received, bytes. */
export interface AnswerLimits {
  /** Largest body of one answer. */
  readonly answerBytes: number;
  /** Bodies of all answers together. */
  readonly totalBytes: number;
}

/** An answer that is being received. */
export interface ReceivedAnswer {
  /** Ends the answer because it takes too much memory. */
  fail(detail: string): void;
}

/** The memory of all answers that one instance is receiving. */
export class AnswerMemory {
  private readonly bytesOf = new Map<ReceivedAnswer, number>();
  private total = 0;

  constructor(private readonly limits: AnswerLimits) {}

  /** Bytes in use. */
  get usedBytes(): number {
    return this.total;
  }

  /**
   * Counts more bytes of an answer. Ends it if it exceeds its limit; if all
   * together exceed theirs, ends the largest.
   */
  grow(answer: ReceivedAnswer, bytes: number): void {
    const {answerBytes, totalBytes} = this.limits;
    const grown = (this.bytesOf.get(answer) ?? 0) + bytes;
    this.bytesOf.set(answer, grown);
    this.total += bytes;
    if (grown > answerBytes) {
      answer.fail(`the answer exceeds ${answerBytes} bytes`);
    } else if (this.total > totalBytes) {
      this.largest()?.fail(`the largest of answers above ${totalBytes} bytes`);
    }
  }

  /** Frees the memory of an answer that has ended. */
  release(answer: ReceivedAnswer): void {
    this.total -= this.bytesOf.get(answer) ?? 0;
    this.bytesOf.delete(answer);
  }

  private largest(): ReceivedAnswer | undefined {
    const bySize = [...this.bytesOf].sort(([, a], [, b]) => b - a);
    return bySize[0]?.[0];
  }
}
