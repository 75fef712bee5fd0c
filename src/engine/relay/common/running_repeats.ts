/** Which part of the work at a backend server repeats earlier work. */

/** What is known of a run at the backend server. */
export interface BackendRun {
  readonly route: string;
  /** How likely it is that the run is a repeat, 0 to 1. */
  readonly repeatShare: number;
}

interface RouteRuns {
  running: number;
  /** Sum of the likelihoods that these are repeats. */
  repeats: number;
}

/** Follows the runs in progress at one backend server. */
export class RunningRepeats {
  readonly #routes = new Map<string, RouteRuns>();

  /** Whether a repeat may be in progress. */
  get hasAny(): boolean {
    return [...this.#routes.values()].some(({ repeats }) => repeats > 0);
  }

  /** A run begins (1) or ends (-1). */
  noteRun({ route, repeatShare }: BackendRun, change: 1 | -1): void {
    const runs = this.#routes.get(route) ?? { running: 0, repeats: 0 };
    runs.running += change;
    if (runs.running <= 0) {
      // Drops what rounding has left of the sum.
      this.#routes.delete(route);
      return;
    }
    runs.repeats = Math.max(0, runs.repeats + change * repeatShare);
    this.#routes.set(route, runs);
  }

  /**
   * Computes how likely it is that a repeat made a call that runs of some
   * routes make; where none of these is in progress, any run may have made it.
   */
  computeShare(parents: readonly string[]): number {
    const known = parents.flatMap((name) => this.#routes.get(name) ?? []);
    const runs = known.length > 0 ? known : [...this.#routes.values()];
    const running = runs.reduce((sum, one) => sum + one.running, 0);
    const repeats = runs.reduce((sum, one) => sum + one.repeats, 0);
    return running === 0 ? 0 : Math.min(1, repeats / running);
  }
}
