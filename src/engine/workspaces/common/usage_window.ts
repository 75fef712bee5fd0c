/** Counts the requests of each workspace at one entry node. */
import { RAPID_SPAN_MS, RECENT_SPAN_MS } from "./quota_shares.ts";
import type { WorkspaceUsage } from "./quota_shares.ts";

/** Requests within one interval; see `WorkspaceUsage` for the fields. */
interface Bucket {
  asked: number;
  passed: number;
  letIn: number;
}

/** Requests admitted in the ticks of a window. */
interface AdmittedTicks {
  readonly ticks: number[];
  sum: number;
}

/**
 * Interval at which the window advances and is reported; length of a bucket.
 */
export const USAGE_INTERVAL_MS = 500;
/**
 * Interval at which an entry checks whether the requests of a workspace grew;
 * length of a tick.
 */
export const PROMPT_INTERVAL_MS = 100;
const TICKS_PER_BUCKET = USAGE_INTERVAL_MS / PROMPT_INTERVAL_MS;
const RAPID_TICKS = RAPID_SPAN_MS / PROMPT_INTERVAL_MS;
const RECENT_BUCKETS = RECENT_SPAN_MS / USAGE_INTERVAL_MS;
/** A single bucket is too small a sample to be scaled up. */
const MIN_ELAPSED_BUCKETS = 2;

/** A sliding window of requests for each workspace that had any within it. */
export class UsageWindow {
  readonly #windowBuckets: number;
  readonly #windowTicks: number;
  /** By workspace, the current bucket first; up to two windows. */
  readonly #bucketsByWorkspace = new Map<string, Bucket[]>();
  /**
   * Number of buckets since the start. Until it covers `RECENT_SPAN_MS`, the
   * recent demand is scaled up.
   */
  #elapsedBuckets = 1;
  /**
   * Requests received in each of the last ticks, by workspace, the current tick
   * first.
   */
  readonly #ticksByWorkspace = new Map<string, number[]>();
  /** Admitted requests by tick, the current one first, and their sum. */
  readonly #admittedByWorkspace = new Map<string, AdmittedTicks>();
  #hasTicked = false;
  #ticksInBucket = 0;

  constructor(windowMs: number) {
    this.#windowBuckets = Math.ceil(windowMs / USAGE_INTERVAL_MS);
    this.#windowTicks = Math.ceil(windowMs / PROMPT_INTERVAL_MS);
  }

  /** Records a request, and whether it was admitted. */
  record(workspace: string, isAdmitted: boolean): void {
    const bucket = this.#getCurrentBucket(workspace);
    bucket.asked += 1;
    bucket.passed += isAdmitted ? 1 : 0;
    bucket.letIn += isAdmitted ? 1 : 0;
    this.#addAdmitted(workspace, isAdmitted ? 1 : 0);
    const ticks = this.#ticksByWorkspace.get(workspace) ?? [0];
    ticks[0]! += 1;
    this.#ticksByWorkspace.set(workspace, ticks);
  }

  /** Records that an admitted request was not run by any backend server. */
  recordNotRun(workspace: string): void {
    const bucket = this.#getCurrentBucket(workspace);
    bucket.letIn -= 1;
    this.#addAdmitted(workspace, -1);
  }

  /**
   * Returns the requests admitted within the window, without those that were
   * not run. It is exact to a tick: by buckets, requests that came together
   * would count as gone up to 500 ms early.
   */
  countAdmitted(workspace: string): number {
    return this.#admittedByWorkspace.get(workspace)?.sum ?? 0;
  }

