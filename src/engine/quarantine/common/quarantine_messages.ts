/** Messages between the nodes of one service about suspects. */
import type { Fingerprint } from "./quarantine_reducer.ts";

/** What is told or asked. */
export type QuarantineMessage =
  /** A backend server died; told to all nodes of its service. */
  | {
    readonly type: "TellSuspects";
    /** Of the node beside the backend server. */
    readonly nodeId: string;
    /** What ran at the time. */
    readonly fingerprints: readonly Fingerprint[];
    /** The sole known suspect among them, if there was exactly one. */
    readonly guilty: readonly Fingerprint[];
  }
  /** Asks the owner of a suspect whether it may run. */
  | {
    readonly type: "RequestRun";
    readonly nodeId: string;
    readonly fingerprint: Fingerprint;
    /** Longest time of the run, in milliseconds. */
    readonly timeoutMs: number;
  }
  /** A leased run is over, and the backend server lives. */
  | {
    readonly type: "EndRun";
    readonly nodeId: string;
    readonly fingerprint: Fingerprint;
    /** Undefined where the answer with the lease was lost. */
    readonly leaseId: number | undefined;
    /** Whether it came to a whole answer; else it proves nothing. */
    readonly isWhole: boolean;
  }
  /** Asks the owner which of these it has cleared: its word may be lost. */
  | {
    readonly type: "CheckSuspects";
    readonly fingerprints: readonly Fingerprint[];
  }
  /** What the owner decided; told to all nodes, and to one that joins. */
  | { readonly type: "TellVerdicts"; readonly verdicts: readonly Verdict[] };

/** How a suspect stands. */
export interface Verdict {
  readonly fingerprint: Fingerprint;
  readonly isCleared: boolean;
  /** Rest of the quarantine, in milliseconds; 0 for a mere suspect. */
  readonly quarantineMs: number;
}

/** The answers. */
export type QuarantineReply =
  | { readonly type: "SuspectsNoted" }
  | {
    readonly type: "SuspectsChecked";
    readonly cleared: readonly Fingerprint[];
  }
  | { readonly type: "RunGranted"; readonly leaseId: number }
  | {
    readonly type: "RunRefused";
    readonly reason: "suspect_runs" | "quarantined";
    readonly retryAfterMs: number;
  };

/** Longest wait for another node's reply, in milliseconds. */
export const QUARANTINE_TIMEOUT_MS = 1_000;

/** Request ids of this area begin with this. */
export const QUARANTINE_PREFIX = "quarantine/";
