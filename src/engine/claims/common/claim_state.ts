/** State and effects of the claims that one node makes. */
import type {
  ClaimMessage,
  ClaimPhase,
  HolderRequest,
} from "./claim_messages.ts";
import { CLAIM_REQUEST_PREFIX, HOLDER_TIMEOUT_MS } from "./claim_messages.ts";
import type {
  Claim,
  ClaimRecord,
  HolderSet,
  RequestKey,
  RunOutcome,
  StoredAnswer,
} from "./claim_types.ts";

/** One holder's vote. */
export type Vote =
  | { readonly type: "Granted" }
  | { readonly type: "Held"; readonly record: ClaimRecord }
  | { readonly type: "Refused"; readonly reason: "epoch" | "full" | "lost" };

/** The claim of one attempt until it is settled. */
export interface Coordination {
  readonly claim: Claim;
  readonly key: string;
  /** The holders that vote on the claim; they never change during voting. */
  readonly set: HolderSet;
  readonly phase: "voting" | "checking" | "waiting" | "running" | "recording";
  readonly round: number;
  /** By node id. */
  readonly votes: ReadonlyMap<string, Vote>;
  /** Progress of the competing attempts, by attempt id. */
  readonly checks: ReadonlyMap<string, ClaimPhase>;
  /** Whether the current voting round is the last one. */
  readonly isLastRound: boolean;
  readonly recording: Recording | undefined;
}

/** The recording of an outcome at the holders. */
export interface Recording {
  readonly outcome: RunOutcome;
  /** Node ids of the holders that acknowledged the outcome. */
  readonly acknowledgedBy: ReadonlySet<string>;
  /** Node ids of the holders whose requests got any reply, or none in time. */
  readonly repliedBy: ReadonlySet<string>;
  /** Whether the answer has been relayed to the caller. */
  readonly isAnswerRelayed: boolean;
  /** Number of times that the outcome was sent, at most `MAX_SENDS`. */
  readonly sendCount: number;
}

/** The claims that a node makes. */
export interface ClaimState {
  /** By attempt id. */
  readonly coordinations: ReadonlyMap<string, Coordination>;
  /** Attempts that never ran and never will, oldest first. */
  readonly withdrawn: ReadonlySet<string>;
}

/** Result of a claim that was not won. */
export type ClaimVerdict =
  | { readonly type: "Answered"; readonly answer: StoredAnswer }
  /** The request has run, but its answer was too large to store. */
  | { readonly type: "AnswerNotKept" }
  /** The key is in use by a request with another fingerprint. */
  | { readonly type: "OtherRequest" }
  | { readonly type: "StillRunning" }
  | { readonly type: "OutcomeUnknown" }
  /** No majority was reachable, or holders had no free capacity. */
  | { readonly type: "Undecided"; readonly reason: "epoch" | "full" | "lost" };

/** Effects of the claims that a node makes. */
export type ClaimEffect =
  | HolderRequest
  | { readonly type: "RunClaimed"; readonly attemptId: string }
  | {
    readonly type: "SettleClaim";
    readonly attemptId: string;
    readonly verdict: ClaimVerdict;
  }
  /**
   * The answer may be relayed: a majority of holders acknowledged the outcome, or
   * all requests to holders have ended.
   */
  | { readonly type: "RelayClaimed"; readonly attemptId: string }
  | {
    readonly type: "StartClaimTimer";
    readonly attemptId: string;
    readonly delayMs: number;
  };

/** Inputs of a new claim. */
export interface ClaimRequest {
  readonly attemptId: string;
  readonly request: RequestKey;
  readonly set: HolderSet;
  /** `host:port` of the node's own ingress. */
  readonly ingress: string;
}

export const INITIAL_CLAIM_STATE: ClaimState = {
  coordinations: new Map(),
  withdrawn: new Set(),
};

const MAX_WITHDRAWN = 1_024;

/** Records that an attempt never ran; evicts the oldest over the limit. */
export function recordWithdrawn(
  withdrawn: ReadonlySet<string>,
  attemptId: string,
): ReadonlySet<string> {
  const next = new Set(withdrawn).add(attemptId);
  for (const oldest of next) {
    if (next.size <= MAX_WITHDRAWN) {
      break;
    }
    next.delete(oldest);
  }
  return next;
}

/** Creates a request to a holder; `path` identifies the reply. */
export function createHolderRequest(
  path: string,
  address: string,
  message: ClaimMessage,
): HolderRequest {
  return {
    type: "AskPeer",
    requestId: `${CLAIM_REQUEST_PREFIX}${path}`,
    address,
    message,
    timeoutMs: HOLDER_TIMEOUT_MS,
    isFresh: false,
  };
}
