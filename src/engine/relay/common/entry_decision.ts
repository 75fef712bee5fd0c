/** Decides at the entry node how a call continues after a failed attempt. */
import type { FailureKind } from "../../mesh/common/frames.ts";

/** A failed attempt, and the state of its call. */
export interface FailedAttempt {
  readonly kind: FailureKind;
  readonly isIdempotent: boolean;
  /** Failed attempts that a backend server has, or may have, received. */
  readonly handoverCount: number;
  /** Whether one of these backend servers may have begun to run it. */
  readonly mayHaveRun: boolean;
  /** Limit on `handoverCount`. */
  readonly maxAttempts: number;
  /** How many nodes refused it before their backend server received it. */
  readonly rerouteCount: number;
  readonly timeLeftMs: number;
  /** Whether the retry budget allows one more run. */
  readonly canRetry: boolean;
  /** Whether the service has a member that was not tried. */
  readonly hasOtherMember: boolean;
  /** Whether a drain of this node leaves enough time for another attempt. */
  readonly canHandOver: boolean;
}

/** The next step of a call. */
export type NextStep =
  /** Try another node; `isBudgeted` if that uses the retry budget. */
  | { readonly type: "TryElsewhere"; readonly isBudgeted: boolean }
  /** The call ran nowhere and never will: the caller may repeat it. */
  | { readonly type: "Refuse" }
  /** Whether the call ran is not known. */
  | { readonly type: "FailUnknown" }
  /** The deadline has passed. */
  | { readonly type: "FailExpired" };

/** Nodes tried after refusals: each costs a round trip in the mesh. */
const MAX_REROUTES = 2;
/** With less time left no other node is tried. */
const MIN_TIME_LEFT_MS = 20;

/** Decides the next step of a call after a failed attempt. */
export function decideNextStep(attempt: FailedAttempt): NextStep {
  const { kind, timeLeftMs, hasOtherMember, canHandOver } = attempt;
  const canMove = hasOtherMember && canHandOver &&
    timeLeftMs >= MIN_TIME_LEFT_MS;
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
 * A refused caller may assume that its call ran nowhere. After a refused or
 * rejected attempt that holds unless an earlier attempt may have run.
 */
function decideRefusal(attempt: FailedAttempt): NextStep {
  return attempt.mayHaveRun ? { type: "FailUnknown" } : { type: "Refuse" };
}

function canSendAgain(attempt: FailedAttempt): boolean {
  return attempt.canRetry && attempt.handoverCount < attempt.maxAttempts;
}
