/** Divides the requests of a route among its parts by their weights. */
import type {WeightedService} from './route.js';

/**
 * Smooth weighted round robin: any run of requests is divided as closely by the
 * weights as whole numbers allow, without bursts to one part.
 */
export class TrafficSplit {
  private readonly credits: number[];
  private readonly total: number;

  constructor(private readonly parts: readonly WeightedService[]) {
    this.credits = parts.map(() => 0);
    this.total = parts.reduce((sum, part) => sum + part.weight, 0);
  }

  /** Returns the service that the next request goes to. */
  next(): string {
    let chosen = 0;
    this.parts.forEach(({weight}, i) => {
      this.credits[i]! += weight;
      if (this.credits[i]! > this.credits[chosen]!) chosen = i;
    });
    this.credits[chosen]! -= this.total;
    return this.parts[chosen]!.service;
  }
}
