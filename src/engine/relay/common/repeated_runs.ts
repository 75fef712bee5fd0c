/** Estimates the share of the work at a backend server that is repeated. */

/** The properties of a run that the estimate depends on. */
export interface BackendRun {
  readonly route: string;
  /** Probability that the run repeats an earlier one, 0 to 1. */
  readonly repeatShare: number;
}

/** Exponentially decaying counts of the runs of one route. */
interface RouteRuns {
  started: number;
  /** Sum of the probabilities that these runs are repeats. */
  repeats: number;
  updatedAtMs: number;
}

/** A run's weight in the counts halves in this time. */
const HALF_LIFE_MS = 100;
/** Lower counts of repeats are set to 0. */
const MIN_COUNT = 0.01;
/** Unused routes are removed after this time, longer than any run takes. */
const ROUTE_IDLE_LIMIT_MS = 60_000;

/**
 * Tracks the runs that start at one backend server. It counts starts and not
 * runs in progress, because long runs would be held responsible for calls that
 * others made.
 */
export class RepeatedRuns {
  readonly #routes = new Map<string, RouteRuns>();

  /** Records the start of a run. */
  recordStart({ route, repeatShare }: BackendRun, nowMs: number): void {
    const runs = this.#routes.get(route) ?? this.#add(route, nowMs);
    const decay = computeDecay(runs, nowMs);
    runs.started = runs.started * decay + 1;
    const repeats = runs.repeats * decay + repeatShare;
    runs.repeats = repeats < MIN_COUNT ? 0 : repeats;
    runs.updatedAtMs = nowMs;
  }

  /**
   * Computes the probability that a repeated run made a call that runs of the
   * routes `parents` make. If none of these routes has run, any run may have
   * made the call.
   */
  computeRepeatShare(parents: readonly string[], nowMs: number): number {
    const known = parents.flatMap((name) => this.#routes.get(name) ?? []);
    const routes = known.length > 0 ? known : [...this.#routes.values()];
    let started = 0;
    let repeats = 0;
    for (const runs of routes) {
      const decay = computeDecay(runs, nowMs);
      started += runs.started * decay;
      repeats += runs.repeats * decay;
    }
    return started === 0 ? 0 : repeats / started;
  }

  /** Adds a route, and removes idle ones. */
  #add(route: string, nowMs: number): RouteRuns {
    for (const [name, { updatedAtMs }] of this.#routes) {
      if (nowMs - updatedAtMs > ROUTE_IDLE_LIMIT_MS) {
        this.#routes.delete(name);
      }
    }
    const added = { started: 0, repeats: 0, updatedAtMs: nowMs };
    this.#routes.set(route, added);
    return added;
  }
}

/** Computes the factor by which counts have decayed since their update. */
function computeDecay({ updatedAtMs }: RouteRuns, nowMs: number): number {
  return 0.5 ** ((nowMs - updatedAtMs) / HALF_LIFE_MS);
}
