/** In-memory backend servers for tests. */
import {ServerState} from '@ragworthall/contracts';
import type {Attempt, BackendLink, Call, ProbeResult} from '../link/call.js';
import {offAbort, onAbort} from '../link/abort.js';
import type {Timers} from '../link/clock.js';

/** Result that a server returns for an attempt, after a delay. */
export interface Behaviour {
  readonly delayMs: number;
  readonly attempt: Attempt;
}

/** Returns a complete answer. */
export function answered(status = 200, inFlight = 0): Attempt {
  return {
    kind: 'answered',
    answer: {status, headers: [], body: new Uint8Array()},
    load: {inFlight, state: ServerState.Serving},
  };
}

/** An attempt that was sent to a server. */
export interface SentAttempt {
  readonly address: string;
  readonly call: Call;
  readonly at: number;
}

/** Answers attempts as `behave` specifies; aborted attempts are abandoned. */
export class FakeBackend implements BackendLink {
  readonly sent: SentAttempt[] = [];
  readonly probes: string[] = [];
  probeResult: ProbeResult = {
    kind: 'answered',
    load: {inFlight: 0, state: ServerState.Serving},
  };

  constructor(
    private readonly time: Timers & {now(): number},
    private readonly behave: (address: string, call: Call) => Behaviour,
  ) {}

  send(
    address: string,
    call: Call,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Attempt> {
    this.sent.push({address, call, at: this.time.now()});
    const {delayMs, attempt} = this.behave(address, call);
    return new Promise(resolve => {
      const end = (result: Attempt) => {
        offAbort(signal, abandon);
        resolve(result);
      };
      const abandon = () => end({kind: 'abandoned', cause: 'caller_left'});
      onAbort(signal, abandon);
      this.time.set(delayMs, () => end(attempt));
      this.time.set(timeoutMs, () =>
        end({kind: 'abandoned', cause: 'deadline'}),
      );
    });
  }

  async probe(address: string): Promise<ProbeResult> {
    this.probes.push(address);
    return this.probeResult;
  }
}
