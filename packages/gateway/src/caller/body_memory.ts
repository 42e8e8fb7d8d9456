/**
 * Bounds the memory for the bodies of callers' requests. A body is given memory
 * before it is read; what gets none is refused at once, and has not run.
 */

/** Largest body that counts as small, bytes. */
const SMALL_BODY_BYTES = 65_536;
/** Share of the memory that only small bodies may take: most requests are small. */
const SMALL_SHARE = 1 / 5;
/** Share of the memory above which one caller gets no more for large bodies. */
const CALLER_SHARE = 1 / 2;

/** The memory for bodies of one instance. */
export class BodyMemory {
  private readonly ofCallers = new Map<string, number>();
  private used = 0;

  constructor(private readonly limitBytes: number) {}

  /** Memory in use, bytes. */
  get usedBytes(): number {
    return this.used;
  }

  /**
   * Opens the account of one body.
   *
   * @param caller IP address that it comes from.
   */
  open(caller: string): BodyAccount {
    let held = 0;
    return {
      resize: bytes => {
        if (!this.hasRoom(caller, held, bytes)) return false;
        this.take(caller, bytes - held);
        held = bytes;
        return true;
      },
      [Symbol.dispose]: () => {
        this.take(caller, -held);
        held = 0;
      },
    };
  }

  private hasRoom(caller: string, held: number, bytes: number): boolean {
    const used = this.used - held + bytes;
    if (bytes <= SMALL_BODY_BYTES) return used <= this.limitBytes;
    if (used > this.limitBytes * (1 - SMALL_SHARE)) return false;
    const others = (this.ofCallers.get(caller) ?? 0) - held;
    // A single body may be larger than the share, or it could never be served.
    return others <= 0 || others + bytes <= this.limitBytes * CALLER_SHARE;
  }

  private take(caller: string, bytes: number): void {
    this.used += bytes;
    const ofCaller = (this.ofCallers.get(caller) ?? 0) + bytes;
    if (ofCaller > 0) this.ofCallers.set(caller, ofCaller);
    else this.ofCallers.delete(caller);
  }
}

/** What one body may take; disposed when its request has been answered. */
export interface BodyAccount extends Disposable {
  /** Changes the memory that the body takes; returns false if there is no room. */
  resize(bytes: number): boolean;
}
