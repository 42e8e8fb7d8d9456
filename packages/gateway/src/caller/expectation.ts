/** What callers wait for before they send a body (`Expect`). */
import type {IncomingMessage} from 'node:http';

/** What a caller waits for. */
export const Expectation = {
  None: 'none',
  /** The answer 100. */
  Continue: 'continue',
  Unknown: 'unknown',
} as const;

/** A value of {@link Expectation}. */
export type Expectation = (typeof Expectation)[keyof typeof Expectation];

const CONTINUE_PATTERN = /(?:^|\W)100-continue(?:$|\W)/i;

/** Returns what the caller of a request waits for, as Node's HTTP server does. */
export function expectationOf(req: IncomingMessage): Expectation {
  const {expect} = req.headers;
  if (expect === undefined || req.httpVersion !== '1.1') {
    return Expectation.None;
  }
  return CONTINUE_PATTERN.test(expect)
    ? Expectation.Continue
    : Expectation.Unknown;
}
