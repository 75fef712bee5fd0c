/** The claimant's part: obtains a majority of holders before a request runs. */
import { deleteEntry, setEntry } from "../../../base/common/maps.ts";
import {
  appendEffects,
  createReduction,
} from "../../../base/common/reduction.ts";
import type { Reduction } from "../../../base/common/reduction.ts";
import type { ClaimPhase, ClaimReply } from "./claim_messages.ts";
import { CLAIM_PREFIX } from "./claim_messages.ts";
import { createAsk, rememberWithdrawn } from "./claim_state.ts";
import type {
  ClaimEffect,
  ClaimRequest,
  ClaimState,
  Coordination,
  Verdict,
  Vote,
} from "./claim_state.ts";
import { countMajority } from "./claim_types.ts";
import type { Claim } from "./claim_types.ts";
import { takeRecordReply } from "./outcome_steps.ts";

/** A step of the claims. */
export type ClaimStep = Reduction<ClaimState, ClaimEffect>;

const MAX_ROUNDS = 5;
const BACKOFF_MS = 10;

/** Asks the holders for the key of an attempt. */
export function startClaim(
  state: ClaimState,
  request: ClaimRequest,
): ClaimStep {
  const { attemptId, set, ingress } = request;
  const { key, fingerprint } = request.request;
  return askVotes(state, {
    claim: { attemptId, fingerprint, ingress },
    key,
    set,
    phase: "voting",
    round: 0,
    votes: new Map(),
    checks: new Map(),
    isLastRound: false,
    recording: undefined,
  });
}

/** Takes the reply to one question; undefined where none came. */
export function takeClaimReply(
  state: ClaimState,
  requestId: string,
  reply: ClaimReply | undefined,
): ClaimStep {
  const [kind, attemptId, round, from] = requestId
    .slice(CLAIM_PREFIX.length).split("/") as [string, string, string, string];
  const coordination = state.coordinations.get(attemptId);
  if (coordination === undefined) {
    return createReduction(state);
  }
  const { phase } = coordination;
  const isCurrent = coordination.round === Number(round);
  if (kind === "vote" && phase === "voting" && isCurrent) {
    const votes = setEntry(coordination.votes, from, readVote(reply));
    return decideVotes(state, { ...coordination, votes });
  }
  if (kind === "check" && phase === "checking" && isCurrent) {
    const seen = reply?.type === "ClaimChecked" ? reply.phase : "unknown";
    const checks = setEntry(coordination.checks, from, seen);
    return decideChecks(state, { ...coordination, checks });
  }
  return kind === "outcome"
    ? takeRecordReply(state, coordination, { epoch: round, from, reply })
    : createReduction(state);
}

/** The pause between two rounds is over. */
export function resumeClaim(state: ClaimState, attemptId: string): ClaimStep {
  const coordination = state.coordinations.get(attemptId);
  return coordination?.phase === "waiting"
    ? askVotes(state, coordination)
    : createReduction(state);
}

/** The attempt provably never ran: its claim is given back. */
export function withdrawClaim(
  state: ClaimState,
  attemptId: string,
): ClaimStep {
  const coordination = state.coordinations.get(attemptId);
  if (coordination === undefined) {
    return createReduction(state);
  }
  const next: ClaimState = {
    coordinations: deleteEntry(state.coordinations, attemptId),
    withdrawn: rememberWithdrawn(state.withdrawn, attemptId),
  };
  return createReduction(next, createReleases(coordination, attemptId));
}

/** Says how far the attempt of a claim is; "unknown" after a restart. */
export function checkClaim(state: ClaimState, attemptId: string): ClaimPhase {
  const phase = state.coordinations.get(attemptId)?.phase;
  if (phase !== undefined) {
    const hasRun = phase === "running" || phase === "recording";
    return hasRun ? "running" : "claiming";
  }
  return state.withdrawn.has(attemptId) ? "withdrawn" : "unknown";
}

/** Whether the attempt has been, or may have been, given to run. */
export function hasWon(state: ClaimState, attemptId: string): boolean {
  return checkClaim(state, attemptId) === "running";
}

function askVotes(state: ClaimState, coordination: Coordination): ClaimStep {
  const { claim, key, set } = coordination;
  const round = coordination.round + 1;
  const granted = [...coordination.votes].filter(([, vote]) =>
    vote.type === "Granted"
  );
  const votes = new Map(granted);
  const asks = set.members
    .filter((member) => !votes.has(member.nodeId))
    .map(({ nodeId, incarnation, ingress }) =>
      createAsk(`vote/${claim.attemptId}/${round}/${nodeId}`, ingress, {
        type: "ClaimKey",
        epoch: set.epoch,
        incarnation,
        key,
        claim,
      })
    );
  const next: Coordination = { ...coordination, phase: "voting", round, votes };
  return createReduction(putCoordination(state, next), asks);
}

function decideVotes(state: ClaimState, coordination: Coordination): ClaimStep {
  const { set, votes, claim } = coordination;
  const next = putCoordination(state, coordination);
  const cast = [...votes.values()];
  const pending = set.members.length - cast.length;
  const verdict = findOutcome(coordination, pending);
  if (verdict !== undefined) {
    return failClaim(next, coordination, verdict);
  }
  const granted = cast.filter((vote) => vote.type === "Granted").length;
  const majority = countMajority(set.members);
  if (granted >= majority) {
    const running: Coordination = { ...coordination, phase: "running" };
    const { attemptId } = claim;
    return createReduction(putCoordination(state, running), [
      { type: "RunClaimed", attemptId },
    ]);
  }
  if (granted + pending >= majority) {
    return createReduction(next);
  }
  const others = listOthers(coordination);
  if (others.length === 0) {
    const reason = findReason(cast);
    return failClaim(next, coordination, { type: "Undecided", reason });
  }
  return coordination.isLastRound
    ? failClaim(next, coordination, { type: "OutcomeUnknown" })
    : askOthers(state, coordination, others);
}

