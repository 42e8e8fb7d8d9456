/** The sends of one request, and what they show of its content. */
import {type Content, contentFingerprint} from './content_fingerprint.js';
import type {SharedContents} from './shared_contents.js';

/** One or more sends of a request; has to be disposed of after the last one. */
export class ContentRun implements Disposable {
  private isDecided = false;
  private knownFingerprint: string | undefined;
  /** Examinations of servers, after which the next one may run. */
  private readonly examinations = new Set<Promise<unknown>>();

  /**
   * @param knownEnds Number of ends that were known when it began.
   * @param lock Held if no other request with its content may run.
   */
  constructor(
    private readonly contents: SharedContents,
    private readonly content: Content,
    private readonly knownEnds: number,
    private readonly lock?: Disposable,
  ) {}

  /** Whether no other request with this content may run. */
  get isExclusive(): boolean {
    return this.lock !== undefined;
  }

  /** Computed when needed: most requests need none. */
  get fingerprint(): string {
    this.knownFingerprint ??= contentFingerprint(this.content);
    return this.knownFingerprint;
  }

  /** Records that a server answered it. */
  recordAnswer(): void {
    if (this.contents.size === 0) return;
    if (this.contents.knownEnds(this.fingerprint) === 0) return;
    this.isDecided = true;
    this.contents.record(this.fingerprint, {kind: 'answered'});
  }

  /** Records that a server ended under it, at Unix milliseconds `at`. */
  recordEnd(at: number): void {
    this.isDecided = true;
    const {knownEnds, isExclusive} = this;
    const claimedBy = isExclusive ? this.contents.self : undefined;
    const change = {kind: 'ended', knownEnds, at, claimedBy} as const;
    this.contents.record(this.fingerprint, change);
  }

  /** Keeps others with this content from running until the examination ends. */
  holdFor<T>(examination: Promise<T>): Promise<T> {
    this.examinations.add(examination);
    return examination;
  }

  [Symbol.dispose](): void {
    const {lock} = this;
    if (!lock) return;
    void Promise.allSettled(this.examinations).then(() => {
      if (!this.isDecided) this.contents.release(this.fingerprint);
      lock[Symbol.dispose]();
    });
  }
}
