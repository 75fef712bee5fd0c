/** Which part of the work at a backend server repeats earlier work. */

/** What is known of a run at the backend server. */
export interface BackendRun {
  readonly route: string;
  /** How likely it is that the run is a repeat, 0 to 1. */
  readonly repeatShare: number;
}

/** Runs that began; older ones count less. */
interface RouteRuns {
  begun: number;
  /** Sum of the likelihoods that these are repeats. */
  repeats: number;
  notedAtMs: number;
}

/** After so long a run counts half. */
const HALF_LIFE_MS = 100;
/** Counts below this are dropped. */
const MIN_COUNT = 0.01;
/** Longer than any run lasts. */
const IDLE_MS = 60_000;

/**
 * Follows the runs that begin at one backend server. It goes by runs begun, not
 * by runs in progress: those that last long would stand for calls that others
 * made.
 */
export class RepeatedRuns {
  readonly #routes = new Map<string, RouteRuns>();

  /** A run begins. */
  recordStart({ route, repeatShare }: BackendRun, nowMs: number): void {
    const runs = this.#routes.get(route) ?? this.#add(route, nowMs);
    const kept = computeKept(runs, nowMs);
    runs.begun = runs.begun * kept + 1;
    const repeats = runs.repeats * kept + repeatShare;
    runs.repeats = repeats < MIN_COUNT ? 0 : repeats;
    runs.notedAtMs = nowMs;
  }

  /**
   * Computes how likely it is that a repeat made a call that runs of some
   * routes make; where none of these has run, any run may have made it.
   */
  computeRepeatShare(parents: readonly string[], nowMs: number): number {
    const known = parents.flatMap((name) => this.#routes.get(name) ?? []);
    const routes = known.length > 0 ? known : [...this.#routes.values()];
    let begun = 0;
    let repeats = 0;
    for (const runs of routes) {
      const kept = computeKept(runs, nowMs);
      begun += runs.begun * kept;
      repeats += runs.repeats * kept;
    }
    return begun === 0 ? 0 : repeats / begun;
  }

  /** Adds a route, and forgets those that nobody asks for any more. */
  #add(route: string, nowMs: number): RouteRuns {
    for (const [name, { notedAtMs }] of this.#routes) {
      if (nowMs - notedAtMs > IDLE_MS) {
        this.#routes.delete(name);
      }
    }
    const added = { begun: 0, repeats: 0, notedAtMs: nowMs };
    this.#routes.set(route, added);
    return added;
  }
}

function computeKept({ notedAtMs }: RouteRuns, nowMs: number): number {
  return 0.5 ** ((nowMs - notedAtMs) / HALF_LIFE_MS);
}
