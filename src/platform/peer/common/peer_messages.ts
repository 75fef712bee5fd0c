/** Messages between nodes beside the calls: msgpack over HTTP, one answer each. */

/** What one node asks another. */
export type PeerMessage =
  /** What became of an attempt? One that was never seen can't run later. */
  {
    readonly type: "FenceAttempt";
    readonly attemptId: string;
    /** Of the node that the attempt was sent to. */
    readonly incarnation: number;
    /** Time since the attempt was sent, in milliseconds. */
    readonly ageMs: number;
  };

/** The answer. */
export type PeerReply =
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

/** Path of these messages on the ingress listener. */
export const PEER_PATH = "/.basilpin/peer";
