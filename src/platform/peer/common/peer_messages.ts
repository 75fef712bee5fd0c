/** Messages between nodes beside the calls: msgpack over HTTP, one answer each. */

import type {
  ClaimMessage,
  ClaimReply,
} from "../../claims/common/claim_messages.ts";

/** What one node asks another. */
export type PeerMessage =
  | ClaimMessage
  /** What became of an attempt? One that was never seen can't run later. */
  | { readonly type: "FenceAttempt"; readonly attemptId: string };

/** The answer. */
export type PeerReply =
  | ClaimReply
  /** The attempt was never seen here, and will be refused from now on. */
  | { readonly type: "AttemptFenced" }
  /** The attempt is, or was, here. */
  | { readonly type: "AttemptKnown"; readonly phase: AttemptPhase };

/** How far a known attempt is. */
export type AttemptPhase = "queued" | "running" | "relaying" | "ended";

const MESSAGE_TYPES: Readonly<Record<PeerMessage["type"], true>> = {
  FenceAttempt: true,
  ClaimKey: true,
  ReleaseClaim: true,
  RecordOutcome: true,
  CheckClaim: true,
  SealEpoch: true,
};

/** Whether a message is of a type that this version knows. */
export function isKnownMessage(message: { readonly type: string }): boolean {
  return Object.hasOwn(MESSAGE_TYPES, message.type);
}

/** Path of these messages on the ingress listener. */
export const PEER_PATH = "/.basilpin/peer";
