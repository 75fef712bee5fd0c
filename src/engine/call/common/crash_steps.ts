/** Finds out whether a failed attempt was a crash, and tells of what ran. */
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
import { withdrawServed } from "./claim_steps.ts";
import type { NodeState, ServedCall } from "./node_state.ts";
import { CHECK_PREFIX, noteCrash, takeChecked } from "./quarantine_ledger.ts";
import {
  createAsk,
  createBusy,
  createQuarantined,
  END_PREFIX,
  endLease,
  LEASE_PREFIX,
  listPeers,
  NO_OWNER,
  putLease,
  putQuarantine,
  takeEndReply,
} from "./quarantine_steps.ts";
import { failServed } from "./served_reducer.ts";
import { isUnsent, refuseServed, sendServed } from "./served_steps.ts";
import type { NodeStep, ServedDeps } from "./served_types.ts";

/** Ends a served attempt whose failure was held; passed in by the node. */
export type SettleHeld = (state: NodeState, held: HeldFailure) => NodeStep;

const TELL_PREFIX = `${QUARANTINE_PREFIX}tell/`;
/** Resets at once that show a crash, though the backend server is back. */
const MIN_RESETS = 2;
/** Most nodes that are told of suspects. */
const MAX_TOLD = 1_000;

/**
 * An attempt failed at the local backend server. One that was sent is held
 * until it is clear whether the backend server died, and until its other
 * nodes know: whoever resends it then meets nodes that have been told.
 */
export function takeFailure(
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
  const isJudged = state.quarantine.watch === undefined &&
    state.quarantine.lastSuspectedAttempts.has(attemptId);
  if (isSent && !isJudged) {
    return keepFailure(state, { attemptId, reason, isReset, isCut: false });
  }
  const { nowMs } = deps;
  return chainReduction(
    endLease(state, attemptId, { isWhole: false, nowMs }),
    (next) => failServed(next, failure, deps),
  );
}

/** Holds the end of an attempt until it is clear whether it was a crash. */
export function keepFailure(state: NodeState, failure: HeldFailure): NodeStep {
  const { watch } = state.quarantine;
  if (watch === undefined) {
    return startWatch(state, [failure]);
  }
  const held = [...watch.heldFailures, failure];
  return createReduction(
    putQuarantine(state, { watch: { ...watch, heldFailures: held } }),
  );
}

/** The backend server was probed: all that ran is suspect, or nothing is. */
export function takeProbe(
  state: NodeState,
  isAlive: boolean,
  settle: SettleHeld,
  deps: ServedDeps,
): NodeStep {
  const { watch } = state.quarantine;
  if (watch === undefined || watch.suspectedAttempts !== undefined) {
    return createReduction(state);
  }
  if (!isAlive || isAllReset(state, watch)) {
    return chainReduction(
      reportCrash(state, watch, deps.nowMs),
      (next) => settleTold(next, settle),
    );
  }
  const freed = watch.heldFailures.reduce<NodeStep>(
    (step, { attemptId }) =>
      chainReduction(
        step,
        (s) => endLease(s, attemptId, { isWhole: false, nowMs: deps.nowMs }),
      ),
    createReduction(state),
  );
  return chainReduction(freed, (next) => settleAll(next, settle));
}

/** Another node replied to a question or message about suspects. */
export function takeQuarantineReply(
  state: NodeState,
  replied: {
    readonly requestId: string;
    readonly reply: QuarantineReply | undefined;
  },
  settle: SettleHeld,
  deps: ServedDeps,
): NodeStep {
  const { requestId, reply } = replied;
  if (requestId.startsWith(LEASE_PREFIX)) {
    const attemptId = requestId.slice(LEASE_PREFIX.length);
    return takeLease(state, attemptId, reply, deps);
  }
  if (requestId.startsWith(END_PREFIX)) {
    const attemptId = requestId.slice(END_PREFIX.length);
    const isTold = reply !== undefined;
    return createReduction(takeEndReply(state, attemptId, isTold));
  }
  if (requestId.startsWith(CHECK_PREFIX)) {
    return createReduction(
      reply?.type === "SuspectsChecked"
        ? takeChecked(state, reply.cleared, deps.nowMs)
        : state,
    );
  }
  const { watch } = state.quarantine;
  if (watch?.pendingNotifications.has(requestId) !== true) {
    return createReduction(state);
  }
  const untold = new Set(watch.pendingNotifications);
  untold.delete(requestId);
  const next = putQuarantine(state, {
    watch: { ...watch, pendingNotifications: untold },
  });
  return settleTold(next, settle);
}

function takeLease(
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
      ? createQuarantined(reply.retryAfterMs)
      : createBusy(reply.retryAfterMs);
    return refuseSuspect(putQuarantine(state, { leases }), {
      call,
      answer,
    }, deps);
  }
  // The lease may have been granted: it is given back, as nothing ran.
  const leaseId = reply?.type === "RunGranted" ? reply.leaseId : undefined;
  const known = putLease(state, attemptId, { ...lease, leaseId });
  return chainReduction(
    endLease(known, attemptId, { isWhole: false, nowMs }),
    (next) => refuseSuspect(next, { call, answer: NO_OWNER }, deps),
  );
}

