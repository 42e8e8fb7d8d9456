/** Faults and state changes that can be injected into a backend server. */
import {ServerState} from '@ragworthall/contracts';
import * as z from 'zod';
import {coldStartOptionsSchema} from './cold_start.js';

/** Schema of {@link BackendServerFault}. */
const backendServerFaultSchema = z.discriminatedUnion('kind', [
  /** Factor on service times and on the cost of probes. */
  z.object({kind: z.literal('straggler'), slowFactor: z.number().min(0)}),
  /** Answers 500 immediately, without a slot; counted as a finished run. */
  z.object({kind: z.literal('fail_fast')}),
  /** Overrides the reported state; requests are run in every state. */
  z.object({kind: z.literal('state'), state: z.enum(ServerState)}),
  /** Begins a cold start now; clearing the fault does not end it. */
  z.object({kind: z.literal('cold_start'), ...coldStartOptionsSchema.shape}),
  /**
   * Connections that are open now stay open, but their requests are ignored
   * and never answered, even after the fault is cleared. New connections work.
   */
  z.object({kind: z.literal('silent_connections')}),
  /**
   * Running a request whose body contains `text` crashes the server: all
   * connections close and new ones are refused until it restarts after
   * `restartMs`, with a cold start.
   */
  z.object({
    kind: z.literal('crash_on_body'),
    text: z.string().min(1),
    restartMs: z.number().min(0),
  }),
  /** The load endpoint always reports an idle server in state `serving`. */
  z.object({kind: z.literal('misleading_health')}),
  /** The load endpoint reuses each report for this long. */
  z.object({kind: z.literal('lagging_health'), ms: z.number().min(0)}),
  /** The next `count` answers are truncated in the middle of the body. */
  z.object({kind: z.literal('cut_answers'), count: z.int().min(0)}),
  /** Answers are sent this long after the run has finished. */
  z.object({kind: z.literal('late_answers'), ms: z.number().min(0)}),
]);

/** One fault or state change of a backend server. */
export type BackendServerFault = z.infer<typeof backendServerFaultSchema>;

/** Schema of {@link BackendServerFaultsChange}. */
export const backendServerFaultsChangeSchema = z.strictObject({
  faults: z.array(backendServerFaultSchema).readonly(),
});

/** Replaces all active faults; an empty list clears them. */
export type BackendServerFaultsChange = z.infer<
  typeof backendServerFaultsChangeSchema
>;

/** Text in a request body that crashes the server, and the downtime. */
export interface CrashTrigger {
  readonly text: string;
  readonly restartMs: number;
}

/** The ongoing effects of a list of faults. */
export class BackendServerFaults {
  slowFactor = 1;
  failsFast = false;
  reportsFalseHealth = false;
  /** How long a load report is reused, in milliseconds. */
  healthLagMs = 0;
  /** Delay of answers after the run, in milliseconds. */
  answerDelayMs = 0;
  /** Overrides the reported state; undefined to report the actual one. */
  state: ServerState | undefined;
  private crashTrigger: CrashTrigger | undefined;
  private answersToTruncate = 0;

  constructor(faults: readonly BackendServerFault[]) {
    faults.forEach(fault => this.applyFault(fault));
  }

  /** Whether to truncate this answer; uses up one of the answers to truncate. */
  consumeTruncatedAnswer(): boolean {
    if (this.answersToTruncate === 0) return false;
    this.answersToTruncate--;
    return true;
  }

  /** The trigger if a request with this body crashes the server. */
  crashTriggerFor(body: string): CrashTrigger | undefined {
    const trigger = this.crashTrigger;
    return trigger && body.includes(trigger.text) ? trigger : undefined;
  }

  private applyFault(fault: BackendServerFault): void {
    switch (fault.kind) {
      case 'straggler':
        this.slowFactor = fault.slowFactor;
        return;
      case 'fail_fast':
        this.failsFast = true;
        return;
      case 'state':
        this.state = fault.state;
        return;
      case 'crash_on_body':
        this.crashTrigger = fault;
        return;
      case 'misleading_health':
        this.reportsFalseHealth = true;
        return;
      case 'lagging_health':
        this.healthLagMs = fault.ms;
        return;
      case 'cut_answers':
        this.answersToTruncate = fault.count;
        return;
      case 'late_answers':
        this.answerDelayMs = fault.ms;
        return;
      case 'cold_start':
      case 'silent_connections':
        // One-time events; the server triggers them when the faults are set.
        return;
    }
  }
}
