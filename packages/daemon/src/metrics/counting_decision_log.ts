/** Counts routing decisions and forwards them to another decision log. */
import type {
  AttemptCause,
  BackendServer,
  Call,
  CallResult,
  DecisionLog,
} from '@ragworthall/balancer';
import {Counter, type MetricSink} from './metric.js';

/** Decision log that counts each decision and forwards it to `next`. */
export class CountingDecisionLog implements DecisionLog {
  constructor(
    private readonly metrics: MetricSink,
    private readonly next: DecisionLog,
  ) {}

  dispatched(
    call: Call,
    server: BackendServer,
    attempt: number,
    cause: AttemptCause,
    candidates: number,
  ): void {
    this.metrics.count(Counter.Attempts, {...callTags(call), cause});
    this.next.dispatched(call, server, attempt, cause, candidates);
  }

  ended(call: Call, result: CallResult, attempts: number): void {
    this.count(call, result);
    this.next.ended(call, result, attempts);
  }

  private count(call: Call, result: CallResult): void {
    const tags = callTags(call);
    switch (result.kind) {
      case 'answered': {
        if (result.replayed) this.metrics.count(Counter.CallsReplayed, tags);
        const status = `${Math.floor(result.answer.status / 100)}xx`;
        this.metrics.count(Counter.CallsAnswered, {...tags, status});
        return;
      }
      case 'refused': {
        const {reason, outcome} = result;
        this.metrics.count(Counter.CallsRefused, {...tags, reason, outcome});
        return;
      }
      default:
        result satisfies never;
    }
  }
}

function callTags(call: Call) {
  return {service: call.serviceId, rank: String(call.rank)};
}
