/** Applies what servers state of themselves; logs and counts what changes. */
import type {
  Clock,
  SharedServer,
  StatementsOfMessage,
} from '@ragworthall/balancer';
import type {GatewayLog} from '../log/gateway_log.js';
import type {GatewayMetrics} from '../metrics/gateway_metrics.js';

/** Applies the statements of all servers. */
export class StatementRecorder {
  /** Malformed headers that were logged, so that each is logged once. */
  private readonly reported = new WeakMap<SharedServer, string>();

  constructor(
    private readonly clock: Clock,
    private readonly log: GatewayLog,
    private readonly metrics: GatewayMetrics,
  ) {}

  /** Applies the statements of one message. */
  record(server: SharedServer, message: StatementsOfMessage): void {
    const {id, service} = server.entry;
    const {source} = message;
    const changes = server.backpressure.record(message, this.clock.now());
    changes.forEach(({statement, before, after}) => {
      this.metrics.statementChanged(service, statement, source);
      const fields = {server: id, service, statement, before, after, source};
      this.log.stateChange('server_statement', fields);
    });
    if (message.malformed.size > 0) this.reportMalformed(server, message);
  }

  private reportMalformed(
    server: SharedServer,
    {malformed}: StatementsOfMessage,
  ): void {
    const text = JSON.stringify([...malformed]);
    if (this.reported.get(server) === text) return;
    this.reported.set(server, text);
    malformed.forEach((value, header) =>
      this.log.stateChange('server_statement_malformed', {
        server: server.entry.id,
        header,
        value,
      }),
    );
  }
}
