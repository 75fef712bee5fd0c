/**
 * Decisions of the owner of suspects: which node may run one, and when one is
 * quarantined or cleared. A suspect is a request that ran when a backend server
 * crashed.
 */
import { deleteEntry, setEntry } from "../../../base/common/maps.ts";
import { createReduction } from "../../../base/common/reduction.ts";
import type { Reduction } from "../../../base/common/reduction.ts";

/** Identifies equal requests by kind and key or digest, not by request id. */
export type Fingerprint = string;

/** Permission for one run of a suspect at one node. */
export interface RunLease {
  readonly nodeId: string;
  readonly leaseId: number;
  /** Steady clock in milliseconds. */
  readonly endsAtMs: number;
}

/** State of a request that ran when a backend server crashed. */
export interface Suspect {
  /** Undefined while no node may run it. */
  readonly lease: RunLease | undefined;
  /** End of the quarantine, steady clock in ms; 0 before the second crash. */
  readonly quarantinedUntilMs: number;
  /** Number of quarantines; each one doubles the length of the next. */
  readonly quarantineCount: number;
  /** When it was last suspected, quarantined or leased, steady clock in ms. */
  readonly seenAtMs: number;
}

/** State of the suspects that this node owns. */
export interface QuarantineState {
  readonly suspects: ReadonlyMap<Fingerprint, Suspect>;
  readonly nextLeaseId: number;
}

/** An event about suspects. */
export type QuarantineEvent =
  | {
    readonly type: "BackendCrashed";
    readonly nodeId: string;
    /** Requests that the backend server was running. */
    readonly fingerprints: readonly Fingerprint[];
    /**
     * The only suspect among them, if the node knows all that ran: a single
     * culprit is part of both crashes. If undefined, a suspect that ran by a
     * lease of the node is guilty.
     */
    readonly guilty?: readonly Fingerprint[];
  }
  | {
    readonly type: "RunRequested";
    /** Identifies this request in the reply. */
    readonly askId: number;
    readonly nodeId: string;
    readonly fingerprint: Fingerprint;
    /** Maximum duration of the run, in milliseconds. */
    readonly timeoutMs: number;
  }
  /** The run ended with a complete answer and without a crash. */
  | {
    readonly type: "RunFinished";
    readonly fingerprint: Fingerprint;
    readonly leaseId: number;
  }
  /** The lease is returned: the run did not begin, or was abandoned. */
  | {
    readonly type: "RunWithdrawn";
    readonly nodeId: string;
    readonly fingerprint: Fingerprint;
    /** Undefined if it is unknown; then it stands for any lease of the node. */
    readonly leaseId: number | undefined;
  }
  | { readonly type: "Ticked" };

/** A reply to a requesting node, or a notification to all nodes. */
export type QuarantineEffect =
  | {
    readonly type: "GrantRun";
    readonly askId: number;
    /** Undefined if the request is not a suspect, and needs no lease. */
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

/** A step of the reducer. */
export type QuarantineStep = Reduction<QuarantineState, QuarantineEffect>;

/** First quarantine of a request; each later one is twice as long. */
export const QUARANTINE_MS = 600_000;
/** Maximum quarantine. */
export const MAX_QUARANTINE_MS = 24 * 3_600_000;
/** Time after the end of a run at which a lease without a report expires. */
const LEASE_GRACE_MS = 5_000;
/** A suspect that is not updated expires after this time. */
const SUSPECT_TTL_MS = 2 * MAX_QUARANTINE_MS;
/** Delay before another node may retry a suspect that is running. */
const BUSY_RETRY_MS = 1_000;

/** State without suspects. */
export const INITIAL_QUARANTINE: QuarantineState = {
  suspects: new Map(),
  nextLeaseId: 1,
};

/** Applies an event; `nowMs` is the steady clock in milliseconds. */
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
 * Makes all requests that ran suspects. A suspect that ran by a lease of the
 * node whose backend server crashed is guilty, unless the node reports the
 * guilty ones: another earlier suspect may have run at the same time.
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
  event: Extract<QuarantineEvent, { type: "RunRequested" }>,
  nowMs: number,
): QuarantineStep {
  const { askId, fingerprint, nodeId, timeoutMs } = event;
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

/** Ends a lease whose run proved nothing; the suspect remains one. */
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
  const released: Suspect = { ...suspect, lease: undefined };
  const suspects = setEntry(state.suspects, fingerprint, released);
  return createReduction({ ...state, suspects });
}

/**
 * Expires leases and suspects. A lease that expires without a report counts as
 * a crash, as its node must have failed.
 */
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
