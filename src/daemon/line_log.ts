/** A decision log with a rate limit for each kind of event. */
import type { Logger, MessageContext } from "roarr";
import type { RelayLine, RelayLog } from "../engine/relay/common/relay_log.ts";

/** Most lines written per second and kind of event; others are only counted. */
const MAX_LINES_PER_SECOND = 20;

/** Counts a decision by its event and outcome. */
export type CountDecision = (event: string, outcome: string) => void;

interface LineBudget {
  /** Wall clock in whole seconds; `written` counts the lines within it. */
  second: number;
  written: number;
  /** Lines that were dropped since the last one that was written. */
  suppressedCount: number;
}

/**
 * Writes decision lines up to the rate limit. The next line of the same event
 * has the number of suppressed lines as `leftOut`.
 */
export class LineLog implements RelayLog {
  readonly #log: Logger;
  readonly #countDecision: CountDecision;
  readonly #budgets = new Map<string, LineBudget>();

  /** `countDecision` is also called for suppressed lines. */
  constructor(log: Logger, countDecision: CountDecision) {
    this.#log = log;
    this.#countDecision = countDecision;
  }

  /**
   * Writes a line, or counts it as suppressed if its event is over the limit.
   */
  write(line: RelayLine): void {
    const { event, isFailure, ...context } = line;
    this.#countDecision(event, String(context["reason"] ?? ""));
    const second = Math.floor(Date.now() / 1_000);
    const budget = this.#budgets.get(event) ??
      { second, written: 0, suppressedCount: 0 };
    this.#budgets.set(event, budget);
    if (budget.second !== second) {
      budget.second = second;
      budget.written = 0;
    }
    if (budget.written >= MAX_LINES_PER_SECOND) {
      budget.suppressedCount += 1;
      return;
    }
    budget.written += 1;
    const { suppressedCount } = budget;
    budget.suppressedCount = 0;
    const fields =
      (suppressedCount === 0
        ? context
        : { ...context, leftOut: suppressedCount }) as MessageContext;
    if (isFailure) {
      this.#log.warn(fields, event);
    } else {
      this.#log.info(fields, event);
    }
  }
}
