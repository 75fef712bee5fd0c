/**
 * Decides whether failed attempts are due to a crash of the backend server, and
 * reports the suspects, the requests that ran then, to the service's nodes.
 */
import { deleteEntry } from "../../../base/common/maps.ts";
import {
  appendEffects,
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import type {
  CrashWatch,
  HeldFailure,
} from "../../quarantine/common/node_quarantine.ts";
import { QUARANTINE_PREFIX } from "../../quarantine/common/quarantine_messages.ts";
import type { QuarantineReply } from "../../quarantine/common/quarantine_messages.ts";
import type { Fingerprint } from "../../quarantine/common/quarantine_reducer.ts";
import type { NodeEffect } from "./call_events.ts";
import { withdrawServedClaim } from "./claim_steps.ts";
import type { NodeState, ServedCall } from "./node_state.ts";
import {
  applyClearedSuspects,
  CHECK_PREFIX,
  recordCrash,
} from "./quarantine_ledger.ts";
import {
  applyEndReply,
  createBusyAnswer,
  createPeerRequest,
  createQuarantinedAnswer,
  END_PREFIX,
  endLease,
  LEASE_PREFIX,
  listPeers,
  OWNER_UNAVAILABLE,
  putLease,
  putQuarantine,
} from "./quarantine_steps.ts";
import { failServed } from "./served_reducer.ts";
import { isUnsent, refuseServed, sendServed } from "./served_steps.ts";
import type { NodeStep, ServedDeps } from "./served_types.ts";

/** Ends an attempt whose failure was held back; injected by the reducer. */
export type SettleHeldFailure = (
  state: NodeState,
  held: HeldFailure,
) => NodeStep;

/** Prefix of the request ids of crash reports. */
const CRASH_NOTICE_PREFIX = `${QUARANTINE_PREFIX}tell/`;
/**
 * Simultaneous connection resets that indicate a crash, even if the backend
 * server accepts the connection of the probe.
 */
const MIN_SIMULTANEOUS_RESETS = 2;
/** Limit of the nodes that a crash is reported to. */
const MAX_NOTIFIED_PEERS = 1_000;

/**
 * Handles the failure of an attempt at the local backend server. The failure of
 * one that was sent is held back until it is known whether the backend server
 * crashed, and that of each suspect until the other nodes are notified: a resend
 * of the request then reaches only nodes that know of the suspect.
 */
export function receiveFailure(
  state: NodeState,
  failure: {
    readonly attemptId: string;
    readonly isSent: boolean;
    readonly reason: string;
    readonly isReset?: boolean;
  },
  deps: ServedDeps,
): NodeStep {
  const { attemptId, isSent, reason, isReset = false } = failure;
  const { watch, lastSuspectedAttempts } = state.quarantine;
  const isJudged = watch === undefined && lastSuspectedAttempts.has(attemptId);
  // Reported already, though it was still on its way to the backend server.
  const isReported = watch?.suspectedAttempts?.has(attemptId) === true;
  if (isReported || isSent && !isJudged) {
    const held = { attemptId, reason, isSent, isReset, isCut: false };
    return retainFailure(state, held);
  }
  const { nowMs } = deps;
  return chainReduction(
    endLease(state, attemptId, { isWhole: false, nowMs }),
    (next) => failServed(next, failure, deps),
  );
}

/** Holds back a failure until it is known whether it was due to a crash. */
export function retainFailure(
  state: NodeState,
  failure: HeldFailure,
): NodeStep {
  const { watch } = state.quarantine;
  if (watch === undefined) {
    return startCrashWatch(state, [failure]);
  }
  const heldFailures = [...watch.heldFailures, failure];
  return createReduction(
    putQuarantine(state, { watch: { ...watch, heldFailures } }),
  );
}

/**
 * Applies the result of a probe of the backend server: either all requests that
 * ran become suspects, or none does.
 */
export function applyProbe(
  state: NodeState,
  isAlive: boolean,
  settle: SettleHeldFailure,
  deps: ServedDeps,
): NodeStep {
  const { watch } = state.quarantine;
  if (watch === undefined || watch.suspectedAttempts !== undefined) {
    return createReduction(state);
  }
  if (!isAlive || isEveryRunReset(state, watch)) {
    return chainReduction(
      reportCrash(state, watch, deps.nowMs),
      (next) => settleNotified(next, settle),
    );
  }
  const released = watch.heldFailures.reduce<NodeStep>(
    (step, { attemptId }) =>
      chainReduction(
        step,
        (s) => endLease(s, attemptId, { isWhole: false, nowMs: deps.nowMs }),
      ),
    createReduction(state),
  );
  return chainReduction(released, (next) => settleHeldFailures(next, settle));
}

/** Handles another node's reply about suspects, or its timeout. */
export function receiveQuarantineReply(
  state: NodeState,
  replied: {
    readonly requestId: string;
    readonly reply: QuarantineReply | undefined;
  },
  settle: SettleHeldFailure,
  deps: ServedDeps,
): NodeStep {
  const { requestId, reply } = replied;
  if (requestId.startsWith(LEASE_PREFIX)) {
    const attemptId = requestId.slice(LEASE_PREFIX.length);
    return applyLeaseReply(state, attemptId, reply, deps);
  }
  if (requestId.startsWith(END_PREFIX)) {
    const attemptId = requestId.slice(END_PREFIX.length);
    const isAcknowledged = reply !== undefined;
    return createReduction(applyEndReply(state, attemptId, isAcknowledged));
  }
  if (requestId.startsWith(CHECK_PREFIX)) {
    return createReduction(
      reply?.type === "SuspectsChecked"
        ? applyClearedSuspects(state, reply.cleared, deps.nowMs)
        : state,
    );
  }
  const { watch } = state.quarantine;
  if (watch?.pendingNotifications.has(requestId) !== true) {
    return createReduction(state);
  }
  const pendingNotifications = new Set(watch.pendingNotifications);
  pendingNotifications.delete(requestId);
  const next = putQuarantine(state, {
    watch: { ...watch, pendingNotifications },
  });
  return settleNotified(next, settle);
}

/** Runs or refuses a suspect, depending on the reply to its lease request. */
function applyLeaseReply(
  state: NodeState,
  attemptId: string,
  reply: QuarantineReply | undefined,
  deps: ServedDeps,
): NodeStep {
  const lease = state.quarantine.leases.get(attemptId);
  if (lease?.phase !== "asking") {
    return createReduction(state);
  }
  const { nowMs } = deps;
  const call = state.served.get(attemptId);
  if (reply?.type === "RunGranted" && call !== undefined) {
    const { leaseId } = reply;
    const granted = { ...lease, leaseId, phase: "running" } as const;
    const { fingerprint } = lease;
    const run = sendServed(
      putLease(state, attemptId, { ...granted, phaseStartedAtMs: nowMs }),
      attemptId,
      deps,
    );
    const event = { type: "SuspectRun", fingerprint } as const;
    return appendEffects(run, { type: "RecordEvent", event });
  }
  if (reply?.type === "RunRefused") {
    const leases = deleteEntry(state.quarantine.leases, attemptId);
    const answer = reply.reason === "quarantined"
      ? createQuarantinedAnswer(reply.retryAfterMs)
      : createBusyAnswer(reply.retryAfterMs);
    return refuseSuspect(putQuarantine(state, { leases }), {
      call,
      answer,
    }, deps);
  }
  // The owner may have granted a lease: it is returned, as nothing ran.
  const leaseId = reply?.type === "RunGranted" ? reply.leaseId : undefined;
  const updated = putLease(state, attemptId, { ...lease, leaseId });
  return chainReduction(
    endLease(updated, attemptId, { isWhole: false, nowMs }),
    (next) => refuseSuspect(next, { call, answer: OWNER_UNAVAILABLE }, deps),
  );
}

function refuseSuspect(
  state: NodeState,
  refused: {
    readonly call: ServedCall | undefined;
    readonly answer: typeof OWNER_UNAVAILABLE;
  },
  deps: ServedDeps,
): NodeStep {
  const { call, answer } = refused;
  if (call === undefined) {
    return createReduction(state);
  }
  const { attemptId } = call;
  return chainReduction(
    withdrawServedClaim(state, attemptId),
    (next) => refuseServed(next, attemptId, answer, deps),
  );
}

/** Starts to investigate failures: probes the backend server. */
function startCrashWatch(
  state: NodeState,
  heldFailures: readonly HeldFailure[],
): NodeStep {
  const watch: CrashWatch = {
    heldFailures,
    pendingNotifications: new Set(),
    suspectedAttempts: undefined,
  };
  return createReduction(putQuarantine(state, { watch }), [
    { type: "ProbeBackend", address: state.backendAddress },
  ]);
}

/**
 * Whether every running attempt was reset at once, as when a process crashed
 * and has already restarted.
 */
function isEveryRunReset(state: NodeState, watch: CrashWatch): boolean {
  const failed = new Set(watch.heldFailures.map(({ attemptId }) => attemptId));
  return failed.size >= MIN_SIMULTANEOUS_RESETS &&
    watch.heldFailures.every(({ isReset }) => isReset) &&
    listInFlight(state).every(({ attemptId }) => failed.has(attemptId));
}

/**
 * Lists the attempts that were sent to the backend server and have not ended,
 * except those that a crash was already attributed to.
 */
function listInFlight(state: NodeState): readonly ServedCall[] {
  const { lastSuspectedAttempts } = state.quarantine;
  return [...state.served.values()].filter((call) =>
    !isUnsent(state, call) && !lastSuspectedAttempts.has(call.attemptId)
  );
}

/**
 * Records a crash, and reports all requests that ran then to the other nodes as
 * suspects. If exactly one of them was a suspect before, it is `guilty`.
 */
function reportCrash(
  state: NodeState,
  watch: CrashWatch,
  nowMs: number,
): NodeStep {
  const { known, leases, abandoned, nextNotification } = state.quarantine;
  const sent = listInFlight(state);
  const fingerprints = [
    ...new Set(
      [...sent, ...abandoned.filter((run) => run.untilMs > nowMs)]
        .map(({ fingerprint }) => fingerprint)
        .filter((fingerprint): fingerprint is Fingerprint =>
          fingerprint !== undefined
        ),
    ),
  ];
  const suspects = fingerprints.filter((fingerprint) => known.has(fingerprint));
  const guilty = suspects.length === 1 ? suspects : [];
  const { nodeId } = state.self;
  const peers = listPeers(state)
    .filter((peer) => peer.nodeId !== nodeId)
    .slice(0, MAX_NOTIFIED_PEERS);
  const ids = peers.map((peer) =>
    `${CRASH_NOTICE_PREFIX}${nextNotification}/${peer.nodeId}`
  );
  const crash = { nodeId, fingerprints, guilty };
  const remaining = [...leases].filter(([, { phase }]) =>
    phase !== "running" && phase !== "lingering"
  );
  const suspectedAttempts = new Set(sent.map(({ attemptId }) => attemptId));
  const next = putQuarantine(state, {
    leases: new Map(remaining),
    abandoned: [],
    lastSuspectedAttempts: suspectedAttempts,
    nextNotification: nextNotification + 1,
    watch: {
      ...watch,
      pendingNotifications: new Set(ids),
      suspectedAttempts,
    },
  });
  const event = { type: "BackendCrashed", suspects: fingerprints.length };
  const effects: readonly NodeEffect[] = [
    {
      type: "RecordEvent",
      event: event as { type: "BackendCrashed"; suspects: number },
    },
    ...peers.map((peer, index) =>
      createPeerRequest(ids[index]!, peer.ingress, {
        type: "TellSuspects",
        ...crash,
      })
    ),
  ];
  return appendEffects(recordCrash(next, crash, nowMs), ...effects);
}

/**
 * Ends the held failures once every node is notified. Failures of attempts that
 * began after the crash are investigated anew.
 */
function settleNotified(state: NodeState, settle: SettleHeldFailure): NodeStep {
  const { watch } = state.quarantine;
  if (watch === undefined || watch.pendingNotifications.size > 0) {
    return createReduction(state);
  }
  const { suspectedAttempts } = watch;
  const isNew = ({ attemptId }: HeldFailure) =>
    suspectedAttempts?.has(attemptId) !== true && state.served.has(attemptId);
  const newer = watch.heldFailures.filter(isNew);
  const heldFailures = watch.heldFailures.filter((failure) => !isNew(failure));
  const rest = putQuarantine(state, {
    watch: { ...watch, heldFailures },
  });
  const settled = settleHeldFailures(rest, settle);
  return newer.length === 0
    ? settled
    : chainReduction(settled, (next) => startCrashWatch(next, newer));
}

/** Ends the investigation and the attempts whose failure was held back. */
function settleHeldFailures(
  state: NodeState,
  settle: SettleHeldFailure,
): NodeStep {
  const heldFailures = state.quarantine.watch?.heldFailures ?? [];
  const ended = putQuarantine(state, { watch: undefined });
  return heldFailures.reduce<NodeStep>(
    (step, failure) =>
      chainReduction(
        step,
        (s) =>
          s.served.has(failure.attemptId)
            ? settle(s, failure)
            : createReduction(s),
      ),
    createReduction(ended),
  );
}
