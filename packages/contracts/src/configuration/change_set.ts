/** A configuration change of an operator: services to put and to remove. */
import {z, type core} from 'zod';
import type {RefinementParams} from '../settings/problem.js';
import {serviceSchema, type ServiceId} from '../service/service_config.js';

/** Maximum number of services that one change may put, or remove. */
const MAX_SERVICES_PER_CHANGE = 2_000;

/** Schema of a service's name across members. */
export const serviceIdSchema = z
  .string()
  .regex(
    /^[a-z][a-z0-9-]{0,62}\/[a-z][a-z0-9-]{0,62}$/,
    'a service written as "member/service"',
  )
  .transform(id => id as ServiceId);

/** Schema of a change, and of the file that operators apply. */
export const changeSetSchema = z
  .strictObject({
    services: z.array(serviceSchema).max(MAX_SERVICES_PER_CHANGE).default([]),
    remove: z.array(serviceIdSchema).max(MAX_SERVICES_PER_CHANGE).default([]),
  })
  .superRefine(checkChangeSet, {when: () => true});

/** Services to put and to remove in one change. */
export type ChangeSet = z.infer<typeof changeSetSchema>;

interface UncheckedChangeSet {
  readonly services?: readonly ({member?: unknown; name?: unknown} | null)[];
  readonly remove?: readonly unknown[];
}

/** Reports services that the change names more than once. */
function checkChangeSet(set: unknown, ctx: core.$RefinementCtx<unknown>): void {
  if (typeof set !== 'object' || set === null) return;
  const {services, remove} = set as UncheckedChangeSet;
  const puts = (Array.isArray(services) ? services : []).map(
    (service, index) => ({
      path: ['services', index, 'name'],
      id: `${String(service?.member)}/${String(service?.name)}`,
    }),
  );
  const removals = (Array.isArray(remove) ? remove : []).map((id, index) => ({
    path: ['remove', index],
    id: String(id),
  }));
  const named = new Set<string>();
  [...puts, ...removals].forEach(({path, id}) => {
    if (named.has(id)) addDuplicateIssue(path, ctx);
    named.add(id);
  });
}

function addDuplicateIssue(
  path: (string | number)[],
  ctx: core.$RefinementCtx<unknown>,
): void {
  const params: RefinementParams = {
    remedy: 'name each service once, to be put or to be removed',
  };
  const message = 'a service that the change does not name before';
  ctx.addIssue({code: 'custom', path, message, params});
}