  /**
   * Returns the requests received within the window, and those of the current
   * bucket.
   */
  countAsked(
    workspace: string,
  ): { readonly window: number; readonly current: number } {
    const buckets = this.#bucketsByWorkspace.get(workspace) ?? [];
    return {
      window: countAsked(buckets.slice(0, this.#windowBuckets)),
      current: buckets[0]?.asked ?? 0,
    };
  }

  /** Lists the workspaces with requests in the last completed tick. */
  listActive(): readonly string[] {
    return [...this.#ticksByWorkspace].flatMap(([name, ticks]) =>
      (ticks[1] ?? 0) > 0 ? [name] : []
    );
  }

  /** Returns the requests received in the last completed tick. */
  countLastTick(workspace: string): number {
    return this.#ticksByWorkspace.get(workspace)?.[1] ?? 0;
  }

  /**
   * Lists the usage within the window, by workspace, at the end of a bucket or
   * of a tick; of a jump only `hasGrown`.
   */
  list(
    endOf: "Bucket" | "Tick" = "Bucket",
    hasGrown: (workspace: string) => boolean = () => false,
  ): readonly WorkspaceUsage[] {
    const bucketRatio = endOf === "Bucket" ? 1 : this.#bucketRatio;
    const elapsed = Math.max(MIN_ELAPSED_BUCKETS, this.#elapsedBuckets);
    const recentScale = RECENT_BUCKETS / Math.min(elapsed, RECENT_BUCKETS);
    return [...this.#bucketsByWorkspace].map(([name, buckets]) => ({
      name,
      asked: Math.max(
        countAsked(buckets.slice(0, this.#windowBuckets)),
        countAsked(buckets) / 2,
      ),
      askedLately: countAsked(buckets.slice(0, RECENT_BUCKETS)) * recentScale,
      passed: buckets.slice(0, this.#windowBuckets)
        .reduce((sum, { passed }) => sum + passed, 0),
      letIn: this.#countLetIn(buckets, bucketRatio),
      ...this.#countLeaving(buckets, bucketRatio),
      ...(hasGrown(name) ? { askedNow: this.#countNow(name) } : {}),
    }));
  }

  /** Advances by `PROMPT_INTERVAL_MS`. */
  tick(): void {
    this.#hasTicked = true;
    this.#ticksInBucket += 1;
    this.#advanceAdmitted();
    for (const [name, ticks] of this.#ticksByWorkspace) {
      ticks.unshift(0);
      ticks.length = Math.min(ticks.length, RAPID_TICKS + 1);
      if (ticks.every((count) => count === 0)) {
        this.#ticksByWorkspace.delete(name);
      }
    }
  }

  /** Advances by `USAGE_INTERVAL_MS`; removes workspaces without requests. */
  advance(): void {
    this.#elapsedBuckets += 1;
    this.#ticksInBucket = 0;
    for (const [name, buckets] of this.#bucketsByWorkspace) {
      buckets.unshift({ asked: 0, passed: 0, letIn: 0 });
      buckets.length = Math.min(buckets.length, 2 * this.#windowBuckets);
      if (buckets.every(({ asked, letIn }) => asked === 0 && letIn === 0)) {
        this.#bucketsByWorkspace.delete(name);
      }
    }
  }

  #addAdmitted(workspace: string, count: number): void {
    const admitted = this.#admittedByWorkspace.get(workspace) ??
      { ticks: [0], sum: 0 };
    admitted.ticks[0]! += count;
    admitted.sum += count;
    this.#admittedByWorkspace.set(workspace, admitted);
  }

  #advanceAdmitted(): void {
    for (const [name, admitted] of this.#admittedByWorkspace) {
      admitted.ticks.unshift(0);
      // The oldest tick is only partly within the window, and counts whole.
      if (admitted.ticks.length > this.#windowTicks + 1) {
        admitted.sum -= admitted.ticks.pop()!;
      }
      if (
        admitted.sum === 0 && admitted.ticks.every((count) => count === 0)
      ) {
        this.#admittedByWorkspace.delete(name);
      }
    }
  }

  /** Elapsed part of the current bucket, 0 to 1. */
  get #bucketRatio(): number {
    return Math.min(1, this.#ticksInBucket / TICKS_PER_BUCKET);
  }

  /** Requests received within the last `RAPID_SPAN_MS` of whole ticks. */
  #countNow(name: string): number {
    return (this.#ticksByWorkspace.get(name) ?? [])
      .slice(1, RAPID_TICKS + 1)
      .reduce((sum, count) => sum + count, 0);
  }

  /**
   * Counts the admitted requests of the oldest second. Returns nothing before
   * the first tick, as where nothing is reported promptly.
   */
  #countLeaving(
    buckets: readonly Bucket[],
    bucketRatio: number,
  ): Pick<WorkspaceUsage, "leavingSoon"> {
    if (!this.#hasTicked) {
      return {};
    }
    const last = this.#windowBuckets;
    const leavingSoon = (buckets[last]?.letIn ?? 0) * (1 - bucketRatio) +
      (buckets[last - 1]?.letIn ?? 0) +
      (buckets[last - 2]?.letIn ?? 0) * bucketRatio;
    return { leavingSoon: Math.max(0, leavingSoon) };
  }

  /**
   * Counts the admitted requests of the window; the oldest bucket counts for
   * its part within the window.
   */
  #countLetIn(buckets: readonly Bucket[], bucketRatio: number): number {
    const whole = buckets.slice(0, this.#windowBuckets)
      .reduce((sum, { letIn }) => sum + letIn, 0);
    const oldest = buckets[this.#windowBuckets]?.letIn ?? 0;
    return Math.max(0, whole + oldest * (1 - bucketRatio));
  }

  #getCurrentBucket(workspace: string): Bucket {
    const buckets = this.#bucketsByWorkspace.get(workspace) ??
      [{ asked: 0, passed: 0, letIn: 0 }];
    this.#bucketsByWorkspace.set(workspace, buckets);
    return buckets[0]!;
  }
}

function countAsked(buckets: readonly Bucket[]): number {
  return buckets.reduce((sum, { asked }) => sum + asked, 0);
}
