/** Looks up the contract of a request by its method and path. */
import type {Contract, ServiceConfig} from '@ragworthall/contracts';
import findMyWay, {type HTTPMethod} from 'find-my-way';

type Router = findMyWay.Instance<findMyWay.HTTPVersion.V1>;

/** Maximum length of a path segment that `:name` matches, characters. */
const MAX_PARAM_LENGTH = 8_192;

/** Routes requests to the contracts of one service. */
export class ContractTable {
  /** Contracts whose path the router rejects; they match no request. */
  readonly unusable: readonly Contract[];
  private readonly router: Router;

  constructor(cfg: ServiceConfig) {
    this.router = findMyWay({maxParamLength: MAX_PARAM_LENGTH});
    this.unusable = cfg.contracts.filter(contract => !this.add(contract));
  }

  /** Returns the contract for `path`, which may include a query. */
  match(method: string, path: string): Contract | undefined {
    const found = this.router.find(method as HTTPMethod, path);
    return found ? (found.store as Contract) : undefined;
  }

  /**
   * Adds a contract; returns false if the router rejects its path. It does not
   * throw: the configuration is already in force in the whole cell, and one bad
   * path must not keep an instance from applying the rest.
   */
  private add(contract: Contract): boolean {
    const {method, path} = contract;
    try {
      this.router.on(method as HTTPMethod, path, () => undefined, contract);
      return true;
    } catch {
      return false;
    }
  }
}
