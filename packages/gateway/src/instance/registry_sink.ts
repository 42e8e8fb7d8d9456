/** Takes the registry's news of backend servers into the deployment. */
import {
  type Clock,
  type Deployment,
  LapsedServers,
  type ServerEntry,
} from '@ragworthall/balancer';
import type {BackendDesk} from '../backend_server/backend_desk.js';
import type {GatewayLog} from '../log/gateway_log.js';
import type {DecodedRow} from '../platform/row_source.js';
import type {RowSink} from '../platform/table_follower.js';

/** The backend servers of the registry. */
export class RegistrySink implements RowSink<ServerEntry>, Disposable {
  private readonly lapsed = new LapsedServers();
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly deployment: Deployment,
    private readonly backends: BackendDesk,
    private readonly clock: Clock,
    private readonly log: GatewayLog,
  ) {}

  replace(rows: readonly DecodedRow<ServerEntry>[], now: number): void {
    const listed = new Set(rows.map(row => row.key));
    this.change(rows, now);
    this.deployment.serverIds
      .filter(id => !listed.has(id))
      .forEach(id => this.vanished(id, now));
    this.deployment.registryRead();
  }

  change(rows: readonly DecodedRow<ServerEntry>[], now: number): void {
    rows.forEach(row => this.take(row, now));
  }

  regained(now: number): void {
    this.lapsed.regained(now);
  }

  [Symbol.dispose](): void {
    clearTimeout(this.timer);
  }

  private take(row: DecodedRow<ServerEntry>, now: number): void {
    switch (row.kind) {
      case 'value': {
        const {value} = row;
        this.lapsed.returned(row.key);
        const outcome = this.deployment.putServer(value, now);
        const {service, state, address, startedAt, sequence} = value;
        this.log.stateChange('server_entry', {
          server: row.key,
          outcome,
          service,
          state,
          address,
          startedAt,
          sequence,
        });
        return;
      }
      case 'removed':
        return this.vanished(row.key, now);
      case 'unreadable':
        this.log.stateChange('server_entry_unreadable', {
          server: row.key,
          detail: row.detail,
        });
        return this.vanished(row.key, now);
      default:
        row satisfies never;
    }
  }

  private vanished(id: string, now: number): void {
    if (!this.deployment.server(id)) return;
    if (this.lapsed.keep(id, now)) {
      this.log.stateChange('server_lapsed', {server: id});
      this.setTimer(now);
      return;
    }
    this.drop(id, 'removed');
  }

  private drop(id: string, reason: string): void {
    this.deployment.removeServer(id);
    this.backends.close(id);
    this.log.stateChange('server_gone', {server: id, reason});
  }

  private setTimer(now: number): void {
    clearTimeout(this.timer);
    const {dueAt} = this.lapsed;
    if (dueAt === undefined) return;
    this.timer = setTimeout(
      () => {
        const due = this.lapsed.takeDue(this.clock.now());
        due.forEach(id => this.drop(id, 'not back after the outage'));
        this.setTimer(this.clock.now());
      },
      Math.max(1, dueAt - now),
    );
  }
}
