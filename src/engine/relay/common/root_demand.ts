/** What callers' requests ask for of services that are short of room. */
import type { RankDemand } from "./root_admission.ts";

interface RankSum {
  /** Milliseconds of the scarce service in this span. */
  workMs: number;
  /** Smoothed, in milliseconds a second. */
  work: number;
}

/** Demand is counted over so long before it is smoothed. */
const SPAN_MS = 500;
/** Weight of a span: two seconds; an entry sees some twenty requests in one. */
const SPAN_GAIN = 0.25;
/** Cost of a request of which none is known yet, in milliseconds. */
const UNKNOWN_COST_MS = 1;

/** Counts at one entry, by rank. */
export class RootDemand {
  readonly #ranks = new Map<number, RankSum>();
  #spanStartMs = 0;

  /** Notes a request that leads to a service that is short of room. */
  note(rank: number, costMs: number, nowMs: number): void {
    this.#advance(nowMs);
    const sum = this.#ranks.get(rank) ?? { workMs: 0, work: 0 };
    this.#ranks.set(rank, sum);
    sum.workMs += Math.max(UNKNOWN_COST_MS, costMs);
  }

  /** Lists what each rank asks for. */
  list(): readonly RankDemand[] {
    return [...this.#ranks].map(([rank, { work, workMs }]) => ({
      rank,
      work: work > 0 ? work : workMs,
    }));
  }

  #advance(nowMs: number): void {
    const lengthMs = nowMs - this.#spanStartMs;
    if (lengthMs < SPAN_MS) {
      return;
    }
    // After a pause in which nothing was short, what was before says little.
    const gain = 1 - (1 - SPAN_GAIN) ** (lengthMs / SPAN_MS);
    for (const [rank, sum] of this.#ranks) {
      const lately = sum.workMs * 1_000 / lengthMs;
      sum.work = sum.work === 0
        ? lately
        : sum.work + (lately - sum.work) * gain;
      sum.workMs = 0;
      if (sum.work < UNKNOWN_COST_MS) {
        this.#ranks.delete(rank);
      }
    }
    this.#spanStartMs = nowMs;
  }
}
