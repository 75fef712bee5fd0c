/**
 * The node as owner of suspects: it decides which of them run, replies to lease
 * requests, and notifies the other nodes of its service.
 */
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
  createPeerRequest,
  findOwner,
  listPeers,
  putQuarantine,
} from "./quarantine_steps.ts";

type Step = Reduction<NodeState, NodeEffect>;
type Message<T extends QuarantineMessage["type"]> = Extract<
  QuarantineMessage,
  { type: T }
>;

const MAX_SUSPECTS_PER_MESSAGE = 1_024;
/** Retry delay while the owner has no capacity for another suspect. */
const LEDGER_FULL_RETRY_MS = 10_000;
/** Interval at which owners are asked about remaining suspects. */
const CHECK_INTERVAL_MS = 3_000;
/** Prefix of the request ids of verdicts; the node id follows. */
const VERDICT_PREFIX = `${QUARANTINE_PREFIX}verdict/`;
/** Prefix of the request ids of checks; the owner's address follows. */
export const CHECK_PREFIX = `${QUARANTINE_PREFIX}check/`;

/** Replies to a quarantine message of another node, or of this one. */
export function answerQuarantine(
  state: NodeState,
  request: { readonly askId: number; readonly message: QuarantineMessage },
  nowMs: number,
): Step {
  const { askId, message } = request;
  if (message.type === "RequestRun") {
    return decideRun(state, askId, message, nowMs);
  }
  if (message.type === "CheckSuspects") {
    const { cleared } = state.quarantine;
    const reply = {
      type: "SuspectsChecked",
      cleared: message.fingerprints.filter((fingerprint) =>
        cleared.has(fingerprint)
      ),
    } as const;
    return createReduction(state, [{ type: "AnswerPeer", askId, reply }]);
  }
  const acknowledgement: NodeEffect = {
    type: "AnswerPeer",
    askId,
    reply: { type: "SuspectsNoted" },
  };
  return chainReduction(
    applyMessage(state, message, nowMs),
    (next) => createReduction(next, [acknowledgement]),
  );
}

/**
 * Records what ran when a backend server crashed, and applies it to the
 * suspects that this node owns. A suspect that was cleared just before is
 * recorded again only if it is guilty, as the report may be older than the
 * verdict.
 */
export function recordCrash(
  state: NodeState,
  crash: Omit<Message<"TellSuspects">, "type">,
  nowMs: number,
): Step {
  const { nodeId, guilty } = crash;
  const { known, ledger, cleared } = state.quarantine;
  const fingerprints = crash.fingerprints.filter((fingerprint) =>
    guilty?.includes(fingerprint) === true ||
    !isRecentlyCleared(cleared, fingerprint, nowMs)
  );
  const recorded = putQuarantine(state, {
    known: recordSuspects(known, fingerprints, nowMs),
  });
  const freeCapacity = MAX_KNOWN_SUSPECTS - ledger.suspects.size;
  const added = fingerprints.filter((fingerprint) =>
    !ledger.suspects.has(fingerprint) &&
    findOwner(state, fingerprint)?.nodeId === state.self.nodeId
  ).slice(0, Math.max(0, freeCapacity));
  const owned = [
    ...fingerprints.filter((fingerprint) => ledger.suspects.has(fingerprint)),
    ...added,
  ];
  return owned.length === 0 ? createReduction(recorded) : stepLedger(
    recorded,
    { type: "BackendCrashed", nodeId, fingerprints: owned, guilty },
    nowMs,
  );
}

/**
 * Sends the suspects of the service to a node that joins it, as it may own some
 * whose records it has lost. Each suspect is sent by one node: the one that
 * would own it without the joining node.
 */
export function notifyJoinedNode(
  state: NodeState,
  joined: Announcement,
  nowMs: number,
): Step {
  const { known } = state.quarantine;
  const { nodeId, incarnation, service, ingress } = joined;
  const previous = state.routing.services.get(service)?.members.get(nodeId);
  const isKnown = previous?.incarnation === incarnation;
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
    .slice(-MAX_SUSPECTS_PER_MESSAGE)
    .map(([fingerprint, { quarantinedUntilMs }]) => ({
      fingerprint,
      isCleared: false,
      quarantineMs: Math.max(0, quarantinedUntilMs - nowMs),
    }));
  return createReduction(state, [
    createPeerRequest(`${VERDICT_PREFIX}${nodeId}`, ingress, {
      type: "TellVerdicts",
      verdicts,
    }),
  ]);
}

/** Expires suspects, and runs the periodic work of the ledger. */
export function tickLedger(state: NodeState, nowMs: number): Step {
  const { known } = state.quarantine;
  const unexpired = expireSuspects(known, nowMs);
  const next = unexpired === known
    ? state
    : putQuarantine(state, { known: unexpired });
  return chainReduction(
    stepLedger(next, { type: "Ticked" }, nowMs),
    (ticked) => checkSuspects(ticked, nowMs),
  );
}

