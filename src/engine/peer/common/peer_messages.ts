/** Requests between nodes other than calls: msgpack over HTTP. */

import type {
  ClaimMessage,
  ClaimReply,
} from "../../claims/common/claim_messages.ts";
import type {
  QuarantineMessage,
  QuarantineReply,
} from "../../quarantine/common/quarantine_messages.ts";

/** A request from one node to another. */
export type PeerMessage =
  | ClaimMessage
  | QuarantineMessage
  /**
   * Requests the status of attempts. An attempt that the addressed process has
   * never received is fenced: it is refused if it arrives later.
   */
  | {
    readonly type: "FenceAttempts";
    /** Incarnation of the node that the attempts were sent to. */
    readonly incarnation: number;
    readonly attempts: readonly AttemptStatusQuery[];
  };

/** An attempt whose status is requested from its receiver. */
export interface AttemptStatusQuery {
  readonly attemptId: string;
  /** Time since the attempt was sent, in milliseconds. */
  readonly ageMs: number;
}

/** The reply to a peer message. */
export type PeerReply =
  | ClaimReply
  | QuarantineReply
  /** Statuses of the attempts, in the order of the request. */
  | {
    readonly type: "AttemptsFound";
    readonly found: readonly AttemptStatusReply[];
  };

/** Status of an attempt at its receiver. */
export type AttemptStatusReply =
  /** The attempt did not run here, and is refused from now on. */
  | { readonly type: "AttemptFenced" }
  /**
   * Unknown: this process started after the attempt was sent, or has discarded
   * its record.
   */
  | { readonly type: "AttemptForgotten" }
  /** The attempt is being served, or has ended. */
  | { readonly type: "AttemptKnown"; readonly phase: AttemptPhase };

/** Progress of a known attempt. */
export type AttemptPhase =
  | "queued"
  | "running"
  | "relaying"
  /** The answer is being relayed, but its receiver reads no further data. */
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

/** Whether this version supports the type of a message. */
export function isKnownMessage(message: { readonly type: string }): boolean {
  return Object.hasOwn(MESSAGE_TYPES, message.type);
}

/** Path of peer messages on the ingress listener. */
export const PEER_PATH = "/.basilpin/peer";
