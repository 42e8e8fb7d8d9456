/** Watches a send whose answer takes long, and starts a hedge when it is advised. */
import {checkLater, type HedgeAdvice} from '@ragworthall/balancer';

/** What the watch of one send may do. */
export interface HedgeActions<T> {
  advise(): HedgeAdvice;
  /** Asks the server how slow it is; undefined if it cannot be asked now. */
  ask(): Promise<void> | undefined;
  /** Starts the hedge; undefined if nobody can take it now. */
  start(): Promise<T | undefined>;
  /** Usual duration of such requests, milliseconds. */
  baselineMs(): number;
  /** Calls `wake` when the advice may have changed before it was to. */
  onChange(wake: () => void): Disposable;
}

/** Returns the hedge if one was started before the send ended. */
export async function startHedgeIfSlow<T>(
  send: Promise<unknown>,
  actions: HedgeActions<T>,
): Promise<T | undefined> {
  const ended = send.then(() => 'ended' as const);
  let wake: () => void = () => undefined;
  using ownedListener = actions.onChange(() => wake());
  let advice = actions.advise();
  while (advice.kind !== 'none') {
    switch (advice.kind) {
      case 'recheck':
        if ((await endOr(ended, advice.ms, due => (wake = due))) === 'ended') {
          return undefined;
        }
        advice = actions.advise();
        break;
      case 'ask': {
        const probe = actions.ask();
        const winner = probe && (await Promise.race([ended, probe]));
        if (winner === 'ended') return undefined;
        advice = actions.advise();
        if (advice.kind === 'ask') advice = checkLater(actions.baselineMs());
        break;
      }
      case 'hedge': {
        const hedge = await actions.start();
        if (hedge !== undefined) return hedge;
        advice = checkLater(actions.baselineMs());
        break;
      }
      default:
        advice satisfies never;
    }
  }
  return undefined;
}

/** Resolves when the send has ended, after `ms`, or when `due` is called. */
async function endOr(
  ended: Promise<'ended'>,
  ms: number,
  onStart: (due: () => void) => void,
): Promise<'ended' | 'due'> {
  let timer: NodeJS.Timeout | undefined;
  const due = new Promise<'due'>(resolve => {
    timer = setTimeout(() => resolve('due'), ms);
    onStart(() => resolve('due'));
  });
  const first = await Promise.race([ended, due]);
  clearTimeout(timer);
  return first;
}