/** Removes the suspects that their owner reports as cleared. */
export function applyClearedSuspects(
  state: NodeState,
  cleared: readonly Fingerprint[],
  nowMs: number,
): NodeState {
  return cleared.reduce(
    (next, fingerprint) =>
      applyVerdict(
        next,
        { fingerprint, isCleared: true, quarantineMs: 0 },
        nowMs,
      ),
    state,
  );
}

/**
 * Asks owners about suspects that remain. Without this check, a node that
 * missed the message that cleared a suspect would, for two days, refuse that
 * request while any other suspect runs.
 */
function checkSuspects(state: NodeState, nowMs: number): Step {
  const { known, checkedAtMs, ledger } = state.quarantine;
  if (known.size === 0 || nowMs - checkedAtMs < CHECK_INTERVAL_MS) {
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
  const requests = [...byOwner].map(([owner, fingerprints]) =>
    createPeerRequest(`${CHECK_PREFIX}${owner}`, owner, {
      type: "CheckSuspects",
      fingerprints: fingerprints.slice(0, MAX_SUSPECTS_PER_MESSAGE),
    })
  );
  const next = putQuarantine(state, { checkedAtMs: nowMs });
  return createReduction(next, requests);
}

function applyMessage(
  state: NodeState,
  message: Exclude<
    QuarantineMessage,
    { type: "RequestRun" | "CheckSuspects" }
  >,
  nowMs: number,
): Step {
  switch (message.type) {
    case "TellSuspects":
      return recordCrash(state, message, nowMs);
    case "TellVerdicts": {
      return createReduction(
        message.verdicts.reduce(
          (before, verdict) => applyVerdict(before, verdict, nowMs),
          state,
        ),
      );
    }
    case "EndRun":
      return endRun(state, message, nowMs);
  }
}

/**
 * Decides on a lease request. An unknown suspect is added, as a previous owner
 * may have recorded it.
 */
function decideRun(
  state: NodeState,
  askId: number,
  request: Message<"RequestRun">,
  nowMs: number,
): Step {
  const { fingerprint, nodeId, timeoutMs } = request;
  const { suspects } = state.quarantine.ledger;
  const isKnown = suspects.has(fingerprint);
  if (!isKnown && suspects.size >= MAX_KNOWN_SUSPECTS) {
    const retryAfterMs = LEDGER_FULL_RETRY_MS;
    const reply = { type: "RunRefused", reason: "suspect_runs" } as const;
    return createReduction(state, [
      { type: "AnswerPeer", askId, reply: { ...reply, retryAfterMs } },
    ]);
  }
  const fingerprints = isKnown ? [] : [fingerprint];
  const recorded = stepLedger(
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
  return chainReduction(recorded, (next) => stepLedger(next, event, nowMs));
}

/**
 * Ends a run. One that did all its work clears its suspect; any other only
 * returns the lease.
 */
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

/** Applies an event to the ledger, and carries out its decisions. */
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
    (previous, effect) =>
      chainReduction(previous, (s) => applyDecision(s, effect, nowMs)),
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
      // The node of the crashed backend server has notified all others.
      return createReduction(state);
    case "PublishQuarantine": {
      const { fingerprint } = effect;
      const lengthMs = effect.untilMs - nowMs;
      return publishVerdict(state, {
        fingerprint,
        isCleared: false,
        quarantineMs: lengthMs,
      }, nowMs);
    }
    case "PublishCleared": {
      const { fingerprint } = effect;
      return publishVerdict(state, {
        fingerprint,
        isCleared: true,
        quarantineMs: 0,
      }, nowMs);
    }
  }
}

/** Records a verdict of this node, and sends it to the others. */
function publishVerdict(
  state: NodeState,
  verdict: Verdict,
  nowMs: number,
): Step {
  const { fingerprint, isCleared, quarantineMs } = verdict;
  const message = { type: "TellVerdicts", verdicts: [verdict] } as const;
  const notifications = listPeers(state)
    .filter(({ nodeId }) => nodeId !== state.self.nodeId)
    .map(({ nodeId, ingress }) =>
      createPeerRequest(`${VERDICT_PREFIX}${nodeId}`, ingress, message)
    );
  return createReduction(applyVerdict(state, verdict, nowMs), [
    {
      type: "RecordEvent",
      event: isCleared
        ? { type: "SuspectCleared", fingerprint }
        : { type: "RequestQuarantined", fingerprint, lengthMs: quarantineMs },
    },
    ...notifications,
  ]);
}

/** Records the owner's verdict, and the time of one that clears a suspect. */
function applyVerdict(
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
