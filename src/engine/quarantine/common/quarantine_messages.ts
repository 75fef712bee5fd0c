/** Messages about suspects between the nodes of one service. */
import type { Fingerprint } from "./quarantine_reducer.ts";

/** A notification or query about suspects. */
export type QuarantineMessage =
  /** Reports the crash of a backend server to all nodes of its service. */
  | {
    readonly type: "TellSuspects";
    /** Id of the node beside the backend server. */
    readonly nodeId: string;
    /** Requests that ran at the time of the crash. */
    readonly fingerprints: readonly Fingerprint[];
    /** The known suspect among them, if there is exactly one; else empty. */
    readonly guilty: readonly Fingerprint[];
  }
  /** Requests a lease for a run of a suspect from its owner. */
  | {
    readonly type: "RequestRun";
    readonly nodeId: string;
    readonly fingerprint: Fingerprint;
    /** Maximum duration of the run, in milliseconds. */
    readonly timeoutMs: number;
  }
  /** Reports the end of a leased run that did not crash the backend server. */
  | {
    readonly type: "EndRun";
    readonly nodeId: string;
    readonly fingerprint: Fingerprint;
    /** Undefined if the reply that granted the lease was lost. */
    readonly leaseId: number | undefined;
    /** Whether the answer was complete; otherwise the run proves nothing. */
    readonly isWhole: boolean;
  }
  /** Asks the owner which suspects it has cleared, as verdicts may be lost. */
  | {
    readonly type: "CheckSuspects";
    readonly fingerprints: readonly Fingerprint[];
  }
  /** Sends verdicts of the owner to all nodes, or to a node that joins. */
  | { readonly type: "TellVerdicts"; readonly verdicts: readonly Verdict[] };

/** Decision of the owner on a suspect. */
export interface Verdict {
  readonly fingerprint: Fingerprint;
  readonly isCleared: boolean;
  /** Remaining quarantine in milliseconds; 0 if it is not in quarantine. */
  readonly quarantineMs: number;
}

/** A reply to a `QuarantineMessage`. */
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

/** Timeout of another node's reply, in milliseconds. */
export const QUARANTINE_TIMEOUT_MS = 1_000;

/** Prefix of the request ids of these messages. */
export const QUARANTINE_PREFIX = "quarantine/";
