/** Admits the requests of workspaces at one entry node, within their limits. */
import {
  ASSUMED_UTILIZATION,
  computeCeiling,
  FILL_REPORTS,
  updateKnownUsage,
} from "./quota_ceiling.ts";
import type { KnownUsage } from "./quota_ceiling.ts";
import { computeWindowLimit, RECENT_SPAN_MS } from "./quota_shares.ts";
import type {
  QuotaTerms,
  WorkspaceShare,
  WorkspaceUsage,
  WorkspaceUtilization,
} from "./quota_shares.ts";
import {
  PROMPT_INTERVAL_MS,
  USAGE_INTERVAL_MS,
  UsageWindow,
} from "./usage_window.ts";
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
  }
  /** Control is silent, and the window holds this entry's part of the limit. */
  | {
    readonly type: "OverCeiling";
    /** Expected time until the ceiling allows more requests, in ms. */
    readonly retryAfterMs: number;
    /** Requests per window that this entry admits. */
    readonly ceiling: number;
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
 * Number of reports after which control counts as silent, if it last sent the
 * utilization of any workspace: it then sends an update for each report. With 2,
 * replicas that were busy with the first reports of a burst counted as silent.
 */
const MAX_UPDATE_AGE_REPORTS = 5;
/**
 * Prompt reports that an entry may send in a row; one more for each regular
 * report. At a jump they are needed until the demand of `RECENT_SPAN_MS`, by
 * which shares are computed otherwise, is that after the jump.
 */
const MAX_PROMPT_REPORTS = RECENT_SPAN_MS / PROMPT_INTERVAL_MS;
/** Smoothed requests per window below which a workspace is forgotten. */
const MIN_KNOWN_USAGE = 0.01;
/** Growth within a tick, relative to the usual, that is reported promptly. */
const PROMPT_GROWTH_RATIO = 2;
/**
 * Usual requests per window below which each request is reported promptly: a
 * jump over all entries shows as single requests at each.
 */
const SMALL_USAGE = 5;

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
  /** Number of reports created since the first request of a workspace. */
  #reports = 0;
  /** As last received; undefined if control sends none (former versions). */
  #utilizations: ReadonlyMap<string, number> | undefined;
  /** Whether the link was lost since shares were last received. */
  #isControlLost = false;
  readonly #knownUsages = new Map<string, KnownUsage>();
  /** Window limits of the workspaces that sent requests, by name. */
  readonly #limits = new Map<string, number>();
  /**
   * Random numbers by which fractions of ceilings are rounded, while control is
   * silent.
   */
  readonly #ceilingDraws = new Map<string, number>();
  #promptReportsLeft = MAX_PROMPT_REPORTS;
  /** Workspaces whose growth in the last tick is reported promptly. */
  #grownWorkspaces: ReadonlySet<string> = new Set();

  constructor(options: QuotaGateOptions) {
    this.#options = options;
    this.#window = new UsageWindow(options.terms?.windowMs ?? 1);
  }

  /** The shares below 1 that were last received. */
  get shares(): readonly WorkspaceShare[] {
    return [...this.#shares ?? []];
  }

  /**
   * Replaces the shares below 1 and the utilizations, unless the shares are
   * undefined, and the total number of entry nodes.
   */
  replaceShares(
    shares: readonly WorkspaceShare[] | undefined,
    entries: number,
    utilizations?: readonly WorkspaceUtilization[],
  ): void {
    this.#entryCount = Math.max(1, entries);
    if (shares !== undefined) {
      this.#utilizations = utilizations && new Map(utilizations);
      this.#isControlLost = false;
      this.#ceilingDraws.clear();
      this.#shares = new Map(shares);
      this.#reportsSinceShares = 0;
      this.#initialCredits.clear();
    }
  }

  /** Records that the link to control was lost: its knowledge is now old. */
  recordControlLoss(): void {
    this.#isControlLost = true;
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
    this.#setLimit(name, limit);
    const share = this.#getShare(name);
    const ceiling = share === undefined || !this.#isControlSilent
      ? Infinity
      : this.#getCeiling(name, limit, terms);
    if (
      ceiling !== Infinity && this.#window.countAdmitted(name) + 1 > ceiling
    ) {
      this.#window.record(name, false);
      const retryAfterMs = Math.max(MIN_RETRY_MS, terms.windowMs / 2);
      return { type: "OverCeiling", ceiling, retryAfterMs };
    }
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
    const usages = this.#window.list(
      "Bucket",
      (name) => this.#grownWorkspaces.has(name),
    );
    this.#reports += this.#limits.size > 0 || this.#reports > 0 ? 1 : 0;
    this.#updateKnownUsages(usages);
    this.#window.advance();
    this.#reportsSinceShares += 1;
    this.#promptReportsLeft = Math.min(
      MAX_PROMPT_REPORTS,
      this.#promptReportsLeft + 1,
    );
    for (const initial of this.#initialCredits.values()) {
      initial.credit += initial.creditPerReport;
    }
    return usages;
  }

  /**
   * Advances the window by one tick. Creates a report if the requests of a
   * workspace grew, unless too many were created lately. It lists all
   * workspaces, as replicas replace the whole usage of a node.
   */
  createPromptReport(): readonly WorkspaceUsage[] | undefined {
    this.#window.tick();
    this.#grownWorkspaces = new Set(
      this.#promptReportsLeft >= 1
        ? this.#window.listActive().filter((name) => this.#hasGrown(name))
        : [],
    );
    if (this.#grownWorkspaces.size === 0) {
      return undefined;
    }
    this.#promptReportsLeft -= 1;
    return this.#window.list(
      "Tick",
      (name) => this.#grownWorkspaces.has(name),
    );
  }

  #hasGrown(name: string): boolean {
    const { windowMs } = this.#options.terms!;
    const { window, current } = this.#window.countAsked(name);
    const usual = window - current;
    const expected = usual * PROMPT_INTERVAL_MS / windowMs;
    return usual < SMALL_USAGE ||
      this.#window.countLastTick(name) >= 1 + PROMPT_GROWTH_RATIO * expected;
  }

  /**
   * Whether what this entry knows of the others may be old. Former versions of
   * control send no utilizations; under them no ceilings apply.
   */
  get #isControlSilent(): boolean {
    const utilizations = this.#utilizations;
    return utilizations !== undefined && (this.#isControlLost ||
      (utilizations.size > 0 &&
        this.#reportsSinceShares > MAX_UPDATE_AGE_REPORTS));
  }

  #getCeiling(name: string, limit: number, terms: QuotaTerms): number {
    const draw = this.#ceilingDraws.get(name) ?? this.#options.draw();
    this.#ceilingDraws.set(name, draw);
    // Before a whole window of requests, what is usual isn't known: a part by the
    // first ones would refuse most of the others.
    const known = this.#reports > FILL_REPORTS
      ? this.#knownUsages.get(name)
      : { own: limit / this.#entryCount, total: limit };
    return Math.floor(
      computeCeiling(limit, known, terms, this.#entryCount) + draw,
    );
  }

  /** Forgets the usage under another limit: it may be far from the new one. */
  #setLimit(name: string, limit: number): void {
    if ((this.#limits.get(name) ?? limit) !== limit) {
      this.#knownUsages.set(name, {
        own: 0,
        total: ASSUMED_UTILIZATION * limit,
      });
    }
    this.#limits.set(name, limit);
  }

  /** Smooths the usage; keeps it as last known while control is silent. */
  #updateKnownUsages(usages: readonly WorkspaceUsage[]): void {
    if (this.#utilizations === undefined || this.#isControlSilent) {
      return;
    }
    const ownByName = new Map(usages.map(({ name, letIn }) => [name, letIn]));
    for (const [name, limit] of this.#limits) {
      const total = (this.#utilizations.get(name) ?? ASSUMED_UTILIZATION) *
        limit;
      const latest = { own: ownByName.get(name) ?? 0, total };
      const known = updateKnownUsage(
        this.#knownUsages.get(name),
        latest,
        this.#reports,
      );
      this.#knownUsages.set(name, known);
      if (known.own < MIN_KNOWN_USAGE && latest.own === 0) {
        this.#knownUsages.delete(name);
        this.#limits.delete(name);
      }
    }
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
