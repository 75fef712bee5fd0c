/** Messages between the node that claims a key and the key's holders. */
import type { Claim, ClaimRecord, RunOutcome } from "./claim_types.ts";

/** How far an attempt is at the node that made its claim. */
export type ClaimPhase = "claiming" | "running" | "withdrawn" | "unknown";

/** What is asked. */
export type ClaimMessage =
  | {
    readonly type: "ClaimKey";
    readonly epoch: number;
    readonly incarnation: number;
    readonly key: string;
    readonly claim: Claim;
  }
  /** The attempt never ran and never will. */
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
  /** Asks the node that made a claim what became of the attempt. */
  | { readonly type: "CheckClaim"; readonly attemptId: string }
  /** Ends an epoch at one holder and reads a page of its records. */
  | {
    readonly type: "SealEpoch";
    readonly epoch: number;
    readonly incarnation: number;
    /** Where the page begins; 0 at first. */
    readonly cursor: number;
  };

/** The answers. */
export type ClaimReply =
  | { readonly type: "ClaimGranted" }
  | { readonly type: "ClaimHeld"; readonly record: ClaimRecord }
  /** The holder has no voice in that epoch, or no room. */
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
    /** Where the next page begins; undefined after the last one. */
    readonly cursor: number | undefined;
  };

/** Asks another node; the shape of the node's own effect. */
export interface AskHolder {
  readonly type: "AskPeer";
  readonly requestId: string;
  readonly address: string;
  readonly message: ClaimMessage;
  readonly timeoutMs: number;
  readonly isFresh: boolean;
}

/** Longest wait for a holder's reply, in milliseconds. */
export const HOLDER_TIMEOUT_MS = 1_000;

/** Request ids of this area begin with this. */
export const CLAIM_PREFIX = "claim/";
