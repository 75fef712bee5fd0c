/** Why a gate refuses a request that is suspected of ending backend servers. */

const REASONS = ["quarantined", "suspects_waiting"] as const;

/** Reason of a refusal, as in the frame of a failed call. */
export type SuspectRefusal = (typeof REASONS)[number];

/** What became of a call of a suspect at its gate. */
export type SuspectOutcome = SuspectRefusal | "run" | "waited";

/** Whether a call was refused as a suspect. */
export function isSuspectRefusal(reason: string): reason is SuspectRefusal {
  return REASONS.some((other) => other === reason);
}
