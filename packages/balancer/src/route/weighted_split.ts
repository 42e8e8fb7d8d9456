/** Distributes the requests of a route among its services by their weights. */
import type {WeightedService} from './route.js';

/**
 * Smooth weighted round robin: any sequence of requests is distributed as close
 * to the weights as whole numbers allow, without bursts to one service.
 */
export class WeightedSplit {
  private readonly credits: number[];
  private readonly totalWeight: number;

  constructor(private readonly services: readonly WeightedService[]) {
    this.credits = services.map(() => 0);
    this.totalWeight = services.reduce(
      (sum, service) => sum + service.weight,
      0,
    );
  }

  /** Selects the service for the next request. */
  next(): string {
    let chosen = 0;
    this.services.forEach(({weight}, i) => {
      this.credits[i]! += weight;
      if (this.credits[i]! > this.credits[chosen]!) chosen = i;
    });
    this.credits[chosen]! -= this.totalWeight;
    return this.services[chosen]!.service;
  }
}
