/** Schemas of the messages that the platform receives. */
import type {ListedInstance, Transaction} from '@ragworthall/contracts';
import * as z from 'zod';

const conditionSchema = z.object({
  key: z.string(),
  version: z.int().min(0),
});

const writeSchema = z.object({
  key: z.string(),
  value: z.unknown().refine(value => value !== undefined, 'missing value'),
});

/** Schema of a transaction, which may write each key at most once. */
export const transactionSchema: z.ZodType<Transaction> = z.object({
  conditions: z.array(conditionSchema),
  writes: z
    .array(writeSchema)
    .refine(
      writes => new Set(writes.map(({key}) => key)).size === writes.length,
      'a key is written twice',
    ),
});

const listedInstanceSchema: z.ZodType<ListedInstance> = z.object({
  id: z.string(),
  address: z.string(),
  state: z.enum(['live', 'leaving']),
});

/** Schema of {@link InstancesChange}. */
export const instancesChangeSchema = z.strictObject({
  instances: z.array(listedInstanceSchema).readonly(),
  lagMs: z.number().min(0).optional(),
});

/** Replaces the list of instances; `lagMs` overrides the default lag. */
export type InstancesChange = z.infer<typeof instancesChangeSchema>;
