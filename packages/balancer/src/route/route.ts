/** What an operator set for the requests of one host and path prefix. */

/** One of the services that share a route's requests. */
export interface WeightedService {
  readonly service: string;
  /** Share of the requests, relative to the weights of the other parts. */
  readonly weight: number;
}

/** One route. */
export interface Route {
  readonly name: string;
  /** Host in lower case, without a port. */
  readonly host: string;
  /** Start of the path; begins and ends with a slash. */
  readonly prefix: string;
  /** Whether a request may run more than once. */
  readonly idempotent: boolean;
  /** Longest time for which a caller is kept waiting, milliseconds. */
  readonly timeoutMs: number;
  /** Time within which an answer is worth most, milliseconds. */
  readonly targetMs: number;
  /** Urgency; 0 is the most urgent. */
  readonly urgency: number;
  /** Most backend servers that one request may be sent to. */
  readonly maxAttempts: number;
  /** At least one. */
  readonly parts: readonly WeightedService[];
}

/** What callers may send. */
export interface CallerRequestLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Time for a request's headers to arrive, milliseconds. */
  readonly headersMs: number;
  /** Time for which an idle connection is kept, milliseconds. */
  readonly idleMs: number;
}

/** What an operator set for a service. */
export interface ServiceSettings {
  readonly name: string;
  /** Path that tells a backend server's health and load. */
  readonly healthPath: string;
  /** Connections that one of its backend servers accepts from all instances. */
  readonly maxConnections: number;
}

/** All that operators set, at one version. */
export interface RoutingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceSettings[];
  readonly bounds: CallerRequestLimits;
}
