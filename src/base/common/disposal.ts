/** Ownership of several disposable things. */

/** Releases what it was given, last acquired first. */
export class DisposalStack implements AsyncDisposable {
  #releases: (() => PromiseLike<void> | void)[] = [];

  /** Registers `value` for disposal and returns it. */
  use<T extends AsyncDisposable>(value: T): T {
    this.#releases.push(() => value[Symbol.asyncDispose]());
    return value;
  }

  /** Registers a function to call on disposal. */
  defer(release: () => PromiseLike<void> | void): void {
    this.#releases.push(release);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const releases = this.#releases.reverse();
    this.#releases = [];
    for (const release of releases) {
      await release();
    }
  }
}
