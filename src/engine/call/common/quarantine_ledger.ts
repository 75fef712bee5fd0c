/** The node as owner of suspects: decides, answers and tells the others. */
import { deleteEntry } from "../../../base/common/maps.ts";
import {
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import type { Reduction } from "../../../base/common/reduction.ts";
import {
  expireSuspects,
  isRecentlyCleared,
  listSuspectsToCheck,
  MAX_KNOWN_SUSPECTS,
  recordCleared,
  recordSuspects,
  recordVerdict,
} from "../../quarantine/common/known_suspects.ts";
import type { Announcement } from "../../membership/common/announcement.ts";
import { QUARANTINE_PREFIX } from "../../quarantine/common/quarantine_messages.ts";
import type {
  QuarantineMessage,
  Verdict,
} from "../../quarantine/common/quarantine_messages.ts";
import { reduceQuarantine } from "../../quarantine/common/quarantine_reducer.ts";
import type {
  Fingerprint,
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
/** Time between two rounds of questions about old suspects. */
const CHECK_MS = 3_000;
const VERDICT_PREFIX = `${QUARANTINE_PREFIX}verdict/`;
/** Request ids of questions about old suspects begin with this. */
export const CHECK_PREFIX = `${QUARANTINE_PREFIX}check/`;

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
  if (message.type === "CheckSuspects") {
    const { cleared } = state.quarantine;
    const reply = {
      type: "SuspectsChecked",
      cleared: message.fingerprints.filter((one) => cleared.has(one)),
    } as const;
    return createReduction(state, [{ type: "AnswerPeer", askId, reply }]);
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
  const { nodeId, guilty } = crash;
  const { known, ledger, cleared } = state.quarantine;
  const fingerprints = crash.fingerprints.filter((one) =>
    guilty?.includes(one) === true || !isRecentlyCleared(cleared, one, nowMs)
  );
  const noted = putQuarantine(state, {
    known: recordSuspects(known, fingerprints, nowMs),
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
  return chainReduction(
    stepLedger(next, { type: "Ticked" }, nowMs),
    (ticked) => checkSuspects(ticked, nowMs),
  );
}

/** Forgets the suspects that their owner says it has cleared. */
export function takeChecked(
  state: NodeState,
  cleared: readonly Fingerprint[],
  nowMs: number,
): NodeState {
  return cleared.reduce(
    (next, fingerprint) =>
      noteDecision(
        next,
        { fingerprint, isCleared: true, quarantineMs: 0 },
        nowMs,
      ),
    state,
  );
}

/**
 * Asks owners about suspects that stay: without it, a node that missed one
 * message refused that request beside any other suspect for two days.
 */
function checkSuspects(state: NodeState, nowMs: number): Step {
  const { known, checkedAtMs, ledger } = state.quarantine;
  if (known.size === 0 || nowMs - checkedAtMs < CHECK_MS) {
    return createReduction(state);
  }
  const byOwner = new Map<string, Fingerprint[]>();
  for (const fingerprint of listSuspectsToCheck(known, nowMs)) {
    const owner = findOwner(state, fingerprint)?.ingress;
    if (owner === undefined || ledger.suspects.has(fingerprint)) {
      continue;
    }
    const fingerprints = byOwner.get(owner) ?? [];
    byOwner.set(owner, fingerprints);
    fingerprints.push(fingerprint);
  }
  const asks = [...byOwner].map(([owner, fingerprints]) =>
    createAsk(`${CHECK_PREFIX}${owner}`, owner, {
      type: "CheckSuspects",
      fingerprints: fingerprints.slice(0, MAX_VERDICTS),
    })
  );
  const next = putQuarantine(state, { checkedAtMs: nowMs });
  return createReduction(next, asks);
}

function noteMessage(
  state: NodeState,
  message: Exclude<
    QuarantineMessage,
    { type: "RequestRun" | "CheckSuspects" }
  >,
  nowMs: number,
): Step {
  switch (message.type) {
    case "TellSuspects":
      return noteCrash(state, message, nowMs);
    case "TellVerdicts": {
      return createReduction(
        message.verdicts.reduce(
          (before, verdict) => noteDecision(before, verdict, nowMs),
          state,
        ),
      );
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
  const told = { type: "TellVerdicts", verdicts: [verdict] } as const;
  const tells = listPeers(state)
    .filter(({ nodeId }) => nodeId !== state.self.nodeId)
    .map(({ nodeId, ingress }) =>
      createAsk(`${VERDICT_PREFIX}${nodeId}`, ingress, told)
    );
  return createReduction(noteDecision(state, verdict, nowMs), [
    {
      type: "RecordEvent",
      event: isCleared
        ? { type: "SuspectCleared", fingerprint }
        : { type: "RequestQuarantined", fingerprint, lengthMs: quarantineMs },
    },
    ...tells,
  ]);
}

/** Notes what the owner decided, and when it cleared a suspect. */
function noteDecision(
  state: NodeState,
  verdict: Verdict,
  nowMs: number,
): NodeState {
  const { fingerprint, isCleared } = verdict;
  const known = recordVerdict(state.quarantine.known, verdict, nowMs);
  const cleared = isCleared
    ? recordCleared(state.quarantine.cleared, fingerprint, nowMs)
    : deleteEntry(state.quarantine.cleared, fingerprint);
  return putQuarantine(state, { known, cleared });
}
