/** Routing configuration set by operators. */

/** A service that receives a share of a route's requests. */
export interface WeightedService {
  readonly service: string;
  /** Share of the requests relative to the weights of the other services. */
  readonly weight: number;
}

/** Configuration of the requests to one host and path prefix. */
export interface Route {
  readonly name: string;
  /** Host in lower case, without a port. */
  readonly host: string;
  /** Path prefix; begins and ends with a slash. */
  readonly prefix: string;
  /** Whether a request may run more than once. */
  readonly idempotent: boolean;
  /** Maximum time until a caller gets an answer, milliseconds. */
  readonly timeoutMs: number;
  /** Target latency, milliseconds; an answer within it has its full value. */
  readonly targetMs: number;
  /** Priority; 0 is the most urgent. */
  readonly urgency: number;
  /** Maximum number of backend servers that one request is sent to. */
  readonly maxAttempts: number;
  /** Services that share the requests; at least one. */
  readonly weightedServices: readonly WeightedService[];
}

/** Limits on requests and connections of callers. */
export interface CallerRequestLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Timeout for receiving the headers of a request, milliseconds. */
  readonly headersMs: number;
  /** Timeout of idle connections, milliseconds. */
  readonly idleMs: number;
}

/** Configuration of a service. */
export interface ServiceSettings {
  readonly name: string;
  /** Path at which backend servers report their health and load. */
  readonly healthPath: string;
  /** Maximum connections to each backend server, from all instances together. */
  readonly maxConnections: number;
}

/** One version of the complete routing configuration. */
export interface RoutingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceSettings[];
  readonly callerLimits: CallerRequestLimits;
}
