/** Carries the outcome of a run to the holders before the answer goes out. */
import { deleteEntry, setEntry } from "../../../base/common/maps.ts";
import {
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import type { Reduction } from "../../../base/common/reduction.ts";
import type { ClaimReply } from "./claim_messages.ts";
import { createAsk } from "./claim_state.ts";
import type {
  ClaimEffect,
  ClaimState,
  Coordination,
  Recording,
} from "./claim_state.ts";
import { countMajority } from "./claim_types.ts";
import type { HolderSet, StoredAnswer } from "./claim_types.ts";

type ClaimStep = Reduction<ClaimState, ClaimEffect>;

const MAX_TRIES = 30;

/** The attempt ran; `answer` is undefined where it is too large to keep. */
export function recordRun(
  state: ClaimState,
  attemptId: string,
  answer: StoredAnswer | undefined,
): ClaimStep {
  const coordination = state.coordinations.get(attemptId);
  if (coordination === undefined) {
    return createReduction(state, [{ type: "RelayClaimed", attemptId }]);
  }
  const { fingerprint } = coordination.claim;
  return askHolders(state, {
    ...coordination,
    phase: "recording",
    recording: {
      outcome: { attemptId, fingerprint, answer },
      kept: new Set(),
      replied: new Set(),
      isRelayed: false,
      tries: 1,
    },
  });
}

/** The attempt came to no known outcome: its claim stands for ever. */
export function forgetRun(state: ClaimState, attemptId: string): ClaimState {
  const coordinations = deleteEntry(state.coordinations, attemptId);
  return { ...state, coordinations };
}

/** Counts one holder's reply to an outcome. */
export function takeRecordReply(
  state: ClaimState,
  coordination: Coordination,
  got: {
    readonly epoch: string;
    readonly from: string;
    readonly reply: ClaimReply | undefined;
  },
): ClaimStep {
  const { set, recording } = coordination;
  if (recording === undefined || set.epoch !== Number(got.epoch)) {
    return createReduction(state);
  }
  const isKept = got.reply?.type === "OutcomeRecorded";
  const next: Recording = {
    ...recording,
    kept: isKept ? new Set(recording.kept).add(got.from) : recording.kept,
    replied: new Set(recording.replied).add(got.from),
  };
  return settleRecording(state, { ...coordination, recording: next });
}

/** Sends outcomes again to the holders that haven't counted them. */
export function retryOutcomes(
  state: ClaimState,
  active: HolderSet | undefined,
): ClaimStep {
  const waiting = [...state.coordinations.values()].filter((one) =>
    one.recording !== undefined
  );
  return waiting.reduce<ClaimStep>(
    (step, coordination) =>
      chainReduction(step, (s) => retryOutcome(s, coordination, active)),
    createReduction(state),
  );
}

function retryOutcome(
  state: ClaimState,
  coordination: Coordination,
  active: HolderSet | undefined,
): ClaimStep {
  const recording = coordination.recording!;
  const { attemptId } = coordination.claim;
  if (recording.tries >= MAX_TRIES) {
    return createReduction(forgetRun(state, attemptId));
  }
  const isNewer = (active?.epoch ?? 0) > coordination.set.epoch;
  const set = isNewer ? active! : coordination.set;
  const kept = isNewer ? new Set<string>() : recording.kept;
  const tries = recording.tries + 1;
  const next: Recording = { ...recording, kept, replied: kept, tries };
  return askHolders(state, { ...coordination, set, recording: next });
}

function askHolders(state: ClaimState, coordination: Coordination): ClaimStep {
  const { set, key } = coordination;
  const { outcome, kept } = coordination.recording!;
  const asks = set.members
    .filter((member) => !kept.has(member.nodeId))
    .map(({ nodeId, incarnation, ingress }) =>
      createAsk(
        `outcome/${outcome.attemptId}/${set.epoch}/${nodeId}`,
        ingress,
        { type: "RecordOutcome", epoch: set.epoch, incarnation, key, outcome },
      )
    );
  return createReduction(putCoordination(state, coordination), asks);
}

/** The answer goes out at a majority, or once nobody else will reply. */
function settleRecording(
  state: ClaimState,
  coordination: Coordination,
): ClaimStep {
  const { set, claim } = coordination;
  const recording = coordination.recording!;
  const { attemptId } = claim;
  const isKept = recording.kept.size >= countMajority(set.members);
  const isOver = recording.replied.size >= set.members.length;
  const effects: readonly ClaimEffect[] = (isKept || isOver) &&
      !recording.isRelayed
    ? [{ type: "RelayClaimed", attemptId }]
    : [];
  if (isKept) {
    return createReduction(forgetRun(state, attemptId), effects);
  }
  const isRelayed = recording.isRelayed || isOver;
  const next = { ...coordination, recording: { ...recording, isRelayed } };
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
