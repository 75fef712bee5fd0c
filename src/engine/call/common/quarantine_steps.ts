/**
 * Leases at the node that runs suspects. A suspect is a request that ran when a
 * backend server crashed. It runs only with a lease from its owner, the node of
 * the service that decides on it.
 */
import { deleteEntry, setEntry } from "../../../base/common/maps.ts";
import {
  appendEffects,
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import type { Reduction } from "../../../base/common/reduction.ts";
import type { Announcement } from "../../membership/common/announcement.ts";
import type {
  LocalLease,
  NodeQuarantine,
} from "../../quarantine/common/node_quarantine.ts";
import {
  QUARANTINE_PREFIX,
  QUARANTINE_TIMEOUT_MS,
} from "../../quarantine/common/quarantine_messages.ts";
import type { QuarantineMessage } from "../../quarantine/common/quarantine_messages.ts";
import type { Fingerprint } from "../../quarantine/common/quarantine_reducer.ts";
import { chooseOwner } from "../../quarantine/common/suspect_owner.ts";
import type { TableRow } from "../../table/common/table_row.ts";
import type { OwnAnswer } from "./answers.ts";
import type { NodeEffect } from "./call_events.ts";
import type { NodeState, ServedCall } from "./node_state.ts";

type Step = Reduction<NodeState, NodeEffect>;

/** Why an attempt can't run yet. */
export type SuspectCheck =
  | { readonly type: "Refused"; readonly answer: OwnAnswer }
  /** A lease is requested from the owner; the attempt waits for its reply. */
  | { readonly type: "Asked"; readonly step: Step };

/** Prefix of the request ids of lease requests; the attempt id follows. */
export const LEASE_PREFIX = `${QUARANTINE_PREFIX}lease/`;
/** Prefix of the request ids of lease ends; the attempt id follows. */
export const END_PREFIX = `${QUARANTINE_PREFIX}end/`;
/** Time for which an abandoned run counts as still running. */
const LINGER_MS = 3_000;
/** Interval at which the end of a lease is reported until the owner replies. */
const END_RETRY_INTERVAL_MS = 1_000;
/** Time after which an unreachable owner is no longer notified of the end. */
const END_TIMEOUT_MS = 60_000;
/** Delay after which the caller of a refused suspect may retry. */
const RETRY_AFTER_MS = 1_000;
const MAX_ABANDONED_RUNS = 64;

/** Answer to a suspect whose owner is unknown or does not reply. */
export const OWNER_UNAVAILABLE: OwnAnswer = {
  status: 503,
  outcome: "not-run",
  message: "This attempt was not run: a backend server died with such a " +
    "request, and the node that decides on it does not answer",
  retryAfterMs: RETRY_AFTER_MS,
};

/**
 * Identifies a request by its kind and a digest of its content; never by an id
 * or key, which a caller may change with each resend.
 */
export function createFingerprint(
  row: TableRow,
  digest: string | undefined,
): Fingerprint | undefined {
  return digest === undefined ? undefined : `${row.kind}|${digest}`;
}

/** Checks an attempt before it runs; undefined where it may run. */
export function checkSuspect(
  state: NodeState,
  call: ServedCall,
  nowMs: number,
): SuspectCheck | undefined {
  const { known, leases } = state.quarantine;
  const suspect = known.get(call.fingerprint ?? "");
  const isLeased = leases.get(call.attemptId)?.leaseId !== undefined;
  if (suspect === undefined || isLeased) {
    return undefined;
  }
  const waitMs = suspect.quarantinedUntilMs - nowMs;
  if (waitMs > 0) {
    return { type: "Refused", answer: createQuarantinedAnswer(waitMs) };
  }
  if ([...leases.values()].some((lease) => lease.phase !== "ending")) {
    return { type: "Refused", answer: createBusyAnswer(RETRY_AFTER_MS) };
  }
  return requestLease(state, call, nowMs);
}

/**
 * Creates the answer to a request in quarantine. Its status is not 5xx, as
 * clients retry those.
 */
export function createQuarantinedAnswer(waitMs: number): OwnAnswer {
  return {
    status: 422,
    outcome: "not-run",
    message: "This request is in quarantine: backend servers died when they " +
      "ran it",
    retryAfterMs: waitMs,
  };
}

/** Creates the answer to a suspect while another run of a suspect is active. */
export function createBusyAnswer(retryAfterMs: number): OwnAnswer {
  return {
    status: 503,
    outcome: "not-run",
    message: "This attempt was not run: a backend server died with such a " +
      "request, and one at a time is tried",
    retryAfterMs,
  };
}

/** Whether the lease request of an attempt is pending. */
export function isAwaitingLease(state: NodeState, attemptId: string): boolean {
  return state.quarantine.leases.get(attemptId)?.phase === "asking";
}

/** Ends the lease of an attempt, if it has one, and notifies the owner. */
export function endLease(
  state: NodeState,
  attemptId: string,
  end: { readonly isWhole: boolean; readonly nowMs: number },
): Step {
  const lease = state.quarantine.leases.get(attemptId);
  if (lease === undefined || lease.phase === "ending") {
    return createReduction(state);
  }
  const { isWhole, nowMs } = end;
  const ending: LocalLease = {
    ...lease,
    phase: "ending",
    isWhole,
    phaseStartedAtMs: nowMs,
    notifiedAtMs: nowMs,
  };
  return createReduction(putLease(state, attemptId, ending), [
    createEndRequest(state, attemptId, ending),
  ]);
}

/** Records an abandoned run, with which the backend server may continue. */
export function recordAbandoned(
  state: NodeState,
  call: ServedCall,
  nowMs: number,
): NodeState {
  const { attemptId, fingerprint } = call;
  if (fingerprint === undefined) {
    return state;
  }
  const run = { fingerprint, untilMs: nowMs + LINGER_MS };
  const abandoned = [...state.quarantine.abandoned, run].slice(
    -MAX_ABANDONED_RUNS,
  );
  const recorded = putQuarantine(state, { abandoned });
  const lease = state.quarantine.leases.get(attemptId);
  return lease?.phase === "running"
    ? putLease(recorded, attemptId, {
      ...lease,
      phase: "lingering",
      phaseStartedAtMs: nowMs,
    })
    : recorded;
}

/** Ends leases that linger, and notifies owners that have not replied. */
export function tickLeases(state: NodeState, nowMs: number): Step {
  const { leases, abandoned } = state.quarantine;
  const unexpired = abandoned.filter((run) => run.untilMs > nowMs);
  const start = unexpired.length === abandoned.length
    ? state
    : putQuarantine(state, { abandoned: unexpired });
  return [...leases].reduce<Step>(
    (step, [attemptId, lease]) =>
      chainReduction(step, (s) => tickLease(s, attemptId, lease, nowMs)),
    createReduction(start),
  );
}

/** Removes a lease whose end the owner has acknowledged. */
export function applyEndReply(
  state: NodeState,
  attemptId: string,
  isAcknowledged: boolean,
): NodeState {
  const { leases } = state.quarantine;
  return isAcknowledged && leases.get(attemptId)?.phase === "ending"
    ? putQuarantine(state, { leases: deleteEntry(leases, attemptId) })
    : state;
}

/** Lists the nodes of this node's service; empty where they are not known. */
export function listPeers(state: NodeState): readonly Announcement[] {
  const service = state.routing.services.get(state.self.service);
  return service === undefined ? [] : [...service.members.values()];
}

/** Chooses the owner of a suspect; undefined where no node is known. */
export function findOwner(
  state: NodeState,
  fingerprint: Fingerprint,
): Announcement | undefined {
  const available = listPeers(state).filter((peer) => !peer.isDraining);
  return chooseOwner(available, fingerprint);
}

/** Replaces parts of the quarantine state of a node. */
export function putQuarantine(
  state: NodeState,
  change: Partial<NodeQuarantine>,
): NodeState {
  return { ...state, quarantine: { ...state.quarantine, ...change } };
}

/** Replaces the lease of an attempt. */
export function putLease(
  state: NodeState,
  attemptId: string,
  lease: LocalLease,
): NodeState {
  const leases = setEntry(state.quarantine.leases, attemptId, lease);
  return putQuarantine(state, { leases });
}

/** Creates the effect that sends a message about suspects to another node. */
export function createPeerRequest(
  requestId: string,
  address: string,
  message: QuarantineMessage,
): NodeEffect {
  const timeoutMs = QUARANTINE_TIMEOUT_MS;
  const isFresh = false;
  return {
    type: "AskPeer",
    requestId,
    address,
    message,
    timeoutMs,
    isFresh,
  };
}

/** Requests a lease from the suspect's owner. */
function requestLease(
  state: NodeState,
  call: ServedCall,
  nowMs: number,
): SuspectCheck {
  const { attemptId, deadlineMs } = call;
  const fingerprint = call.fingerprint!;
  const owner = findOwner(state, fingerprint)?.ingress;
  if (owner === undefined) {
    return { type: "Refused", answer: OWNER_UNAVAILABLE };
  }
  const lease: LocalLease = {
    fingerprint,
    owner,
    leaseId: undefined,
    phase: "asking",
    isWhole: false,
    phaseStartedAtMs: nowMs,
    notifiedAtMs: nowMs,
  };
  const { nodeId } = state.self;
  const timeoutMs = deadlineMs - nowMs;
  const request = createPeerRequest(`${LEASE_PREFIX}${attemptId}`, owner, {
    type: "RequestRun",
    nodeId,
    fingerprint,
    timeoutMs,
  });
  const step = createReduction<NodeState, NodeEffect>(
    putLease(state, attemptId, lease),
    [request],
  );
  return { type: "Asked", step };
}

/** Advances one lease that lingers or ends. */
function tickLease(
  state: NodeState,
  attemptId: string,
  lease: LocalLease,
  nowMs: number,
): Step {
  const ageMs = nowMs - lease.phaseStartedAtMs;
  if (lease.phase === "lingering" && ageMs >= LINGER_MS) {
    return endLease(state, attemptId, { isWhole: false, nowMs });
  }
  if (
    lease.phase !== "ending" ||
    nowMs - lease.notifiedAtMs < END_RETRY_INTERVAL_MS
  ) {
    return createReduction(state);
  }
  if (ageMs > END_TIMEOUT_MS) {
    const leases = deleteEntry(state.quarantine.leases, attemptId);
    return createReduction(putQuarantine(state, { leases }));
  }
  const notified: LocalLease = { ...lease, notifiedAtMs: nowMs };
  return appendEffects(
    createReduction<NodeState, NodeEffect>(
      putLease(state, attemptId, notified),
    ),
    createEndRequest(state, attemptId, notified),
  );
}

/** Creates the message that reports the end of a lease to its owner. */
function createEndRequest(
  state: NodeState,
  attemptId: string,
  lease: LocalLease,
): NodeEffect {
  const { fingerprint, isWhole, leaseId, owner } = lease;
  const { nodeId } = state.self;
  return createPeerRequest(`${END_PREFIX}${attemptId}`, owner, {
    type: "EndRun",
    nodeId,
    fingerprint,
    leaseId,
    isWhole,
  });
}
