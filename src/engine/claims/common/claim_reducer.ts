/**
 * The claimant's side of the claim protocol: obtains the votes of a majority of
 * holders before a request runs.
 */
import { deleteEntry, setEntry } from "../../../base/common/maps.ts";
import {
  appendEffects,
  createReduction,
} from "../../../base/common/reduction.ts";
import type { Reduction } from "../../../base/common/reduction.ts";
import type { ClaimPhase, ClaimReply } from "./claim_messages.ts";
import { CLAIM_REQUEST_PREFIX } from "./claim_messages.ts";
import { createHolderRequest, recordWithdrawn } from "./claim_state.ts";
import type {
  ClaimEffect,
  ClaimRequest,
  ClaimState,
  ClaimVerdict,
  Coordination,
  Vote,
} from "./claim_state.ts";
import { countMajority } from "./claim_types.ts";
import type { Claim } from "./claim_types.ts";
import { receiveRecordReply } from "./outcome_steps.ts";

/** The state after an event, with the effects to perform. */
export type ClaimStep = Reduction<ClaimState, ClaimEffect>;

const MAX_ROUNDS = 5;
/** Delay before the next round, multiplied by the number of rounds so far. */
const ROUND_BACKOFF_MS = 10;

/** Starts the first voting round for the key of an attempt. */
export function startClaim(
  state: ClaimState,
  request: ClaimRequest,
): ClaimStep {
  const { attemptId, set, ingress } = request;
  const { key, fingerprint } = request.request;
  return requestVotes(state, {
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

/** Processes the reply to a request; undefined if none was received. */
export function receiveClaimReply(
  state: ClaimState,
  requestId: string,
  reply: ClaimReply | undefined,
): ClaimStep {
  const [kind, attemptId, round, responderId] = requestId
    .slice(CLAIM_REQUEST_PREFIX.length).split("/") as [
      string,
      string,
      string,
      string,
    ];
  // `responderId` is a node id, or for a check the id of the competing attempt.
  const coordination = state.coordinations.get(attemptId);
  if (coordination === undefined) {
    return createReduction(state);
  }
  const { phase } = coordination;
  const isCurrent = coordination.round === Number(round);
  if (kind === "vote" && phase === "voting" && isCurrent) {
    const votes = setEntry(coordination.votes, responderId, getVote(reply));
    return decideVotes(state, { ...coordination, votes });
  }
  if (kind === "check" && phase === "checking" && isCurrent) {
    const reportedPhase = reply?.type === "ClaimChecked"
      ? reply.phase
      : "unknown";
    const checks = setEntry(coordination.checks, responderId, reportedPhase);
    return decideChecks(state, { ...coordination, checks });
  }
  return kind === "outcome"
    ? receiveRecordReply(state, coordination, {
      epoch: round,
      from: responderId,
      reply,
    })
    : createReduction(state);
}

/** Starts the next voting round after the delay between two rounds. */
export function resumeClaim(state: ClaimState, attemptId: string): ClaimStep {
  const coordination = state.coordinations.get(attemptId);
  return coordination?.phase === "waiting"
    ? requestVotes(state, coordination)
    : createReduction(state);
}

/** Releases the claim of an attempt that provably never ran. */
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
    withdrawn: recordWithdrawn(state.withdrawn, attemptId),
  };
  return createReduction(next, createReleases(coordination, attemptId));
}

/** Returns the progress of an attempt; "unknown" after a restart. */
export function checkClaim(state: ClaimState, attemptId: string): ClaimPhase {
  const phase = state.coordinations.get(attemptId)?.phase;
  if (phase !== undefined) {
    const hasRun = phase === "running" || phase === "recording";
    return hasRun ? "running" : "claiming";
  }
  return state.withdrawn.has(attemptId) ? "withdrawn" : "unknown";
}

/** Whether the attempt won its claim, so that its request may have run. */
export function hasWonClaim(state: ClaimState, attemptId: string): boolean {
  return checkClaim(state, attemptId) === "running";
}

function requestVotes(
  state: ClaimState,
  coordination: Coordination,
): ClaimStep {
  const { claim, key, set } = coordination;
  const round = coordination.round + 1;
  const granted = [...coordination.votes].filter(([, vote]) =>
    vote.type === "Granted"
  );
  const votes = new Map(granted);
  const requests = set.members
    .filter((member) => !votes.has(member.nodeId))
    .map(({ nodeId, incarnation, ingress }) =>
      createHolderRequest(
        `vote/${claim.attemptId}/${round}/${nodeId}`,
        ingress,
        {
          type: "ClaimKey",
          epoch: set.epoch,
          incarnation,
          key,
          claim,
        },
      )
    );
  const next: Coordination = { ...coordination, phase: "voting", round, votes };
  return createReduction(putCoordination(state, next), requests);
}

function decideVotes(state: ClaimState, coordination: Coordination): ClaimStep {
  const { set, votes, claim } = coordination;
  const next = putCoordination(state, coordination);
  const receivedVotes = [...votes.values()];
  const pendingCount = set.members.length - receivedVotes.length;
  const verdict = findFinalVerdict(coordination, pendingCount);
  if (verdict !== undefined) {
    return failClaim(next, coordination, verdict);
  }
  const grantedCount =
    receivedVotes.filter((vote) => vote.type === "Granted").length;
  const majority = countMajority(set.members);
  if (grantedCount >= majority) {
    const running: Coordination = { ...coordination, phase: "running" };
    const { attemptId } = claim;
    return createReduction(putCoordination(state, running), [
      { type: "RunClaimed", attemptId },
    ]);
  }
  if (grantedCount + pendingCount >= majority) {
    return createReduction(next);
  }
  const competing = listCompetingClaims(coordination);
  if (competing.length === 0) {
    const reason = getRefusalReason(receivedVotes);
    return failClaim(next, coordination, { type: "Undecided", reason });
  }
  return coordination.isLastRound
    ? failClaim(next, coordination, { type: "OutcomeUnknown" })
    : checkCompetingClaims(state, coordination, competing);
}

/** Finds the verdict if any holder has recorded an outcome: it is final. */
function findFinalVerdict(
  coordination: Coordination,
  pendingCount: number,
): ClaimVerdict | undefined {
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
  return outcomes.length > 0 && pendingCount === 0
    ? { type: "AnswerNotKept" }
    : undefined;
}

function checkCompetingClaims(
  state: ClaimState,
  coordination: Coordination,
  competing: readonly Claim[],
): ClaimStep {
  const { claim, round } = coordination;
  const requests = competing.map(({ attemptId, ingress }) =>
    createHolderRequest(
      `check/${claim.attemptId}/${round}/${attemptId}`,
      ingress,
      {
        type: "CheckClaim",
        attemptId,
      },
    )
  );
  const next: Coordination = {
    ...coordination,
    phase: "checking",
    checks: new Map(),
  };
  return createReduction(putCoordination(state, next), requests);
}

/**
 * Fails the claim if a competing attempt runs. Of several attempts that are
 * still claiming, the one with the lowest id continues with another round.
 */
function decideChecks(
  state: ClaimState,
  coordination: Coordination,
): ClaimStep {
  const { checks, claim, round } = coordination;
  const competing = listCompetingClaims(coordination);
  const next = putCoordination(state, coordination);
  if (checks.size < competing.length) {
    return createReduction(next);
  }
  const phases = [...checks.values()];
  const isKeyTaken = competing.some((other) =>
    other.fingerprint !== claim.fingerprint &&
    checks.get(other.attemptId) === "running"
  );
  if (isKeyTaken) {
    return failClaim(next, coordination, { type: "OtherRequest" });
  }
  const hasLowestId = competing.every((other) =>
    checks.get(other.attemptId) !== "claiming" ||
    claim.attemptId < other.attemptId
  );
  if (phases.includes("running") || !hasLowestId || round >= MAX_ROUNDS) {
    return failClaim(next, coordination, { type: "StillRunning" });
  }
  if (phases.includes("unknown")) {
    return requestVotes(state, { ...coordination, isLastRound: true });
  }
  return scheduleNextRound(state, coordination);
}

/** Releases the claims of withdrawn attempts, and schedules the next round. */
function scheduleNextRound(
  state: ClaimState,
  coordination: Coordination,
): ClaimStep {
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
      { type: "StartClaimTimer", attemptId, delayMs: ROUND_BACKOFF_MS * round },
    ],
  );
}

function failClaim(
  state: ClaimState,
  coordination: Coordination,
  verdict: ClaimVerdict,
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
    createHolderRequest(`release/${attemptId}/0/${nodeId}`, ingress, {
      type: "ReleaseClaim",
      key,
      attemptId,
    })
  );
}

function listCompetingClaims(coordination: Coordination): readonly Claim[] {
  const competing = new Map<string, Claim>();
  for (const vote of coordination.votes.values()) {
    for (const claim of vote.type === "Held" ? vote.record.claims : []) {
      competing.set(claim.attemptId, claim);
    }
  }
  competing.delete(coordination.claim.attemptId);
  return [...competing.values()];
}

function getRefusalReason(votes: readonly Vote[]): "epoch" | "full" | "lost" {
  const reasons = votes.flatMap((vote) =>
    vote.type === "Refused" ? [vote.reason] : []
  );
  return reasons.find((reason) => reason !== "lost") ?? "lost";
}

function getVote(reply: ClaimReply | undefined): Vote {
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