function refuseSuspect(
  state: NodeState,
  refused: {
    readonly call: ServedCall | undefined;
    readonly answer: typeof NO_OWNER;
  },
  deps: ServedDeps,
): NodeStep {
  const { call, answer } = refused;
  if (call === undefined) {
    return createReduction(state);
  }
  const { attemptId } = call;
  return chainReduction(
    withdrawServed(state, attemptId),
    (next) => refuseServed(next, attemptId, answer, deps),
  );
}

function startWatch(
  state: NodeState,
  held: readonly HeldFailure[],
): NodeStep {
  const watch: CrashWatch = {
    heldFailures: held,
    pendingNotifications: new Set(),
    suspectedAttempts: undefined,
  };
  return createReduction(putQuarantine(state, { watch }), [
    { type: "ProbeBackend", address: state.backendAddress },
  ]);
}

/** Whether all that ran was reset at once: a process that is back already. */
function isAllReset(state: NodeState, watch: CrashWatch): boolean {
  const failed = new Set(watch.heldFailures.map(({ attemptId }) => attemptId));
  return failed.size >= MIN_RESETS &&
    watch.heldFailures.every(({ isReset }) => isReset) &&
    listSent(state).every(({ attemptId }) => failed.has(attemptId));
}

/** Lists the attempts that the backend server has seen and not ended. */
function listSent(state: NodeState): readonly ServedCall[] {
  const { lastSuspectedAttempts: lastJudged } = state.quarantine;
  return [...state.served.values()].filter((call) =>
    !isUnsent(state, call) && !lastJudged.has(call.attemptId)
  );
}

function reportCrash(
  state: NodeState,
  watch: CrashWatch,
  nowMs: number,
): NodeStep {
  const { known, leases, abandoned, nextNotification: nextTell } =
    state.quarantine;
  const sent = listSent(state);
  const fingerprints = [
    ...new Set(
      [...sent, ...abandoned.filter((run) => run.untilMs > nowMs)]
        .map(({ fingerprint }) => fingerprint)
        .filter((one): one is Fingerprint => one !== undefined),
    ),
  ];
  const suspects = fingerprints.filter((one) => known.has(one));
  const guilty = suspects.length === 1 ? suspects : [];
  const { nodeId } = state.self;
  const peers = listPeers(state)
    .filter((peer) => peer.nodeId !== nodeId)
    .slice(0, MAX_TOLD);
  const ids = peers.map((peer) => `${TELL_PREFIX}${nextTell}/${peer.nodeId}`);
  const crash = { nodeId, fingerprints, guilty };
  const over = [...leases].filter(([, { phase }]) =>
    phase !== "running" && phase !== "lingering"
  );
  const judged = new Set(sent.map(({ attemptId }) => attemptId));
  const next = putQuarantine(state, {
    leases: new Map(over),
    abandoned: [],
    lastSuspectedAttempts: judged,
    nextNotification: nextTell + 1,
    watch: {
      ...watch,
      pendingNotifications: new Set(ids),
      suspectedAttempts: judged,
    },
  });
  const event = { type: "BackendCrashed", suspects: fingerprints.length };
  const effects: readonly NodeEffect[] = [
    {
      type: "RecordEvent",
      event: event as { type: "BackendCrashed"; suspects: number },
    },
    ...peers.map((peer, index) =>
      createAsk(ids[index]!, peer.ingress, { type: "TellSuspects", ...crash })
    ),
  ];
  return appendEffects(noteCrash(next, crash, nowMs), ...effects);
}

/** Once all nodes have been told, whoever waits for an answer gets one. */
function settleTold(state: NodeState, settle: SettleHeld): NodeStep {
  const { watch } = state.quarantine;
  if (watch === undefined || watch.pendingNotifications.size > 0) {
    return createReduction(state);
  }
  const { suspectedAttempts: judged } = watch;
  const isNew = ({ attemptId }: HeldFailure) =>
    judged?.has(attemptId) !== true && state.served.has(attemptId);
  const later = watch.heldFailures.filter(isNew);
  const held = watch.heldFailures.filter((failure) => !isNew(failure));
  const rest = putQuarantine(state, {
    watch: { ...watch, heldFailures: held },
  });
  const settled = settleAll(rest, settle);
  return later.length === 0
    ? settled
    : chainReduction(settled, (next) => startWatch(next, later));
}

function settleAll(state: NodeState, settle: SettleHeld): NodeStep {
  const held = state.quarantine.watch?.heldFailures ?? [];
  const done = putQuarantine(state, { watch: undefined });
  return held.reduce<NodeStep>(
    (step, failure) =>
      chainReduction(
        step,
        (s) =>
          s.served.has(failure.attemptId)
            ? settle(s, failure)
            : createReduction(s),
      ),
    createReduction(done),
  );
}
