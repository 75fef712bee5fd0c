/** The one place that decides on suspects: who may run them, and until when. */
import { deleteEntry, setEntry } from "../../../base/common/maps.ts";
import { createReduction } from "../../../base/common/reduction.ts";
import type { Reduction } from "../../../base/common/reduction.ts";

/** A kind of request with its key or digest; never the id of a request. */
export type Fingerprint = string;

/** Permission for one run of a suspect on one node. */
export interface RunLease {
  readonly nodeId: string;
  readonly leaseId: number;
  /** Wall clock in milliseconds. */
  readonly endsAtMs: number;
}

/** A request that ran when a backend server died. */
export interface Suspect {
  readonly lease: RunLease | undefined;
  /** Refused until then; 0 before the second crash. */
  readonly quarantinedUntilMs: number;
  /** Quarantines so far: each doubles the next. */
  readonly quarantineCount: number;
  /** Forgotten when nobody asked for so long. */
  readonly seenAtMs: number;
}

/** The suspects that this node decides on. */
export interface QuarantineState {
  readonly suspects: ReadonlyMap<Fingerprint, Suspect>;
  readonly nextLeaseId: number;
}

/** What happens to suspects. */
export type QuarantineEvent =
  | {
    readonly type: "BackendCrashed";
    readonly nodeId: string;
    /** What the backend server was running. */
    readonly fingerprints: readonly Fingerprint[];
    /**
     * The sole suspect among them, where the node knows what else ran: with
     * one culprit, it is in both crashes. Left out: whoever ran by a lease.
     */
    readonly guilty?: readonly Fingerprint[];
  }
  | {
    readonly type: "RunRequested";
    readonly askId: number;
    readonly nodeId: string;
    readonly fingerprint: Fingerprint;
    /** Longest time of the run, in milliseconds. */
    readonly timeoutMs: number;
  }
  /** The run came to a whole answer, and the backend server lives. */
  | {
    readonly type: "RunFinished";
    readonly fingerprint: Fingerprint;
    readonly leaseId: number;
  }
  /** The lease is given back: the run was never begun, or given up. */
  | {
    readonly type: "RunWithdrawn";
    readonly nodeId: string;
    readonly fingerprint: Fingerprint;
    /** Undefined where it is not known; any lease of the node then. */
    readonly leaseId: number | undefined;
  }
  | { readonly type: "Ticked" };

/** Answers to those that asked, and what all nodes are told. */
export type QuarantineEffect =
  | {
    readonly type: "GrantRun";
    readonly askId: number;
    /** Undefined where the request is no suspect. */
    readonly leaseId: number | undefined;
  }
  | {
    readonly type: "RefuseRun";
    readonly askId: number;
    readonly reason: "suspect_runs" | "quarantined";
    readonly retryAfterMs: number;
  }
  | { readonly type: "PublishSuspect"; readonly fingerprint: Fingerprint }
  | {
    readonly type: "PublishQuarantine";
    readonly fingerprint: Fingerprint;
    readonly untilMs: number;
  }
  | { readonly type: "PublishCleared"; readonly fingerprint: Fingerprint };

/** A step of the suspects. */
export type QuarantineStep = Reduction<QuarantineState, QuarantineEffect>;

/** First quarantine; each later one of a request is twice as long. */
export const QUARANTINE_MS = 600_000;
/** Longest quarantine. */
export const MAX_QUARANTINE_MS = 24 * 3_600_000;
/** A node that says nothing for so long after its lease lost its run. */
const LEASE_GRACE_MS = 5_000;
/** A suspect of which nothing is heard is forgotten after this. */
const SUSPECT_TTL_MS = 2 * MAX_QUARANTINE_MS;
const BUSY_RETRY_MS = 1_000;

/** No suspects. */
export const INITIAL_QUARANTINE: QuarantineState = {
  suspects: new Map(),
  nextLeaseId: 1,
};

/** Steps the suspects; `nowMs` is the wall clock in milliseconds. */
export function reduceQuarantine(
  state: QuarantineState,
  event: QuarantineEvent,
  nowMs: number,
): QuarantineStep {
  switch (event.type) {
    case "BackendCrashed":
      return recordCrash(state, event, nowMs);
    case "RunRequested":
      return requestRun(state, event, nowMs);
    case "RunFinished":
      return clearSuspect(state, event);
    case "RunWithdrawn":
      return withdrawRun(state, event);
    case "Ticked":
      return expireLeases(state, nowMs);
  }
}

/**
 * All that ran becomes suspect. A suspect that ran by a lease of the node
 * whose backend server died is guilty, unless the node says that another
 * suspect, which had been there before, ran beside it.
 */
