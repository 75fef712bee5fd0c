/** Messages between nodes beside the calls: msgpack over HTTP, one answer each. */

import type {
  ClaimMessage,
  ClaimReply,
} from "../../claims/common/claim_messages.ts";
import type {
  QuarantineMessage,
  QuarantineReply,
} from "../../quarantine/common/quarantine_messages.ts";

/** What one node asks another. */
export type PeerMessage =
  | ClaimMessage
  | QuarantineMessage
  /** What became of attempts? One that was never seen can't run later. */
  | {
    readonly type: "FenceAttempts";
    /** Of the node that the attempts were sent to. */
    readonly incarnation: number;
    readonly attempts: readonly AttemptStatusQuery[];
  };

/** An attempt that its receiver is asked about. */
export interface AttemptStatusQuery {
  readonly attemptId: string;
  /** Time since the attempt was sent, in milliseconds. */
  readonly ageMs: number;
}

/** The answer. */
export type PeerReply =
  | ClaimReply
  | QuarantineReply
  /** What was found of each attempt, in the order of the question. */
  | {
    readonly type: "AttemptsFound";
    readonly found: readonly AttemptStatusReply[];
  };

/** What a receiver knows of an attempt. */
export type AttemptStatusReply =
  /** The attempt did not run here, and will be refused from now on. */
  | { readonly type: "AttemptFenced" }
  /** This process can't tell: it started later, or has forgotten. */
  | { readonly type: "AttemptForgotten" }
  /** The attempt is, or was, here. */
  | { readonly type: "AttemptKnown"; readonly phase: AttemptPhase };

/** How far a known attempt is. */
export type AttemptPhase =
  | "queued"
  | "running"
  | "relaying"
  /** The answer is relayed, but whoever asked doesn't take more of it. */
  | "blocked"
  | "ended";

const MESSAGE_TYPES: Readonly<Record<PeerMessage["type"], true>> = {
  FenceAttempts: true,
  ClaimKey: true,
  ReleaseClaim: true,
  RecordOutcome: true,
  CheckClaim: true,
  SealEpoch: true,
  TellSuspects: true,
  RequestRun: true,
  EndRun: true,
  TellVerdicts: true,
  CheckSuspects: true,
};

/** Whether a message is of a type that this version knows. */
export function isKnownMessage(message: { readonly type: string }): boolean {
  return Object.hasOwn(MESSAGE_TYPES, message.type);
}

/** Path of these messages on the ingress listener. */
export const PEER_PATH = "/.basilpin/peer";
