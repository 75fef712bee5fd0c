/** What a node observed of the answer to a request. */

/** The answer to one run, as observed at its gate or its entry. */
export interface ObservedAnswer {
  /** HTTP status. */
  readonly status: number;
  /** Process instance that answered; the member's address at an entry. */
  readonly answeredBy: string;
  /**
   * Time from the hand-over to the answer in milliseconds; undefined at an
   * entry, which doesn't know when its member handed the call over.
   */
  readonly runMs: number | undefined;
  /** Time from the hand-over to the deadline in milliseconds; as `runMs`. */
  readonly timeLeftMs: number | undefined;
}
