/** Admits the requests of workspaces at one entry node, within their limits. */
import { computeWindowLimit } from "./quota_shares.ts";
import type {
  QuotaTerms,
  WorkspaceShare,
  WorkspaceUsage,
} from "./quota_shares.ts";
import { USAGE_INTERVAL_MS, UsageWindow } from "./usage_window.ts";
import type { Workspace } from "./workspace.ts";

/** Result of checking a request against the limit of its workspace. */
export type QuotaDecision =
  | { readonly type: "LetIn" }
  /**
   * The shares, which depend on the total demand, haven't been received yet.
   */
  | { readonly type: "Unsure" }
  | {
    readonly type: "OverLimit";
    /** Expected time until the limit allows more requests, in milliseconds. */
    readonly retryAfterMs: number;
    /** Share of the workspace's requests that is admitted now, 0 to 1. */
    readonly share: number;
  };

/** Options of `QuotaGate`. */
export interface QuotaGateOptions {
  /** Undefined if limits are not enforced. */
  readonly terms: QuotaTerms | undefined;
  /** Returns a random number from 0 to 1. */
  readonly draw: () => number;
}

/** Minimum time after which a refused caller is asked to retry. */
const MIN_RETRY_MS = 500;
/**
 * Part of the allowance beyond the limit that all entry nodes together admit at
 * once before they receive shares. The limit itself they admit only at its rate
 * over time: before a restart they may have admitted a whole window of
 * requests.
 */
const INITIAL_ALLOWANCE_RATIO = 0.6;

/**
 * Number of reports after which received shares count as stale: control
 * replicas send new ones about once for each report.
 */
const MAX_SHARE_AGE_REPORTS = 3;
/**
 * Factor applied to a stale share: without updates the share isn't corrected
 * when a window is full.
 */
const STALE_SHARE_RATIO = 0.8;

/**
 * Requests that an entry node may admit before it knows the share of a
 * workspace.
 */
interface InitialCredit {
  credit: number;
  /** Requests added to the credit with each report. */
  readonly creditPerReport: number;
}

/** Admits requests by the shares last received from a control replica. */
export class QuotaGate {
  readonly #options: QuotaGateOptions;
  readonly #window: UsageWindow;
  /** Accumulated fraction of the next request to admit, by workspace. */
  readonly #credits = new Map<string, number>();
  readonly #initialCredits = new Map<string, InitialCredit>();
  #shares: ReadonlyMap<string, number> | undefined;
  #entryCount = 1;
  /** Number of reports created since shares were last received. */
  #reportsSinceShares = 0;

  constructor(options: QuotaGateOptions) {
    this.#options = options;
    this.#window = new UsageWindow(options.terms?.windowMs ?? 1);
  }

  /** The shares below 1 that were last received. */
  get shares(): readonly WorkspaceShare[] {
    return [...this.#shares ?? []];
  }

  /**
   * Replaces the shares below 1, unless undefined, and the total number of
   * entry nodes.
   */
  replaceShares(
    shares: readonly WorkspaceShare[] | undefined,
    entries: number,
  ): void {
    this.#entryCount = Math.max(1, entries);
    if (shares !== undefined) {
      this.#shares = new Map(shares);
      this.#reportsSinceShares = 0;
      this.#initialCredits.clear();
    }
  }

  /** Decides whether to admit a request with a key of a workspace. */
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
    const isAdmitted = share === undefined
      ? this.#spendInitialCredit(name, limit, terms)
      : share === 1 || this.#spendCredit(name, share);
    this.#window.record(name, isAdmitted);
    if (isAdmitted) {
      return { type: "LetIn" };
    }
    if (share === undefined) {
      return { type: "Unsure" };
    }
    const retryAfterMs = Math.max(MIN_RETRY_MS, terms.windowMs * (1 - share));
    return { type: "OverLimit", share, retryAfterMs };
  }

  /** Records that an admitted request was not run by any backend server. */
  recordNotRun(workspace: Workspace): void {
    const { terms } = this.#options;
    if (
      terms !== undefined && computeWindowLimit(workspace, terms) < Infinity
    ) {
      this.#window.recordNotRun(workspace.name);
    }
  }

  /**
   * Creates the usage report that control replicas add up, and advances the
   * window by one interval.
   */
  createReport(): readonly WorkspaceUsage[] {
    const usages = this.#window.list();
    this.#window.advance();
    this.#reportsSinceShares += 1;
    for (const initial of this.#initialCredits.values()) {
      initial.credit += initial.creditPerReport;
    }
    return usages;
  }

  /** Returns the share to admit; undefined before any shares were received. */
  #getShare(name: string): number | undefined {
    if (this.#shares === undefined) {
      return undefined;
    }
    const share = this.#shares.get(name) ?? 1;
    return share < 1 && this.#reportsSinceShares > MAX_SHARE_AGE_REPORTS
      ? share * STALE_SHARE_RATIO
      : share;
  }

  /**
   * Admits the given share of the requests at even intervals. The initial
   * credit is random, so that entry nodes don't all admit at the same time.
   */
  #spendCredit(name: string, share: number): boolean {
    const credit = (this.#credits.get(name) ?? this.#options.draw()) + share;
    const isAdmitted = credit >= 1;
    this.#credits.set(name, isAdmitted ? credit - 1 : credit);
    return isAdmitted;
  }

  /**
   * Admits requests from the initial credit: an entry node that has just
   * started doesn't know how many requests the others admit.
   */
  #spendInitialCredit(name: string, limit: number, terms: QuotaTerms): boolean {
    const initial = this.#initialCredits.get(name) ??
      this.#createInitialCredit(limit, terms);
    this.#initialCredits.set(name, initial);
    const isAdmitted = initial.credit >= 1;
    initial.credit -= isAdmitted ? 1 : 0;
    return isAdmitted;
  }

  #createInitialCredit(limit: number, terms: QuotaTerms): InitialCredit {
    const allowance = terms.overage * limit + terms.slack;
    const immediateCredit = INITIAL_ALLOWANCE_RATIO * allowance /
      this.#entryCount;
    const reportsPerWindow = terms.windowMs / USAGE_INTERVAL_MS;
    return {
      credit: Math.floor(immediateCredit + this.#options.draw()),
      creditPerReport: limit / reportsPerWindow / this.#entryCount,
    };
  }
}
