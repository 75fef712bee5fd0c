/**
 * Lets the suspects at one backend server run one after the other: if it ends
 * meanwhile, the one that ran is known.
 */

/** Runs of suspects at one backend server, by call id. */
export class SuspectLane {
  #running: number | undefined;
  readonly #waiting: number[] = [];

  /** The suspect that runs; undefined if there is none. */
  get running(): number | undefined {
    return this.#running;
  }

  /** Number of suspects that wait for their turn. */
  get waitingCount(): number {
    return this.#waiting.length;
  }

  /** Lets a suspect run if no other one does; returns whether it may run. */
  tryEnter(id: number): boolean {
    this.#running ??= id;
    return this.#running === id;
  }

  /** Adds a suspect behind those that wait. */
  wait(id: number): void {
    this.#waiting.push(id);
  }

  /** Removes a suspect that has ended, or that waits no longer. */
  leave(id: number): void {
    const index = this.#waiting.indexOf(id);
    if (index >= 0) {
      this.#waiting.splice(index, 1);
    }
    if (this.#running === id) {
      this.#running = undefined;
    }
  }

  /** Takes the suspect whose turn it is; undefined while another one runs. */
  takeNext(): number | undefined {
    return this.#running === undefined ? this.#waiting.shift() : undefined;
  }
}