/** An outcome that any holder knows is final. */
function findOutcome(
  coordination: Coordination,
  pending: number,
): Verdict | undefined {
  const outcomes = [...coordination.votes.values()].flatMap((vote) =>
    vote.type === "Held" && vote.record.outcome !== undefined
      ? [vote.record.outcome]
      : []
  );
  const { fingerprint } = coordination.claim;
  if (outcomes.some((outcome) => outcome.fingerprint !== fingerprint)) {
    return { type: "OtherRequest" };
  }
  const answer = outcomes.find((outcome) => outcome.answer !== undefined)
    ?.answer;
  if (answer !== undefined) {
    return { type: "Answered", answer };
  }
  return outcomes.length > 0 && pending === 0
    ? { type: "AnswerNotKept" }
    : undefined;
}

function askOthers(
  state: ClaimState,
  coordination: Coordination,
  others: readonly Claim[],
): ClaimStep {
  const { claim, round } = coordination;
  const asks = others.map(({ attemptId, ingress }) =>
    createAsk(`check/${claim.attemptId}/${round}/${attemptId}`, ingress, {
      type: "CheckClaim",
      attemptId,
    })
  );
  const next: Coordination = {
    ...coordination,
    phase: "checking",
    checks: new Map(),
  };
  return createReduction(putCoordination(state, next), asks);
}

/** Of several that still claim, the one with the lowest attempt id goes on. */
function decideChecks(
  state: ClaimState,
  coordination: Coordination,
): ClaimStep {
  const { checks, claim, round } = coordination;
  const others = listOthers(coordination);
  const next = putCoordination(state, coordination);
  if (checks.size < others.length) {
    return createReduction(next);
  }
  const phases = [...checks.values()];
  const isOther = others.some((other) =>
    other.fingerprint !== claim.fingerprint &&
    checks.get(other.attemptId) === "running"
  );
  if (isOther) {
    return failClaim(next, coordination, { type: "OtherRequest" });
  }
  const isLower = others.every((other) =>
    checks.get(other.attemptId) !== "claiming" ||
    claim.attemptId < other.attemptId
  );
  if (phases.includes("running") || !isLower || round >= MAX_ROUNDS) {
    return failClaim(next, coordination, { type: "StillRunning" });
  }
  if (phases.includes("unknown")) {
    return askVotes(state, { ...coordination, isLastRound: true });
  }
  return pauseClaim(state, coordination);
}

/** Releases what others have withdrawn, and asks again a little later. */
function pauseClaim(state: ClaimState, coordination: Coordination): ClaimStep {
  const { checks, claim, round } = coordination;
  const releases = [...checks]
    .filter(([, phase]) => phase === "withdrawn")
    .flatMap(([attemptId]) => createReleases(coordination, attemptId));
  const waiting: Coordination = { ...coordination, phase: "waiting" };
  const { attemptId } = claim;
  return createReduction<ClaimState, ClaimEffect>(
    putCoordination(state, waiting),
    [
      ...releases,
      { type: "StartClaimTimer", attemptId, delayMs: BACKOFF_MS * round },
    ],
  );
}

function failClaim(
  state: ClaimState,
  coordination: Coordination,
  verdict: Verdict,
): ClaimStep {
  const { attemptId } = coordination.claim;
  const step = withdrawClaim(state, attemptId);
  return appendEffects(step, { type: "SettleClaim", attemptId, verdict });
}

function createReleases(
  coordination: Coordination,
  attemptId: string,
): readonly ClaimEffect[] {
  const { set, key } = coordination;
  return set.members.map(({ nodeId, ingress }) =>
    createAsk(`release/${attemptId}/0/${nodeId}`, ingress, {
      type: "ReleaseClaim",
      key,
      attemptId,
    })
  );
}

function listOthers(coordination: Coordination): readonly Claim[] {
  const others = new Map<string, Claim>();
  for (const vote of coordination.votes.values()) {
    for (const claim of vote.type === "Held" ? vote.record.claims : []) {
      others.set(claim.attemptId, claim);
    }
  }
  others.delete(coordination.claim.attemptId);
  return [...others.values()];
}

function findReason(votes: readonly Vote[]): "epoch" | "full" | "lost" {
  const reasons = votes.flatMap((vote) =>
    vote.type === "Refused" ? [vote.reason] : []
  );
  return reasons.find((reason) => reason !== "lost") ?? "lost";
}

function readVote(reply: ClaimReply | undefined): Vote {
  switch (reply?.type) {
    case "ClaimGranted":
      return { type: "Granted" };
    case "ClaimHeld":
      return { type: "Held", record: reply.record };
    case "ClaimRefused":
      return { type: "Refused", reason: reply.reason };
    default:
      return { type: "Refused", reason: "lost" };
  }
}

function putCoordination(
  state: ClaimState,
  coordination: Coordination,
): ClaimState {
  const { attemptId } = coordination.claim;
  const coordinations = setEntry(state.coordinations, attemptId, coordination);
  return { ...state, coordinations };
}
