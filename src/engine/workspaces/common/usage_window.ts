/** Counts the requests of each workspace at one entry node. */
import { RECENT_SPAN_MS } from "./quota_shares.ts";
import type { WorkspaceUsage } from "./quota_shares.ts";

/** Requests within one interval; see `WorkspaceUsage` for the fields. */
interface Bucket {
  asked: number;
  passed: number;
  letIn: number;
}

/**
 * Interval at which the window advances and is reported; length of a bucket.
 */
export const USAGE_INTERVAL_MS = 500;
const RECENT_BUCKETS = RECENT_SPAN_MS / USAGE_INTERVAL_MS;
/** A single bucket is too small a sample to be scaled up. */
const MIN_ELAPSED_BUCKETS = 2;

/** A sliding window of requests for each workspace that had any within it. */
export class UsageWindow {
  readonly #windowBuckets: number;
  /** By workspace, the current bucket first; up to two windows. */
  readonly #bucketsByWorkspace = new Map<string, Bucket[]>();
  /**
   * Number of buckets since the start. Until it covers `RECENT_SPAN_MS`, the
   * recent demand is scaled up.
   */
  #elapsedBuckets = 1;

  constructor(windowMs: number) {
    this.#windowBuckets = Math.ceil(windowMs / USAGE_INTERVAL_MS);
  }

  /** Records a request, and whether it was admitted. */
  record(workspace: string, isAdmitted: boolean): void {
    const bucket = this.#getCurrentBucket(workspace);
    bucket.asked += 1;
    bucket.passed += isAdmitted ? 1 : 0;
    bucket.letIn += isAdmitted ? 1 : 0;
  }

  /** Records that an admitted request was not run by any backend server. */
  recordNotRun(workspace: string): void {
    const bucket = this.#getCurrentBucket(workspace);
    bucket.letIn -= 1;
  }

  /** Lists the usage within the window, by workspace. */
  list(): readonly WorkspaceUsage[] {
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
      letIn: Math.max(
        0,
        buckets.slice(0, this.#windowBuckets)
          .reduce((sum, { letIn }) => sum + letIn, 0),
      ),
    }));
  }

  /** Advances by `USAGE_INTERVAL_MS`; removes workspaces without requests. */
  advance(): void {
    this.#elapsedBuckets += 1;
    for (const [name, buckets] of this.#bucketsByWorkspace) {
      buckets.unshift({ asked: 0, passed: 0, letIn: 0 });
      buckets.length = Math.min(buckets.length, 2 * this.#windowBuckets);
      if (buckets.every(({ asked, letIn }) => asked === 0 && letIn === 0)) {
        this.#bucketsByWorkspace.delete(name);
      }
    }
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
