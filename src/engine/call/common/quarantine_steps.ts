/** Leases of suspects at the node that runs them: asked, held, given back. */
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

/** What stands in the way of a run. */
export type SuspectCheck =
  | { readonly type: "Refused"; readonly answer: OwnAnswer }
  /** The owner is asked; the attempt waits. */
  | { readonly type: "Asked"; readonly step: Step };

/** Request ids of questions for leases begin with this. */
export const LEASE_PREFIX = `${QUARANTINE_PREFIX}lease/`;
/** Request ids of the ends of leases begin with this. */
export const END_PREFIX = `${QUARANTINE_PREFIX}end/`;
/** How long the backend server may go on with a run that was given up. */
const LINGER_MS = 3_000;
/** Time between two tries to tell the owner of the end. */
const END_RETRY_MS = 1_000;
/** An owner that can't be told for so long is given up. */
const END_PATIENCE_MS = 60_000;
const RETRY_AFTER_MS = 1_000;
/** Most runs that were given up and are remembered. */
const MAX_ABANDONED = 64;

/** A suspect that can't be told from its owner's answer to run. */
export const NO_OWNER: OwnAnswer = {
  status: 503,
  outcome: "not-run",
  message: "This attempt was not run: a backend server died with such a " +
    "request, and the node that decides on it does not answer",
  retryAfterMs: RETRY_AFTER_MS,
};

/**
 * Names a request by its kind and bytes; never by an id or key, which a caller
 * may change with each resend.
 */
export function createFingerprint(
  row: TableRow,
  digest: string | undefined,
): Fingerprint | undefined {
  return digest === undefined ? undefined : `${row.kind}|${digest}`;
}

/** Checks an attempt before it runs; undefined where nothing is in the way. */
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
  const restMs = suspect.quarantinedUntilMs - nowMs;
  if (restMs > 0) {
    return { type: "Refused", answer: createQuarantined(restMs) };
  }
  if ([...leases.values()].some((lease) => lease.phase !== "ending")) {
    return { type: "Refused", answer: createBusy(RETRY_AFTER_MS) };
  }
  return askOwner(state, call, nowMs);
}

/** Answer to a request in quarantine. Not 5xx: clients resend those. */
export function createQuarantined(restMs: number): OwnAnswer {
  return {
    status: 422,
    outcome: "not-run",
    message: "This request is in quarantine: backend servers died when they " +
      "ran it",
    retryAfterMs: restMs,
  };
}

/** Answer to a suspect while another run of a suspect is under way. */
export function createBusy(retryAfterMs: number): OwnAnswer {
  return {
    status: 503,
    outcome: "not-run",
    message: "This attempt was not run: a backend server died with such a " +
      "request, and one at a time is tried",
    retryAfterMs,
  };
}

/** Whether the owner is still being asked for an attempt. */
export function isAwaitingLease(state: NodeState, attemptId: string): boolean {
  return state.quarantine.leases.get(attemptId)?.phase === "asking";
}

/** Ends the lease of an attempt, if it has one, and tells the owner. */
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
    createEnd(state, attemptId, ending),
  ]);
}

/** A run is given up here, while the backend server may go on with it. */
export function noteAbandoned(
  state: NodeState,
  call: ServedCall,
  nowMs: number,
): NodeState {
  const { attemptId, fingerprint } = call;
  if (fingerprint === undefined) {
    return state;
  }
  const run = { fingerprint, untilMs: nowMs + LINGER_MS };
  const abandoned = [...state.quarantine.abandoned, run].slice(-MAX_ABANDONED);
  const noted = putQuarantine(state, { abandoned });
  const lease = state.quarantine.leases.get(attemptId);
  return lease?.phase === "running"
    ? putLease(noted, attemptId, {
      ...lease,
      phase: "lingering",
      phaseStartedAtMs: nowMs,
    })
    : noted;
}

/** Time has passed: ends leases that linger, and tells owners again. */
export function tickLeases(state: NodeState, nowMs: number): Step {
  const { leases, abandoned } = state.quarantine;
  const late = abandoned.filter((run) => run.untilMs > nowMs);
  const start = late.length === abandoned.length
    ? state
    : putQuarantine(state, { abandoned: late });
  return [...leases].reduce<Step>(
    (step, [attemptId, lease]) =>
      chainReduction(step, (s) => tickLease(s, attemptId, lease, nowMs)),
    createReduction(start),
  );
}

/** The owner was told that a lease is over, or couldn't be reached. */
export function takeEndReply(
  state: NodeState,
  attemptId: string,
  isTold: boolean,
): NodeState {
  const { leases } = state.quarantine;
  return isTold && leases.get(attemptId)?.phase === "ending"
    ? putQuarantine(state, { leases: deleteEntry(leases, attemptId) })
    : state;
}

/** Lists the nodes of the own service; empty where they are not known. */
export function listPeers(state: NodeState): readonly Announcement[] {
  const service = state.routing.services.get(state.self.service);
  return service === undefined ? [] : [...service.members.values()];
}

/** Chooses who decides on a suspect; undefined where no node is known. */
export function findOwner(
  state: NodeState,
  fingerprint: Fingerprint,
): Announcement | undefined {
  const live = listPeers(state).filter((peer) => !peer.isDraining);
  return chooseOwner(live, fingerprint);
}

/** Replaces parts of what the node knows of suspects. */
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

/** Creates the effect that asks or tells another node. */
export function createAsk(
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

function askOwner(
  state: NodeState,
  call: ServedCall,
  nowMs: number,
): SuspectCheck {
  const { attemptId, deadlineMs } = call;
  const fingerprint = call.fingerprint!;
  const owner = findOwner(state, fingerprint)?.ingress;
  if (owner === undefined) {
    return { type: "Refused", answer: NO_OWNER };
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
  const ask = createAsk(`${LEASE_PREFIX}${attemptId}`, owner, {
    type: "RequestRun",
    nodeId,
    fingerprint,
    timeoutMs,
  });
  const step = createReduction<NodeState, NodeEffect>(
    putLease(state, attemptId, lease),
    [ask],
  );
  return { type: "Asked", step };
}

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
  if (lease.phase !== "ending" || nowMs - lease.notifiedAtMs < END_RETRY_MS) {
    return createReduction(state);
  }
  if (ageMs > END_PATIENCE_MS) {
    const leases = deleteEntry(state.quarantine.leases, attemptId);
    return createReduction(putQuarantine(state, { leases }));
  }
  const told: LocalLease = { ...lease, notifiedAtMs: nowMs };
  return appendEffects(
    createReduction<NodeState, NodeEffect>(putLease(state, attemptId, told)),
    createEnd(state, attemptId, told),
  );
}

function createEnd(
  state: NodeState,
  attemptId: string,
  lease: LocalLease,
): NodeEffect {
  const { fingerprint, isWhole, leaseId, owner } = lease;
  const { nodeId } = state.self;
  return createAsk(`${END_PREFIX}${attemptId}`, owner, {
    type: "EndRun",
    nodeId,
    fingerprint,
    leaseId,
    isWhole,
  });
}
