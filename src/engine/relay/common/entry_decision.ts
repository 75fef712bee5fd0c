/** What the entry node does next with a call that failed at one node. */
import type { FailureKind } from "../../mesh/common/frames.ts";

/** What is known of the call. */
export interface FailedAttempt {
  readonly kind: FailureKind;
  readonly isIdempotent: boolean;
  /** Backend servers that the call was handed to. */
  readonly handoverCount: number;
  /** Whether one of these may have begun to run it. */
  readonly mayHaveRun: boolean;
  readonly maxAttempts: number;
  /** Nodes that refused it before their backend server saw it. */
  readonly rerouteCount: number;
  readonly timeLeftMs: number;
  /** Whether the retry budget allows one more arrival. */
  readonly canRetry: boolean;
  readonly hasOtherMember: boolean;
}

/** The next step of a call. */
export type NextStep =
  /** Try another node; `isBudgeted` where it counts against the budget. */
  | { readonly type: "TryElsewhere"; readonly isBudgeted: boolean }
  /** It ran nowhere and never will: the caller may come back. */
  | { readonly type: "Refuse" }
  /** What became of it isn't known. */
  | { readonly type: "FailUnknown" }
  | { readonly type: "FailExpired" };

/** Nodes that are tried after refusals: each costs a round trip of the mesh. */
const MAX_REROUTES = 2;
/** With less time left no other node is tried, in milliseconds. */
const MIN_TIME_LEFT_MS = 20;

/** Decides what becomes of a call after an attempt that failed. */
export function decideNextStep(attempt: FailedAttempt): NextStep {
  const { kind, timeLeftMs, hasOtherMember } = attempt;
  const canMove = hasOtherMember && timeLeftMs >= MIN_TIME_LEFT_MS;
  switch (kind) {
    case "expired":
      return { type: "FailExpired" };
    case "refused":
      return canMove && attempt.rerouteCount < MAX_REROUTES
        ? { type: "TryElsewhere", isBudgeted: false }
        : decideRefusal(attempt);
    case "rejected":
      return canMove && canSendAgain(attempt)
        ? { type: "TryElsewhere", isBudgeted: true }
        : decideRefusal(attempt);
    case "unknown":
      return canMove && attempt.isIdempotent && canSendAgain(attempt)
        ? { type: "TryElsewhere", isBudgeted: true }
        : { type: "FailUnknown" };
  }
}

/**
 * A refusal says that the call ran nowhere: an earlier attempt may have. A
 * backend server that rejected it did not run it.
 */
function decideRefusal(attempt: FailedAttempt): NextStep {
  return attempt.mayHaveRun ? { type: "FailUnknown" } : { type: "Refuse" };
}

function canSendAgain(attempt: FailedAttempt): boolean {
  return attempt.canRetry && attempt.handoverCount < attempt.maxAttempts;
}
