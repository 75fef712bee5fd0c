/** Lets the requests of a workspace in at one entry, within its limit. */
import { computeWindowLimit } from "./quota_shares.ts";
import type {
  QuotaTerms,
  WorkspaceShare,
  WorkspaceUsage,
} from "./quota_shares.ts";
import { USAGE_MS, UsageWindow } from "./usage_window.ts";
import type { Workspace } from "./workspace.ts";

/** What becomes of a request under its workspace's limit. */
export type QuotaDecision =
  | { readonly type: "LetIn" }
  /** Control will say how much is asked for in all. */
  | { readonly type: "Unsure" }
  | {
    readonly type: "OverLimit";
    /** When there is room again. */
    readonly retryAfterMs: number;
    /** Part of the requests that are let in now. */
    readonly share: number;
  };

/** What the gate is built from. */
export interface QuotaGateOptions {
  /** Undefined where limits are not kept. */
  readonly terms: QuotaTerms | undefined;
  /** From 0 to 1. */
  readonly draw: () => number;
}

/** A refused caller comes back after this much at the soonest. */
const MIN_RETRY_MS = 500;
/**
 * Until control has said how much is asked for, all entries together let in
 * this part of what is allowed beyond the limit at once, and the limit itself
 * as time goes on: they may just have let in a whole window.
 */
const FIRST_PART = 0.6;

/** Reports after which what control told is old: it tells with each. */
const OLD_REPORTS = 3;
/** Part of an old share that is let in: nobody corrects a window that is full. */
const OLD_PART = 0.8;

/** What an entry lets in before it knows the share of a workspace. */
interface FirstCredit {
  credit: number;
  /** Added with each report. */
  readonly perReport: number;
}

/** Decides by the shares that control last told. */
export class QuotaGate {
  readonly #options: QuotaGateOptions;
  readonly #window: UsageWindow;
  /** Parts of a request that may be let in next; by workspace. */
  readonly #credits = new Map<string, number>();
  readonly #first = new Map<string, FirstCredit>();
  #shares: ReadonlyMap<string, number> | undefined;
  #entries = 1;
  /** Reports since control told the shares. */
  #reports = 0;

  constructor(options: QuotaGateOptions) {
    this.#options = options;
    this.#window = new UsageWindow(options.terms?.windowMs ?? 1);
  }

  /** The shares below 1 that were told last. */
  get shares(): readonly WorkspaceShare[] {
    return [...this.#shares ?? []];
  }

  /** Takes the shares below 1, and how many entries there are in all. */
  replaceShares(
    shares: readonly WorkspaceShare[] | undefined,
    entries: number,
  ): void {
    this.#entries = Math.max(1, entries);
    if (shares !== undefined) {
      this.#shares = new Map(shares);
      this.#reports = 0;
      this.#first.clear();
    }
  }

  /** Decides on a request that came with a key of a workspace. */
  decide(workspace: Workspace): QuotaDecision {
    const { terms } = this.#options;
    const limit = terms === undefined
      ? Infinity
      : computeWindowLimit(workspace, terms);
    if (terms === undefined || limit === Infinity) {
      return { type: "LetIn" };
    }
    const { name } = workspace;
    const share = this.#getShare(name);
    const isLetIn = share === undefined
      ? this.#takeFirst(name, limit, terms)
      : share === 1 || this.#takeCredit(name, share);
    this.#window.note(name, isLetIn);
    if (isLetIn) {
      return { type: "LetIn" };
    }
    if (share === undefined) {
      return { type: "Unsure" };
    }
    const retryAfterMs = Math.max(MIN_RETRY_MS, terms.windowMs * (1 - share));
    return { type: "OverLimit", share, retryAfterMs };
  }

  /** A request that was let in has run nowhere. */
  giveBack(workspace: Workspace): void {
    const { terms } = this.#options;
    if (
      terms !== undefined && computeWindowLimit(workspace, terms) < Infinity
    ) {
      this.#window.giveBack(workspace.name);
    }
  }

  /** Lists what control adds up, and moves the window on. */
  takeReport(): readonly WorkspaceUsage[] {
    const usages = this.#window.list();
    this.#window.advance();
    this.#reports += 1;
    for (const first of this.#first.values()) {
      first.credit += first.perReport;
    }
    return usages;
  }

  /** Undefined before control has told any. */
  #getShare(name: string): number | undefined {
    if (this.#shares === undefined) {
      return undefined;
    }
    const share = this.#shares.get(name) ?? 1;
    return share < 1 && this.#reports > OLD_REPORTS ? share * OLD_PART : share;
  }

  /** Lets each share of the requests in, evenly; entries begin apart. */
  #takeCredit(name: string, share: number): boolean {
    const credit = (this.#credits.get(name) ?? this.#options.draw()) + share;
    const isLetIn = credit >= 1;
    this.#credits.set(name, isLetIn ? credit - 1 : credit);
    return isLetIn;
  }

  /** An entry that was started knows nothing of what the others let in. */
  #takeFirst(name: string, limit: number, terms: QuotaTerms): boolean {
    const first = this.#first.get(name) ?? this.#createFirst(limit, terms);
    this.#first.set(name, first);
    const isLetIn = first.credit >= 1;
    first.credit -= isLetIn ? 1 : 0;
    return isLetIn;
  }

  #createFirst(limit: number, terms: QuotaTerms): FirstCredit {
    const beyond = terms.overage * limit + terms.slack;
    const atOnce = FIRST_PART * beyond / this.#entries;
    const reports = terms.windowMs / USAGE_MS;
    return {
      credit: Math.floor(atOnce + this.#options.draw()),
      perReport: limit / reports / this.#entries,
    };
  }
}