function recordCrash(
  state: QuarantineState,
  crash: Extract<QuarantineEvent, { type: "BackendCrashed" }>,
  nowMs: number,
): QuarantineStep {
  let { suspects } = state;
  const effects: QuarantineEffect[] = [];
  for (const fingerprint of crash.fingerprints) {
    const known = suspects.get(fingerprint);
    const isLeased = known?.lease?.nodeId === crash.nodeId;
    const isGuilty = crash.guilty?.includes(fingerprint) ?? isLeased;
    const suspect = known ?? createSuspect(nowMs);
    const next = isGuilty
      ? quarantineSuspect(suspect, nowMs)
      : isLeased
      ? { ...suspect, lease: undefined }
      : suspect;
    suspects = setEntry(suspects, fingerprint, next);
    effects.push(
      isGuilty
        ? {
          type: "PublishQuarantine",
          fingerprint,
          untilMs: next.quarantinedUntilMs,
        }
        : { type: "PublishSuspect", fingerprint },
    );
  }
  return createReduction({ ...state, suspects }, effects);
}

function requestRun(
  state: QuarantineState,
  asked: Extract<QuarantineEvent, { type: "RunRequested" }>,
  nowMs: number,
): QuarantineStep {
  const { askId, fingerprint, nodeId, timeoutMs } = asked;
  const suspect = state.suspects.get(fingerprint);
  if (suspect === undefined) {
    return createReduction(state, [
      { type: "GrantRun", askId, leaseId: undefined },
    ]);
  }
  if (suspect.quarantinedUntilMs > nowMs) {
    const retryAfterMs = suspect.quarantinedUntilMs - nowMs;
    return createReduction(state, [
      { type: "RefuseRun", askId, reason: "quarantined", retryAfterMs },
    ]);
  }
  if (suspect.lease !== undefined) {
    const retryAfterMs = BUSY_RETRY_MS;
    return createReduction(state, [
      { type: "RefuseRun", askId, reason: "suspect_runs", retryAfterMs },
    ]);
  }
  const leaseId = state.nextLeaseId;
  const endsAtMs = nowMs + timeoutMs + LEASE_GRACE_MS;
  const lease: RunLease = { nodeId, leaseId, endsAtMs };
  const suspects = setEntry(state.suspects, fingerprint, {
    ...suspect,
    lease,
    seenAtMs: nowMs,
  });
  return createReduction({ suspects, nextLeaseId: leaseId + 1 }, [
    { type: "GrantRun", askId, leaseId },
  ]);
}

function clearSuspect(
  state: QuarantineState,
  run: { readonly fingerprint: Fingerprint; readonly leaseId: number },
): QuarantineStep {
  const { fingerprint, leaseId } = run;
  if (state.suspects.get(fingerprint)?.lease?.leaseId !== leaseId) {
    return createReduction(state);
  }
  const suspects = deleteEntry(state.suspects, fingerprint);
  return createReduction({ ...state, suspects }, [
    { type: "PublishCleared", fingerprint },
  ]);
}

/** Ends a lease that proved nothing: the suspect stays one. */
function withdrawRun(
  state: QuarantineState,
  run: Extract<QuarantineEvent, { type: "RunWithdrawn" }>,
): QuarantineStep {
  const { fingerprint, leaseId, nodeId } = run;
  const suspect = state.suspects.get(fingerprint);
  const lease = suspect?.lease;
  const isSame = lease !== undefined && lease.nodeId === nodeId &&
    (leaseId === undefined || lease.leaseId === leaseId);
  if (suspect === undefined || !isSame) {
    return createReduction(state);
  }
  const freed: Suspect = { ...suspect, lease: undefined };
  const suspects = setEntry(state.suspects, fingerprint, freed);
  return createReduction({ ...state, suspects });
}

/** A lease that ran out without a word counts as a crash: its node is gone. */
function expireLeases(state: QuarantineState, nowMs: number): QuarantineStep {
  let { suspects } = state;
  const effects: QuarantineEffect[] = [];
  for (const [fingerprint, suspect] of state.suspects) {
    if (suspect.lease !== undefined && suspect.lease.endsAtMs <= nowMs) {
      const next = quarantineSuspect(suspect, nowMs);
      const untilMs = next.quarantinedUntilMs;
      suspects = setEntry(suspects, fingerprint, next);
      effects.push({ type: "PublishQuarantine", fingerprint, untilMs });
    } else if (nowMs - suspect.seenAtMs > SUSPECT_TTL_MS) {
      suspects = deleteEntry(suspects, fingerprint);
      effects.push({ type: "PublishCleared", fingerprint });
    }
  }
  return createReduction(
    suspects === state.suspects ? state : { ...state, suspects },
    effects,
  );
}

function createSuspect(nowMs: number): Suspect {
  return {
    lease: undefined,
    quarantinedUntilMs: 0,
    quarantineCount: 0,
    seenAtMs: nowMs,
  };
}

function quarantineSuspect(suspect: Suspect, nowMs: number): Suspect {
  const lengthMs = QUARANTINE_MS * 2 ** suspect.quarantineCount;
  return {
    lease: undefined,
    quarantinedUntilMs: nowMs + Math.min(MAX_QUARANTINE_MS, lengthMs),
    quarantineCount: suspect.quarantineCount + 1,
    seenAtMs: nowMs,
  };
}
