/** Slower service times for a while after a backend server starts. */
import * as z from 'zod';

/** Schema of {@link ColdStartOptions}. */
export const coldStartOptionsSchema = z.object({
  /** Length of the cold start, in milliseconds. */
  durationMs: z.number().min(0),
  /** Factor on service times when the cold start begins. */
  slowFactor: z.number().min(1),
});

/** Settings of a cold start. */
export type ColdStartOptions = Readonly<z.infer<typeof coldStartOptionsSchema>>;

/** A cold start in progress or completed. */
export class ColdStart {
  /** @param startedAtMs When it began, in milliseconds. */
  constructor(
    private readonly options: ColdStartOptions,
    private readonly startedAtMs: number,
  ) {}

  /** Whether the cold start is still in progress. */
  isActive(now: number): boolean {
    return now < this.startedAtMs + this.options.durationMs;
  }

  /** Factor on service times; falls linearly to 1 over the cold start. */
  slowFactor(now: number): number {
    if (!this.isActive(now)) return 1;
    const {durationMs, slowFactor} = this.options;
    const remaining = 1 - (now - this.startedAtMs) / durationMs;
    return 1 + (slowFactor - 1) * remaining;
  }
}
