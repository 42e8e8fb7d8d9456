/** Applies the registry's entries of backend servers to the deployment. */
import {
  type Clock,
  type Deployment,
  LapsedServers,
  type ServerEntry,
} from '@ragworthall/balancer';
import type {BackendClient} from '../backend_server/backend_client.js';
import type {GatewayLog} from '../log/gateway_log.js';
import type {DecodedRow} from '../platform/row_source.js';
import type {RowSink} from '../platform/table_follower.js';

/**
 * Time within which the registry drops an entry that its server does not renew,
 * milliseconds: three intervals of heartbeats, and a margin.
 */
const HOLD_BACK_MS = 6_000;

/** Applies the registry; servers whose entries lapsed in an outage are kept for a while. */
export class RegistrySink implements RowSink<ServerEntry>, Disposable {
  private readonly lapsed = new LapsedServers();
  private timer: NodeJS.Timeout | undefined;
  /** Rows of a restored store that name servers that had left, by key. */
  private readonly heldBack = new Map<string, DecodedRow<ServerEntry>>();
  private heldBackTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly deployment: Deployment,
    private readonly backendClient: BackendClient,
    private readonly clock: Clock,
    private readonly log: GatewayLog,
    private readonly onServerAdded: () => void,
  ) {}

  replace(rows: readonly DecodedRow<ServerEntry>[], now: number): void {
    const listed = new Set(rows.map(row => row.key));
    this.heldBack.clear();
    this.update(rows, now);
    this.deployment.serverIds
      .filter(id => !listed.has(id))
      .forEach(id => this.entryMissing(id, now));
    this.deployment.markRegistryRead();
  }

  /**
   * Entries that are missing are expected to return soon. Those of servers that
   * have left are from before that; one that stays is renewed by its server.
   */
  replaceRestored(rows: readonly DecodedRow<ServerEntry>[], now: number): void {
    this.lapsed.registryRecovered(now, now);
    const outdated = rows.filter(
      row => row.kind === 'value' && this.deployment.hasLeft(row.value),
    );
    this.replace(
      rows.filter(row => !outdated.includes(row)),
      now,
    );
    outdated.forEach(row => this.heldBack.set(row.key, row));
    clearTimeout(this.heldBackTimer);
    if (outdated.length === 0) return;
    this.log.stateChange('server_entries_held_back', {
      servers: outdated.map(({key}) => key),
    });
    this.heldBackTimer = setTimeout(() => {
      const staying = [...this.heldBack.values()];
      this.heldBack.clear();
      this.update(staying, this.clock.now());
    }, HOLD_BACK_MS);
  }

  update(rows: readonly DecodedRow<ServerEntry>[], now: number): void {
    rows.forEach(row => this.apply(row, now));
  }

  storeLost(): void {
    // What is known is served on.
  }

  storeRegained(now: number, lostAt: number): void {
    this.lapsed.registryRecovered(now, lostAt);
  }

  [Symbol.dispose](): void {
    clearTimeout(this.timer);
    clearTimeout(this.heldBackTimer);
  }

  private apply(row: DecodedRow<ServerEntry>, now: number): void {
    this.heldBack.delete(row.key);
    switch (row.kind) {
      case 'value': {
        const {value} = row;
        this.lapsed.entryReturned(row.key);
        const isNew = !this.deployment.server(value.id);
        const outcome = this.deployment.putServer(value, now);
        if (isNew) this.onServerAdded();
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
        return this.entryMissing(row.key, now);
      case 'unreadable':
        this.log.stateChange('server_entry_unreadable', {
          server: row.key,
          detail: row.detail,
        });
        return this.entryMissing(row.key, now);
      default:
        row satisfies never;
    }
  }

  private entryMissing(id: string, now: number): void {
    if (!this.deployment.server(id)) return;
    if (this.lapsed.retain(id, now)) {
      this.log.stateChange('server_lapsed', {server: id});
      this.scheduleRemoval(now);
      return;
    }
    this.removeServer(id, 'removed');
  }

  private removeServer(id: string, reason: string): void {
    this.deployment.removeServer(id);
    this.backendClient.close(id);
    this.log.stateChange('server_gone', {server: id, reason});
  }

  private scheduleRemoval(now: number): void {
    clearTimeout(this.timer);
    const {expiresAt: dueAt} = this.lapsed;
    if (dueAt === undefined) return;
    this.timer = setTimeout(
      () => {
        const due = this.lapsed.takeExpired(this.clock.now());
        due.forEach(id =>
          this.removeServer(id, 'not registered again after the outage'),
        );
        this.scheduleRemoval(this.clock.now());
      },
      Math.max(1, dueAt - now),
    );
  }
}
