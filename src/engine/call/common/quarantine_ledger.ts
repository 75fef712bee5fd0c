/** The node as owner of suspects: decides, answers and tells the others. */
import {
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import type { Reduction } from "../../../base/common/reduction.ts";
import {
  expireSuspects,
  MAX_KNOWN_SUSPECTS,
  noteSuspects,
  noteVerdict,
} from "../../quarantine/common/known_suspects.ts";
import type { Announcement } from "../../membership/common/announcement.ts";
import { QUARANTINE_PREFIX } from "../../quarantine/common/quarantine_messages.ts";
import type {
  QuarantineMessage,
  Verdict,
} from "../../quarantine/common/quarantine_messages.ts";
import { reduceQuarantine } from "../../quarantine/common/quarantine_reducer.ts";
import type {
  QuarantineEffect,
  QuarantineEvent,
} from "../../quarantine/common/quarantine_reducer.ts";
import { chooseOwner } from "../../quarantine/common/suspect_owner.ts";
import type { NodeEffect } from "./call_events.ts";
import type { NodeState } from "./node_state.ts";
import {
  createAsk,
  findOwner,
  listPeers,
  putQuarantine,
} from "./quarantine_steps.ts";

type Step = Reduction<NodeState, NodeEffect>;
type Message<T extends QuarantineMessage["type"]> = Extract<
  QuarantineMessage,
  { type: T }
>;

/** Most suspects in one message. */
const MAX_VERDICTS = 1_024;
/** When to come back to an owner that can keep no further suspect. */
const FULL_RETRY_MS = 10_000;
const VERDICT_PREFIX = `${QUARANTINE_PREFIX}verdict/`;

/** Answers another node, or this one. */
export function answerQuarantine(
  state: NodeState,
  asked: { readonly askId: number; readonly message: QuarantineMessage },
  nowMs: number,
): Step {
  const { askId, message } = asked;
  if (message.type === "RequestRun") {
    return decideRun(state, askId, message, nowMs);
  }
  const noted: NodeEffect = {
    type: "AnswerPeer",
    askId,
    reply: { type: "SuspectsNoted" },
  };
  return chainReduction(
    noteMessage(state, message, nowMs),
    (next) => createReduction(next, [noted]),
  );
}

/** Notes what ran when a backend server died, and judges what is owned here. */
export function noteCrash(
  state: NodeState,
  crash: Omit<Message<"TellSuspects">, "type">,
  nowMs: number,
): Step {
  const { nodeId, fingerprints, guilty } = crash;
  const { known, ledger } = state.quarantine;
  const noted = putQuarantine(state, {
    known: noteSuspects(known, fingerprints, nowMs),
  });
  const room = MAX_KNOWN_SUSPECTS - ledger.suspects.size;
  const added = fingerprints.filter((fingerprint) =>
    !ledger.suspects.has(fingerprint) &&
    findOwner(state, fingerprint)?.nodeId === state.self.nodeId
  ).slice(0, Math.max(0, room));
  const owned = [
    ...fingerprints.filter((one) => ledger.suspects.has(one)),
    ...added,
  ];
  return owned.length === 0 ? createReduction(noted) : stepLedger(
    noted,
    { type: "BackendCrashed", nodeId, fingerprints: owned, guilty },
    nowMs,
  );
}

/**
 * Tells a node that joins the service of the suspects. It may be the owner of
 * some, and have lost them: of each one the node tells that owns it among the
 * others.
 */
export function tellJoined(
  state: NodeState,
  joined: Announcement,
  nowMs: number,
): Step {
  const { known } = state.quarantine;
  const { nodeId, incarnation, service, ingress } = joined;
  const before = state.routing.services.get(service)?.members.get(nodeId);
  const isKnown = before?.incarnation === incarnation;
  const isOther = service !== state.self.service ||
    nodeId === state.self.nodeId;
  if (isOther || isKnown || known.size === 0) {
    return createReduction(state);
  }
  const others = listPeers(state).filter((peer) => peer.nodeId !== nodeId);
  const verdicts = [...known]
    .filter(([fingerprint]) =>
      chooseOwner(others, fingerprint)?.nodeId === state.self.nodeId
    )
    .slice(-MAX_VERDICTS)
    .map(([fingerprint, { quarantinedUntilMs }]) => ({
      fingerprint,
      isCleared: false,
      quarantineMs: Math.max(0, quarantinedUntilMs - nowMs),
    }));
  return createReduction(state, [
    createAsk(`${VERDICT_PREFIX}${nodeId}`, ingress, {
      type: "TellVerdicts",
      verdicts,
    }),
  ]);
}

/** Time has passed. */
export function tickLedger(state: NodeState, nowMs: number): Step {
  const { known } = state.quarantine;
  const live = expireSuspects(known, nowMs);
  const next = live === known ? state : putQuarantine(state, { known: live });
  return stepLedger(next, { type: "Ticked" }, nowMs);
}

function noteMessage(
  state: NodeState,
  message: Exclude<QuarantineMessage, { type: "RequestRun" }>,
  nowMs: number,
): Step {
  switch (message.type) {
    case "TellSuspects":
      return noteCrash(state, message, nowMs);
    case "TellVerdicts": {
      const known = message.verdicts.reduce(
        (before, verdict) => noteVerdict(before, verdict, nowMs),
        state.quarantine.known,
      );
      return createReduction(putQuarantine(state, { known }));
    }
    case "EndRun":
      return endRun(state, message, nowMs);
  }
}

/** Whoever asks knows a suspect; the owner before may have kept it. */
function decideRun(
  state: NodeState,
  askId: number,
  asked: Message<"RequestRun">,
  nowMs: number,
): Step {
  const { fingerprint, nodeId, timeoutMs } = asked;
  const { suspects } = state.quarantine.ledger;
  const isKnown = suspects.has(fingerprint);
  if (!isKnown && suspects.size >= MAX_KNOWN_SUSPECTS) {
    const retryAfterMs = FULL_RETRY_MS;
    const reply = { type: "RunRefused", reason: "suspect_runs" } as const;
    return createReduction(state, [
      { type: "AnswerPeer", askId, reply: { ...reply, retryAfterMs } },
    ]);
  }
  const fingerprints = isKnown ? [] : [fingerprint];
  const noted = stepLedger(
    state,
    { type: "BackendCrashed", nodeId, fingerprints, guilty: [] },
    nowMs,
  );
  const event = {
    type: "RunRequested",
    askId,
    nodeId,
    fingerprint,
    timeoutMs,
  } as const;
  return chainReduction(noted, (next) => stepLedger(next, event, nowMs));
}

function endRun(
  state: NodeState,
  ended: Message<"EndRun">,
  nowMs: number,
): Step {
  const { fingerprint, isWhole, leaseId, nodeId } = ended;
  const event: QuarantineEvent = isWhole && leaseId !== undefined
    ? { type: "RunFinished", fingerprint, leaseId }
    : { type: "RunWithdrawn", fingerprint, leaseId, nodeId };
  return stepLedger(state, event, nowMs);
}

function stepLedger(
  state: NodeState,
  event: QuarantineEvent,
  nowMs: number,
): Step {
  const { ledger } = state.quarantine;
  const step = reduceQuarantine(ledger, event, nowMs);
  const next = step.state === ledger
    ? state
    : putQuarantine(state, { ledger: step.state });
  return step.effects.reduce<Step>(
    (done, effect) =>
      chainReduction(done, (s) => applyDecision(s, effect, nowMs)),
    createReduction(next),
  );
}

function applyDecision(
  state: NodeState,
  effect: QuarantineEffect,
  nowMs: number,
): Step {
  switch (effect.type) {
    case "GrantRun": {
      const { askId, leaseId } = effect;
      const reply = { type: "RunGranted", leaseId: leaseId! } as const;
      return createReduction(state, [{ type: "AnswerPeer", askId, reply }]);
    }
    case "RefuseRun": {
      const { askId, reason, retryAfterMs } = effect;
      const reply = { type: "RunRefused", reason, retryAfterMs } as const;
      return createReduction(state, [{ type: "AnswerPeer", askId, reply }]);
    }
    case "PublishSuspect":
      // The node beside the backend server has told all of them.
      return createReduction(state);
    case "PublishQuarantine": {
      const { fingerprint } = effect;
      const lengthMs = effect.untilMs - nowMs;
      return tellVerdict(state, {
        fingerprint,
        isCleared: false,
        quarantineMs: lengthMs,
      }, nowMs);
    }
    case "PublishCleared": {
      const { fingerprint } = effect;
      return tellVerdict(state, {
        fingerprint,
        isCleared: true,
        quarantineMs: 0,
      }, nowMs);
    }
  }
}

function tellVerdict(
  state: NodeState,
  verdict: Verdict,
  nowMs: number,
): Step {
  const { fingerprint, isCleared, quarantineMs } = verdict;
  const known = noteVerdict(state.quarantine.known, verdict, nowMs);
  const told = { type: "TellVerdicts", verdicts: [verdict] } as const;
  const tells = listPeers(state)
    .filter(({ nodeId }) => nodeId !== state.self.nodeId)
    .map(({ nodeId, ingress }) =>
      createAsk(`${VERDICT_PREFIX}${nodeId}`, ingress, told)
    );
  return createReduction(putQuarantine(state, { known }), [
    {
      type: "RecordEvent",
      event: isCleared
        ? { type: "SuspectCleared", fingerprint }
        : { type: "RequestQuarantined", fingerprint, lengthMs: quarantineMs },
    },
    ...tells,
  ]);
}
