/** Why attempts at a call failed. */
import type { FailureKind } from "../../mesh/common/frames.ts";
import type { RetryCause } from "./entry_types.ts";

/** Why an attempt failed. */
export interface AttemptFailure {
  readonly kind: FailureKind;
  /** Counted and logged if the call is retried. */
  readonly cause: RetryCause;
  /** For logs. */
  readonly reason: string;
}

/** The link of an attempt has been silent for `CALL_STALL_LIMIT_MS`. */
export const STALLED_FAILURE: AttemptFailure = {
  kind: "unknown",
  cause: "stalled",
  reason: "stalled",
};

/** The answer has no room in memory beside others that arrive in parts. */
export const NO_ROOM_FAILURE: AttemptFailure = {
  kind: "unknown",
  cause: "answer_lost",
  reason: "no room for the answer",
};

/** The retry cause for each kind of failure that a node reports. */
export const RETRY_CAUSES: Readonly<Record<FailureKind, RetryCause>> = {
  refused: "refused",
  rejected: "rejected",
  unknown: "answer_lost",
  expired: "answer_lost",
};
