/** Messages between the node that claims a key and the key's holders. */
import type { Claim, ClaimRecord, RunOutcome } from "./claim_types.ts";

/** Progress of an attempt, as reported by the node that made its claim. */
export type ClaimPhase = "claiming" | "running" | "withdrawn" | "unknown";

/** Requests to a holder, or to the node that made a claim. */
export type ClaimMessage =
  | {
    readonly type: "ClaimKey";
    readonly epoch: number;
    readonly incarnation: number;
    readonly key: string;
    readonly claim: Claim;
  }
  /** Releases the claim of an attempt that never ran and never will. */
  | {
    readonly type: "ReleaseClaim";
    readonly key: string;
    readonly attemptId: string;
  }
  | {
    readonly type: "RecordOutcome";
    readonly epoch: number;
    readonly incarnation: number;
    readonly key: string;
    readonly outcome: RunOutcome;
  }
  /** Asks the node that made a claim for the progress of the attempt. */
  | { readonly type: "CheckClaim"; readonly attemptId: string }
  /** Makes a holder stop voting in an epoch, and reads a page of its records. */
  | {
    readonly type: "SealEpoch";
    readonly epoch: number;
    readonly incarnation: number;
    /** First bucket of the page; 0 for the first page. */
    readonly cursor: number;
  };

/** Replies to `ClaimMessage`. */
export type ClaimReply =
  | { readonly type: "ClaimGranted" }
  | { readonly type: "ClaimHeld"; readonly record: ClaimRecord }
  /** The holder may not vote in that epoch, or has no free capacity. */
  | {
    readonly type: "ClaimRefused";
    readonly reason: "epoch" | "full";
  }
  | { readonly type: "ClaimReleased" }
  | { readonly type: "OutcomeRecorded" }
  | { readonly type: "ClaimChecked"; readonly phase: ClaimPhase }
  | {
    readonly type: "EpochSealed";
    readonly records: readonly ClaimRecord[];
    /** First bucket of the next page; undefined after the last one. */
    readonly cursor: number | undefined;
  };

/** Effect: send a request to another node. It has the fields of `AskPeer`. */
export interface HolderRequest {
  readonly type: "AskPeer";
  readonly requestId: string;
  readonly address: string;
  readonly message: ClaimMessage;
  readonly timeoutMs: number;
  readonly isFresh: boolean;
}

/** Timeout for a holder's reply. */
export const HOLDER_TIMEOUT_MS = 1_000;

/** Prefix of the request ids of all claim messages. */
export const CLAIM_REQUEST_PREFIX = "claim/";
