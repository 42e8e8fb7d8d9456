/** Takes the operators' configuration into the deployment. */
import {
  type CallerRequestLimits,
  type Deployment,
  NewsOutcome,
  type RoutingConfiguration,
} from '@ragworthall/balancer';
import type {GatewayLog} from '../log/gateway_log.js';
import type {DecodedRow} from '../platform/row_source.js';
import type {RowSink} from '../platform/table_follower.js';

/** The configuration row. */
export class ConfigurationSink implements RowSink<RoutingConfiguration> {
  constructor(
    private readonly deployment: Deployment,
    private readonly log: GatewayLog,
    private readonly onBounds: (bounds: CallerRequestLimits) => void,
  ) {}

  replace(rows: readonly DecodedRow<RoutingConfiguration>[]): void {
    this.change(rows);
  }

  change(rows: readonly DecodedRow<RoutingConfiguration>[]): void {
    rows.forEach(row => this.take(row));
  }

  regained(): void {
    // Versions tell old from new, whatever happened meanwhile.
  }

  private take(row: DecodedRow<RoutingConfiguration>): void {
    switch (row.kind) {
      case 'value': {
        const {version, routes, bounds} = row.value;
        const outcome = this.deployment.configure(row.value);
        this.log.stateChange('configuration', {
          version,
          outcome,
          routes: routes.length,
        });
        if (outcome === NewsOutcome.Taken) this.onBounds(bounds);
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
