/** Writes decision lines within a budget a second; never more than that. */
import type { Logger, MessageContext } from "roarr";
import type { RelayLine, RelayLog } from "../engine/relay/common/relay_log.ts";

/** Lines a second and kind of event; the rest is counted. */
const LINES_A_SECOND = 20;

/** Counts a decision by its event and outcome. */
export type CountDecision = (event: string, outcome: string) => void;

interface Budget {
  second: number;
  written: number;
  leftOut: number;
}

/** Counts what was left out and says so with the next line of its kind. */
export class LineLog implements RelayLog {
  readonly #log: Logger;
  readonly #countDecision: CountDecision;
  readonly #budgets = new Map<string, Budget>();

  /** `countDecision` also counts the lines that are not written. */
  constructor(log: Logger, countDecision: CountDecision) {
    this.#log = log;
    this.#countDecision = countDecision;
  }

  /** Writes a line, or counts it. */
  write(line: RelayLine): void {
    const { event, isFailure, ...context } = line;
    this.#countDecision(event, String(context["reason"] ?? ""));
    const second = Math.floor(Date.now() / 1_000);
    const budget = this.#budgets.get(event) ??
      { second, written: 0, leftOut: 0 };
    this.#budgets.set(event, budget);
    if (budget.second !== second) {
      budget.second = second;
      budget.written = 0;
    }
    if (budget.written >= LINES_A_SECOND) {
      budget.leftOut += 1;
      return;
    }
    budget.written += 1;
    const { leftOut } = budget;
    budget.leftOut = 0;
    const told =
      (leftOut === 0 ? context : { ...context, leftOut }) as MessageContext;
    if (isFailure) {
      this.#log.warn(told, event);
    } else {
      this.#log.info(told, event);
    }
  }
}
