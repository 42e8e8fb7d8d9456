/** What the connections of a caller server share. */
import type {Clock} from '@ragworthall/balancer';
import type {MetricSink} from '../metrics/metric.js';
import type {BodyMemory} from './body.js';
import type {CallContextCodec} from './call_context.js';
import type {CallerLimits, CallHandler} from './caller_handler.js';
import type {MemberAdmission} from './member_admission.js';
import type {MemberConnections} from './member_connections.js';

/** State and dependencies shared by all connections of a `CallerServer`. */
export interface CallerServerContext {
  readonly handler: CallHandler;
  readonly limits: CallerLimits;
  readonly clock: Clock;
  readonly bodyMemory: BodyMemory;
  readonly connections: MemberConnections;
  /** Enforces the members' shares; if undefined, every call is admitted. */
  readonly admission: MemberAdmission | undefined;
  /** Decodes contexts of nested calls; if undefined, contexts are ignored. */
  readonly contextCodec: CallContextCodec | undefined;
  readonly metrics: MetricSink | undefined;
  /** Whether connections are closed after their next answer. */
  readonly closing: boolean;
  /** Whether no time is left for requests that are not answered yet. */
  readonly isOver: boolean;
}
