/** The state of the claims that one node makes, and what comes of them. */
import type { AskHolder, ClaimMessage, ClaimPhase } from "./claim_messages.ts";
import { CLAIM_PREFIX, HOLDER_TIMEOUT_MS } from "./claim_messages.ts";
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

/** One attempt's claim on its way. */
export interface Coordination {
  readonly claim: Claim;
  readonly key: string;
  /** The set in which it is made; it never changes during the claim. */
  readonly set: HolderSet;
  readonly phase: "voting" | "checking" | "waiting" | "running" | "recording";
  readonly round: number;
  /** By node id. */
  readonly votes: ReadonlyMap<string, Vote>;
  /** What became of the other claimants, by attempt id. */
  readonly checks: ReadonlyMap<string, ClaimPhase>;
  /** Whether the next vote is the last one. */
  readonly isLastRound: boolean;
  readonly recording: Recording | undefined;
}

/** An outcome on its way to the holders. */
export interface Recording {
  readonly outcome: RunOutcome;
  /** Holders that counted it, by node id. */
  readonly kept: ReadonlySet<string>;
  /** Holders that replied at all, by node id. */
  readonly replied: ReadonlySet<string>;
  /** Whether the answer has been passed on. */
  readonly isRelayed: boolean;
  readonly tries: number;
}

/** The claims that a node makes. */
export interface ClaimState {
  /** By attempt id. */
  readonly coordinations: ReadonlyMap<string, Coordination>;
  /** Attempts that never ran and never will, oldest first. */
  readonly withdrawn: ReadonlySet<string>;
}

/** Why a claim was not won. */
export type Verdict =
  | { readonly type: "Answered"; readonly answer: StoredAnswer }
  /** It ran, but its answer was too large to keep. */
  | { readonly type: "AnswerNotKept" }
  /** The key belongs to another request. */
  | { readonly type: "OtherRequest" }
  | { readonly type: "StillRunning" }
  | { readonly type: "OutcomeUnknown" }
  /** No majority could be reached, or none had room. */
  | { readonly type: "Undecided"; readonly reason: "epoch" | "full" | "lost" };

/** What the node does about its claims. */
export type ClaimEffect =
  | AskHolder
  | { readonly type: "RunClaimed"; readonly attemptId: string }
  | {
    readonly type: "SettleClaim";
    readonly attemptId: string;
    readonly verdict: Verdict;
  }
  /** The outcome is kept as well as it can be: the answer may go out. */
  | { readonly type: "RelayClaimed"; readonly attemptId: string }
  | {
    readonly type: "StartClaimTimer";
    readonly attemptId: string;
    readonly delayMs: number;
  };

/** What a claim is started from. */
export interface ClaimRequest {
  readonly attemptId: string;
  readonly request: RequestKey;
  readonly set: HolderSet;
  /** `host:port` of the node's own ingress. */
  readonly ingress: string;
}

/** No claims. */
export const INITIAL_CLAIMS: ClaimState = {
  coordinations: new Map(),
  withdrawn: new Set(),
};

const MAX_WITHDRAWN = 1_024;

/** Remembers that an attempt never ran; the oldest one is forgotten first. */
export function rememberWithdrawn(
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

/** Creates a question; `path` tells the reply apart. */
export function createAsk(
  path: string,
  address: string,
  message: ClaimMessage,
): AskHolder {
  return {
    type: "AskPeer",
    requestId: `${CLAIM_PREFIX}${path}`,
    address,
    message,
    timeoutMs: HOLDER_TIMEOUT_MS,
    isFresh: false,
  };
}
