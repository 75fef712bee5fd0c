/** Reducer of a node: handles every event. */
import { createReduction } from "../../../base/common/reduction.ts";
import {
  appendEffects,
  chainReduction,
} from "../../../base/common/reduction.ts";
import { CLAIM_REQUEST_PREFIX } from "../../claims/common/claim_messages.ts";
import type { ClaimReply } from "../../claims/common/claim_messages.ts";
import { computeLoadHint } from "../../routing/common/load_hint.ts";
import { QUARANTINE_PREFIX } from "../../quarantine/common/quarantine_messages.ts";
import type { QuarantineReply } from "../../quarantine/common/quarantine_messages.ts";
import { isServiceKnown } from "../../routing/common/routing_state.ts";
import { createAnswer } from "./answers.ts";
import type { NodeEffect, NodeEvent, TimerKey } from "./call_events.ts";
import { updateDownstreamTime } from "./downstream_time.ts";
import type { NodeState } from "./node_state.ts";
import {
  answerEntry,
  createServedDeps,
  expireEntry,
  failEntry,
} from "./entry_attempts.ts";
import { receiveEntry } from "./entry_open.ts";
import { detectStalledAttempts } from "./entry_ask.ts";
import { cancelEntry } from "./entry_cancel.ts";
import { endEntry, resumeEntries } from "./entry_reducer.ts";
import { applyStatusReply, handleStalledAnswer } from "./entry_reply.ts";
import {
  applyProbe,
  receiveFailure,
  receiveQuarantineReply,
  retainFailure,
} from "./crash_steps.ts";
import type { SettleHeldFailure } from "./crash_steps.ts";
import { notifyJoinedNode, tickLedger } from "./quarantine_ledger.ts";
import { tickLeases } from "./quarantine_steps.ts";
import { stepRouting } from "./entry_state.ts";
import { answerPeer } from "./peer_reducer.ts";
import {
  answerServed,
  cancelServed,
  endServed,
  expireServed,
  failServed,
  recordBlocked,
} from "./served_reducer.ts";
import { receiveIngress } from "./served_receive.ts";
import { tickAdmission } from "./served_steps.ts";
import type { NodeStep, ServedDeps } from "./served_types.ts";
import {
  receiveHolderReply,
  receiveHolderSets,
  recordAnswer,
  resumeServed,
  tickServedClaims,
} from "./served_claims.ts";
import { activateCandidate, receiveTable } from "./table_intake.ts";
import { unsubscribeUnused } from "./subscription_step.ts";

/**
 * Applies an event to a node. `nowMs` is the steady clock in milliseconds: the
 * wall clock at the start of the process plus the time elapsed since.
 */
export function reduceNode(
  state: NodeState,
  event: NodeEvent,
  nowMs: number,
): NodeStep {
  const step = applyEvent(state, event, nowMs);
  return { ...step, state: updateDownstreamTime(state, step.state, nowMs) };
}

function applyEvent(
  state: NodeState,
  event: NodeEvent,
  nowMs: number,
): NodeStep {
  const deps = createServedDeps(nowMs);
  switch (event.type) {
    case "CallReceived":
      return event.listener === "ingress"
        ? receiveIngress(state, event, deps)
        : receiveEntry(state, event, nowMs);
    case "AttemptAnswered":
      return applyAnswer(state, event, nowMs);
    case "AnswerCollected":
      return recordAnswer(state, event.attemptId, event, deps);
    case "AttemptFailed":
      return applyFailure(state, event, nowMs);
    case "AttemptEnded":
      return applyEnd(state, event.attemptId, true, nowMs);
    case "AnswerCut":
      return applyCut(state, event.attemptId, nowMs);
    case "BackendProbed":
      return applyProbe(
        state,
        event.isAlive,
        createFailureSettler(nowMs),
        deps,
      );
    case "AnswerQuiet":
      return handleStalledAnswer(state, event, nowMs);
    case "AnswerBlocked":
      return recordBlocked(state, event.attemptId, event.isBlocked);
    case "CallerLeft":
      return cancelExchange(state, event.exchangeId, nowMs);
    case "BodyLimitPassed":
      return refuseBody(state, event.exchangeId, nowMs);
    case "TimerFired":
      return applyTimer(state, event.key, nowMs);
    case "TableReceived":
      return receiveTable(state, event, nowMs);
    case "DrainRequested":
      return startDrain(state, nowMs);
    case "HolderSetsReceived":
      return receiveHolderSets(state, event.sets, deps);
    case "Ticked":
      return tickNode(state, deps);
    case "PeerAsked":
      return answerPeer(state, event, nowMs);
    case "PeerReplied":
      return applyReply(state, event, deps);
    case "HintReceived":
      return createReduction({ ...state, loadHint: computeLoadHint(event) });
    case "MembersListed":
      return resumeEntries(
        stepRouting(state, event, nowMs),
        event.service,
        nowMs,
      );
    case "MemberPublished":
      return chainReduction(
        notifyJoinedNode(state, event.announcement, nowMs),
        (next) => createReduction(stepRouting(next, event, nowMs)),
      );
    case "MemberLost":
    case "AttemptStarted":
    case "AttemptFinished":
      return createReduction(stepRouting(state, event, nowMs));
  }
}

/** Runs the periodic work of a node. */
function tickNode(state: NodeState, deps: ServedDeps): NodeStep {
  const steps: readonly ((next: NodeState) => NodeStep)[] = [
    (next) => tickAdmission(next, deps),
    (next) => detectStalledAttempts(next, deps.nowMs),
    (next) => tickServedClaims(next, deps),
    (next) => activateCandidate(next, deps.nowMs),
    (next) => tickLeases(next, deps.nowMs),
    (next) => tickLedger(next, deps.nowMs),
    (next) => unsubscribeUnused(next, deps.nowMs),
  ];
  return steps.reduce<NodeStep>(chainReduction, createReduction(state));
}

