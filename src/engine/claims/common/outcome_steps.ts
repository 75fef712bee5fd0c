/** Records the outcome of a run at the holders before its answer is relayed. */
import { deleteEntry, setEntry } from "../../../base/common/maps.ts";
import {
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import type { Reduction } from "../../../base/common/reduction.ts";
import type { ClaimReply } from "./claim_messages.ts";
import { createHolderRequest } from "./claim_state.ts";
import type {
  ClaimEffect,
  ClaimState,
  Coordination,
  Recording,
} from "./claim_state.ts";
import { countMajority } from "./claim_types.ts";
import type { HolderSet, StoredAnswer } from "./claim_types.ts";

type ClaimStep = Reduction<ClaimState, ClaimEffect>;

/** Times that an outcome is sent before the node stops trying to record it. */
const MAX_SENDS = 30;

/** Records that an attempt ran; `answer` is undefined if too large to store. */
export function recordRunOutcome(
  state: ClaimState,
  attemptId: string,
  answer: StoredAnswer | undefined,
): ClaimStep {
  const coordination = state.coordinations.get(attemptId);
  if (coordination === undefined) {
    return createReduction(state, [{ type: "RelayClaimed", attemptId }]);
  }
  const { fingerprint } = coordination.claim;
  return sendOutcome(state, {
    ...coordination,
    phase: "recording",
    recording: {
      outcome: { attemptId, fingerprint, answer },
      acknowledgedBy: new Set(),
      repliedBy: new Set(),
      isAnswerRelayed: false,
      sendCount: 1,
    },
  });
}

/** Drops an attempt without releasing its claim, which remains until it expires. */
export function discardClaim(state: ClaimState, attemptId: string): ClaimState {
  const coordinations = deleteEntry(state.coordinations, attemptId);
  return { ...state, coordinations };
}

/** Processes a holder's reply to an outcome. */
export function receiveRecordReply(
  state: ClaimState,
  coordination: Coordination,
  received: {
    readonly epoch: string;
    readonly from: string;
    readonly reply: ClaimReply | undefined;
  },
): ClaimStep {
  const { set, recording } = coordination;
  if (recording === undefined || set.epoch !== Number(received.epoch)) {
    return createReduction(state);
  }
  const isAcknowledged = received.reply?.type === "OutcomeRecorded";
  const next: Recording = {
    ...recording,
    acknowledgedBy: isAcknowledged
      ? new Set(recording.acknowledgedBy).add(received.from)
      : recording.acknowledgedBy,
    repliedBy: new Set(recording.repliedBy).add(received.from),
  };
  return settleRecording(state, { ...coordination, recording: next });
}

/** Resends outcomes to the holders that haven't acknowledged them. */
export function resendOutcomes(
  state: ClaimState,
  active: HolderSet | undefined,
): ClaimStep {
  const unsettled = [...state.coordinations.values()].filter((coordination) =>
    coordination.recording !== undefined
  );
  return unsettled.reduce<ClaimStep>(
    (step, coordination) =>
      chainReduction(step, (s) => resendOutcome(s, coordination, active)),
    createReduction(state),
  );
}

function resendOutcome(
  state: ClaimState,
  coordination: Coordination,
  active: HolderSet | undefined,
): ClaimStep {
  const recording = coordination.recording!;
  const { attemptId } = coordination.claim;
  if (recording.sendCount >= MAX_SENDS) {
    return createReduction(discardClaim(state, attemptId));
  }
  const isNewer = (active?.epoch ?? 0) > coordination.set.epoch;
  const set = isNewer ? active! : coordination.set;
  const acknowledgedBy = isNewer ? new Set<string>() : recording.acknowledgedBy;
  const sendCount = recording.sendCount + 1;
  const next: Recording = {
    ...recording,
    acknowledgedBy,
    repliedBy: acknowledgedBy,
    sendCount,
  };
  return sendOutcome(state, { ...coordination, set, recording: next });
}

function sendOutcome(state: ClaimState, coordination: Coordination): ClaimStep {
  const { set, key } = coordination;
  const { outcome, acknowledgedBy } = coordination.recording!;
  const requests = set.members
    .filter((member) => !acknowledgedBy.has(member.nodeId))
    .map(({ nodeId, incarnation, ingress }) =>
      createHolderRequest(
        `outcome/${outcome.attemptId}/${set.epoch}/${nodeId}`,
        ingress,
        { type: "RecordOutcome", epoch: set.epoch, incarnation, key, outcome },
      )
    );
  return createReduction(putCoordination(state, coordination), requests);
}

/** Relays the answer at a majority, or once all requests have ended. */
function settleRecording(
  state: ClaimState,
  coordination: Coordination,
): ClaimStep {
  const { set, claim } = coordination;
  const recording = coordination.recording!;
  const { attemptId } = claim;
  const hasMajority =
    recording.acknowledgedBy.size >= countMajority(set.members);
  const hasAllReplies = recording.repliedBy.size >= set.members.length;
  const effects: readonly ClaimEffect[] = (hasMajority || hasAllReplies) &&
      !recording.isAnswerRelayed
    ? [{ type: "RelayClaimed", attemptId }]
    : [];
  if (hasMajority) {
    return createReduction(discardClaim(state, attemptId), effects);
  }
  const isAnswerRelayed = recording.isAnswerRelayed || hasAllReplies;
  const next = {
    ...coordination,
    recording: { ...recording, isAnswerRelayed },
  };
  return createReduction(putCoordination(state, next), effects);
}

function putCoordination(
  state: ClaimState,
  coordination: Coordination,
): ClaimState {
  const { attemptId } = coordination.claim;
  const coordinations = setEntry(state.coordinations, attemptId, coordination);
  return { ...state, coordinations };
}
