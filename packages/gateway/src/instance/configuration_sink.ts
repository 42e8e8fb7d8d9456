/** Applies the operators' configuration to the deployment. */
import {
  type CallerRequestLimits,
  type Deployment,
  UpdateOutcome,
  type RoutingConfiguration,
} from '@ragworthall/balancer';
import type {GatewayLog} from '../log/gateway_log.js';
import type {DecodedRow} from '../platform/row_source.js';
import type {RowSink} from '../platform/table_follower.js';

/** Applies the configuration row. */
export class ConfigurationSink implements RowSink<RoutingConfiguration> {
  constructor(
    private readonly deployment: Deployment,
    private readonly log: GatewayLog,
    private readonly onCallerLimits: (limits: CallerRequestLimits) => void,
  ) {}

  replace(rows: readonly DecodedRow<RoutingConfiguration>[]): void {
    this.update(rows);
  }

  replaceRestored(rows: readonly DecodedRow<RoutingConfiguration>[]): void {
    // An older version than the one in force is ignored.
    this.update(rows);
  }

  update(rows: readonly DecodedRow<RoutingConfiguration>[]): void {
    rows.forEach(row => this.apply(row));
  }

  storeLost(): void {
    // What is known is served on.
  }

  storeRegained(): void {
    // Configurations are versioned: old ones are ignored, with or without an outage.
  }

  private apply(row: DecodedRow<RoutingConfiguration>): void {
    switch (row.kind) {
      case 'value': {
        const {version, routes, callerLimits} = row.value;
        const outcome = this.deployment.configure(row.value);
        this.log.stateChange('configuration', {
          version,
          outcome,
          routes: routes.length,
        });
        if (outcome === UpdateOutcome.Taken) this.onCallerLimits(callerLimits);
        return;
      }
      case 'removed':
        this.log.stateChange('configuration_removed', {key: row.key});
        return;
      case 'unreadable':
        this.log.stateChange('configuration_unreadable', {detail: row.detail});
        return;
      default:
        row satisfies never;
    }
  }
}
