/** Finds the route of a request by host and longest path prefix. */
import type {Route, RoutingConfiguration} from './route.js';
import {WeightedSplit} from './weighted_split.js';

/** A route and the state of its weighted split. */
export interface MatchedRoute {
  readonly route: Route;
  readonly split: WeightedSplit;
}

interface HostRoutes {
  readonly byPrefix: Map<string, MatchedRoute>;
  /** Length of the longest prefix; longer parts of the path are not looked up. */
  maxPrefixLength: number;
}

/** The routes of one configuration. */
export class RouteTable {
  private readonly hosts = new Map<string, HostRoutes>();

  /** @param previous Table being replaced; unchanged splits keep its state. */
  constructor(
    readonly configuration: RoutingConfiguration,
    previous?: RouteTable,
  ) {
    configuration.routes.forEach(route => this.add(route, previous));
  }

  /** Returns the route of a request, in time independent of the number of routes. */
  match(hostHeader: string, target: string): MatchedRoute | undefined {
    const routes = this.hosts.get(hostOf(hostHeader));
    if (!routes) return undefined;
    const query = target.indexOf('?');
    const path = query < 0 ? target : target.slice(0, query);
    let prefixEnd = path.lastIndexOf('/', routes.maxPrefixLength - 1);
    while (prefixEnd >= 0) {
      const found = routes.byPrefix.get(path.slice(0, prefixEnd + 1));
      if (found) return found;
      prefixEnd = prefixEnd === 0 ? -1 : path.lastIndexOf('/', prefixEnd - 1);
    }
    return undefined;
  }

  private add(route: Route, previous: RouteTable | undefined): void {
    const {host, prefix, weightedServices} = route;
    const routes = this.hosts.get(host) ?? {
      byPrefix: new Map(),
      maxPrefixLength: 0,
    };
    this.hosts.set(host, routes);
    const previousMatch = previous?.hosts.get(host)?.byPrefix.get(prefix);
    const split =
      previousMatch && hasSameWeights(previousMatch.route, route)
        ? previousMatch.split
        : new WeightedSplit(weightedServices);
    routes.byPrefix.set(prefix, {route, split});
    routes.maxPrefixLength = Math.max(routes.maxPrefixLength, prefix.length);
  }
}

/** Returns the host name of a `Host` header in lower case, without the port. */
export function hostOf(header: string): string {
  const colon = header.lastIndexOf(':');
  const isPort = colon > 0 && /^\d*$/.test(header.slice(colon + 1));
  return (isPort ? header.slice(0, colon) : header).toLowerCase();
}

function hasSameWeights(a: Route, b: Route): boolean {
  return (
    a.weightedServices.length === b.weightedServices.length &&
    a.weightedServices.every((entry, i) => {
      const other = b.weightedServices[i]!;
      return entry.service === other.service && entry.weight === other.weight;
    })
  );
}
