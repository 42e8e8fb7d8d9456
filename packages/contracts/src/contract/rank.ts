/** Ranks of requests. */

/** Ranks of requests; lower numbers are served first. */
export const Rank = {
  /** Payments and bookings. */
  Urgent: 1,
  /** Live listings and playlists. */
  Live: 2,
  /** Archives and grids. */
  Bulk: 3,
} as const;

/** One of the values of {@link Rank}. */
export type Rank = (typeof Rank)[keyof typeof Rank];

/** All ranks, most urgent first. */
export const RANKS: readonly Rank[] = [Rank.Urgent, Rank.Live, Rank.Bulk];
