/** Access to the platform's list of instances over HTTP. */
import type {ListedInstance} from '@ragworthall/contracts';
import * as z from 'zod';
import {parseJson, type PlatformClient} from './platform_client.js';

const listSchema = z.object({
  instances: z.array(
    z.object({
      id: z.string(),
      address: z.string(),
      state: z.enum(['live', 'leaving']),
    }),
  ),
});

/** Reads the platform's list of instances. */
export interface InstanceListReader {
  /** Returns the list; undefined if it could not be read. Never rejects. */
  read(): Promise<readonly ListedInstance[] | undefined>;
}

/** Reads only those instances that are leaving, over HTTP. */
export class HttpInstanceList implements InstanceListReader {
  constructor(private readonly client: PlatformClient) {}

  async read(): Promise<readonly ListedInstance[] | undefined> {
    const reply = await this.client.read('/instances?state=leaving');
    if (reply.kind !== 'answer' || reply.status !== 200) return undefined;
    return listSchema.safeParse(parseJson(reply.body)).data?.instances;
  }
}
