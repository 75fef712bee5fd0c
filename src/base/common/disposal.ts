/** Ownership of several disposable resources. */

/** Releases registered resources in reverse order of registration. */
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