function applyReply(
  state: NodeState,
  event: Extract<NodeEvent, { type: "PeerReplied" }>,
  deps: ServedDeps,
): NodeStep {
  const { requestId, reply } = event;
  if (requestId.startsWith(QUARANTINE_PREFIX)) {
    const settle = createFailureSettler(deps.nowMs);
    const received = reply as QuarantineReply | undefined;
    return receiveQuarantineReply(
      state,
      { requestId, reply: received },
      settle,
      deps,
    );
  }
  return requestId.startsWith(CLAIM_REQUEST_PREFIX)
    ? receiveHolderReply(
      state,
      requestId,
      reply as ClaimReply | undefined,
      deps,
    )
    : applyStatusReply(state, event, deps.nowMs);
}

function applyAnswer(
  state: NodeState,
  event: Extract<NodeEvent, { type: "AttemptAnswered" }>,
  nowMs: number,
): NodeStep {
  const { attemptId, answer } = event;
  if (state.served.has(attemptId)) {
    const deps = createServedDeps(nowMs);
    return answerServed(state, attemptId, answer, deps);
  }
  const exchangeId = state.entryOfAttempt.get(attemptId);
  return exchangeId === undefined
    ? createReduction(state, [{ type: "AbortAttempt", attemptId }])
    : answerEntry(state, exchangeId, answer, nowMs);
}

function applyFailure(
  state: NodeState,
  event: Extract<NodeEvent, { type: "AttemptFailed" }>,
  nowMs: number,
): NodeStep {
  if (state.served.has(event.attemptId)) {
    return receiveFailure(state, event, createServedDeps(nowMs));
  }
  const exchangeId = state.entryOfAttempt.get(event.attemptId);
  return exchangeId === undefined
    ? createReduction(state)
    : failEntry(state, exchangeId, event, nowMs);
}

/** Handles a cut answer, of the local backend server or another node. */
function applyCut(
  state: NodeState,
  attemptId: string,
  nowMs: number,
): NodeStep {
  const reason = "Answer was cut";
  return state.served.has(attemptId)
    ? retainFailure(state, {
      attemptId,
      reason,
      isSent: true,
      isReset: true,
      isCut: true,
    })
    : applyEnd(state, attemptId, false, nowMs);
}

/** Creates the function that ends attempts whose failure was held back. */
function createFailureSettler(nowMs: number): SettleHeldFailure {
  const deps = createServedDeps(nowMs);
  return (state, held) =>
    held.isCut
      ? applyEnd(state, held.attemptId, false, nowMs)
      : failServed(state, held, deps);
}

/** Ends an attempt whose answer is complete or was cut, and its entry call. */
function applyEnd(
  state: NodeState,
  attemptId: string,
  isWhole: boolean,
  nowMs: number,
): NodeStep {
  const deps = createServedDeps(nowMs);
  const step = state.served.has(attemptId)
    ? endServed(state, attemptId, isWhole, deps)
    : createReduction<NodeState, NodeEffect>(state);
  return chainReduction(step, (next) => {
    const exchangeId = next.entryOfAttempt.get(attemptId);
    return exchangeId === undefined
      ? createReduction(next)
      : endEntry(next, exchangeId, isWhole);
  });
}

/** Cancels the entry call or served attempt of an exchange. */
function cancelExchange(
  state: NodeState,
  exchangeId: string,
  nowMs: number,
): NodeStep {
  if (state.entries.has(exchangeId)) {
    return cancelEntry(state, exchangeId, createServedDeps(nowMs));
  }
  const call = [...state.served.values()].find((served) =>
    served.exchangeId === exchangeId
  );
  if (call === undefined) {
    return createReduction(state);
  }
  return cancelServed(state, call.attemptId, createServedDeps(nowMs));
}

/** Refuses a chunked body that exceeded the limit of its kind while sent. */
function refuseBody(
  state: NodeState,
  exchangeId: string,
  nowMs: number,
): NodeStep {
  const step = cancelExchange(state, exchangeId, nowMs);
  return appendEffects(
    step,
    createAnswer(exchangeId, {
      status: 413,
      outcome: "unknown",
      message: "Body is over the limit of its kind",
    }),
  );
}

function applyTimer(
  state: NodeState,
  key: TimerKey,
  nowMs: number,
): NodeStep {
  if (key.owner === "entry") {
    return expireEntry(state, key.id, nowMs);
  }
  if (key.owner === "claim") {
    return resumeServed(state, key.id, createServedDeps(nowMs));
  }
  return expireServed(state, key.id, createServedDeps(nowMs));
}

/**
 * Starts draining. The node applies its announcement to its own routing at
 * once, before other nodes receive it.
 */
function startDrain(state: NodeState, nowMs: number): NodeStep {
  if (state.self.isDraining) {
    return createReduction(state);
  }
  const self = {
    ...state.self,
    isDraining: true,
    sequence: state.self.sequence + 1,
  };
  const published = { type: "MemberPublished", announcement: self } as const;
  const next = isServiceKnown(state.routing, self.service)
    ? stepRouting(state, published, nowMs)
    : state;
  return createReduction({ ...next, self }, [
    { type: "SendAnnouncement", announcement: self },
    { type: "RecordEvent", event: { type: "DrainStarted" } },
  ]);
}
