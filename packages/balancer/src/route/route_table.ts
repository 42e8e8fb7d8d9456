/** Finds the route of a request by host and longest path prefix. */
import type {Route, RoutingConfiguration} from './route.js';
import {TrafficSplit} from './traffic_split.js';

/** A route together with the state of its split. */
export interface MatchedRoute {
  readonly route: Route;
  readonly split: TrafficSplit;
}

interface HostRoutes {
  readonly byPrefix: Map<string, MatchedRoute>;
  /** Length of the longest prefix; longer ones need no look. */
  longest: number;
}

/** The routes of one configuration. */
export class RouteTable {
  private readonly hosts = new Map<string, HostRoutes>();

  /** @param before Table in force until now; unchanged splits go on from it. */
  constructor(
    readonly configuration: RoutingConfiguration,
    before?: RouteTable,
  ) {
    configuration.routes.forEach(route => this.add(route, before));
  }

  /** Returns the route of a request; the time does not grow with the routes. */
  match(hostHeader: string, target: string): MatchedRoute | undefined {
    const routes = this.hosts.get(hostOf(hostHeader));
    if (!routes) return undefined;
    const query = target.indexOf('?');
    const path = query < 0 ? target : target.slice(0, query);
    let end = path.lastIndexOf('/', routes.longest - 1);
    while (end >= 0) {
      const found = routes.byPrefix.get(path.slice(0, end + 1));
      if (found) return found;
      end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
    }
    return undefined;
  }

  private add(route: Route, before: RouteTable | undefined): void {
    const {host, prefix, parts} = route;
    const routes = this.hosts.get(host) ?? {byPrefix: new Map(), longest: 0};
    this.hosts.set(host, routes);
    const known = before?.hosts.get(host)?.byPrefix.get(prefix);
    const split =
      known && sameParts(known.route, route)
        ? known.split
        : new TrafficSplit(parts);
    routes.byPrefix.set(prefix, {route, split});
    routes.longest = Math.max(routes.longest, prefix.length);
  }
}

/** Returns the name in a `Host` header: lower case, without the port. */
export function hostOf(header: string): string {
  const colon = header.lastIndexOf(':');
  const isPort = colon > 0 && /^\d*$/.test(header.slice(colon + 1));
  return (isPort ? header.slice(0, colon) : header).toLowerCase();
}

function sameParts(a: Route, b: Route): boolean {
  return (
    a.parts.length === b.parts.length &&
    a.parts.every((part, i) => {
      const other = b.parts[i]!;
      return part.service === other.service && part.weight === other.weight;
    })
  );
}
