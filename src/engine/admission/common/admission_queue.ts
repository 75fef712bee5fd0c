/** Steps on the queue: run what has room, give up what must go. */
import { setEntry } from "../../../base/common/maps.ts";
import {
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import type { Reduction } from "../../../base/common/reduction.ts";
import {
  computeCapacity,
  computeMaxQueueSize,
  getKindState,
  hasFreeCapacity,
  hasInsufficientTime,
  updateKindState,
} from "./admission_capacity.ts";
import type {
  AdmissionEffect,
  AdmissionRequest,
  AdmissionState,
  QueuedRequest,
  RefusalReason,
} from "./admission_types.ts";
import { computeStartTag, selectNext, selectVictim } from "./fair_queue.ts";
import { recordOverload } from "./level_control.ts";
import { computeRetryAfter } from "./retry_after.ts";

/** A step of the admission. */
export type AdmissionStep = Reduction<AdmissionState, AdmissionEffect>;

/** A queue that stays busy for so long is overloaded, as in CoDel (RFC 8289). */
export const BUSY_INTERVAL_MS = 100;
/** Longest wait in an overloaded queue, where a service time isn't longer. */
const TARGET_WAIT_MS = 50;
/** Part of a row's timeout that may go into the wait. */
const WAIT_DIVISOR = 8;
/** The same for work already invested, and where no service time is known. */
const LONG_WAIT_DIVISOR = 4;

/** Runs queued requests while there is room, in the order of the queue. */
export function runQueued(
  state: AdmissionState,
  nowMs: number,
): AdmissionStep {
  // Under overload nearly every arrival ends here: it has to be cheap.
  if (
    state.queue.length === 0 ||
    state.running.size >= computeCapacity(state, nowMs)
  ) {
    return createReduction(state);
  }
  const next = selectNext(state.queue, {
    kinds: state.kinds,
    virtualMs: state.virtualMs,
    hasFreeCapacity: (request) => hasFreeCapacity(state, request, nowMs),
  });
  if (next === undefined) {
    return createReduction(state);
  }
  const step = hasInsufficientTime(state, next, nowMs)
    ? refuseQueued(state, next, "deadline", nowMs)
    : runRequest(state, next, nowMs);
  return chainReduction(step, (s) => runQueued(s, nowMs));
}

/** Gives up what is over the row's queue of `kind`, or over the whole queue. */
export function trimQueue(
  state: AdmissionState,
  arrived: AdmissionRequest,
  nowMs: number,
): AdmissionStep {
  const { kind, queue: most } = arrived.row;
  const sameKind = state.queue.filter((request) => request.row.kind === kind);
  const isOver = state.queue.length > computeMaxQueueSize(state, nowMs);
  const victim = sameKind.length > most
    ? selectVictim(sameKind)
    : isOver
    ? selectVictim(state.queue)
    : undefined;
  if (victim === undefined) {
    return createReduction(state);
  }
  const isArrived = victim.attemptId === arrived.attemptId;
  const reason = isArrived ? "queue_full" : "displaced";
  return refuseQueued(state, victim, reason, nowMs);
}

/** Gives up queued requests whose time no longer suffices. */
export function expireQueued(
  state: AdmissionState,
  nowMs: number,
): AdmissionStep {
  return refuseAll(
    state,
    state.queue.filter((request) => hasInsufficientTime(state, request, nowMs)),
    "deadline",
    nowMs,
  );
}

/**
 * Keeps the wait short in a queue that doesn't empty: the least important go,
 * once they have waited for longer than a service time and an eighth of the
 * timeout: a quarter of it for calls of other services, whose work would be
 * lost with them, and where no service time is known.
 */
export function shedLateRequests(
  state: AdmissionState,
  nowMs: number,
): AdmissionStep {
  const { queue, busySinceMs, running } = state;
  // Where only a row is full, its own queue and the deadline bound the wait.
  const isFull = running.size >= computeCapacity(state, nowMs);
  if (!isFull || nowMs - (busySinceMs ?? nowMs) < BUSY_INTERVAL_MS) {
    return createReduction(state);
  }
  const lowest = Math.min(...queue.map((request) => request.importance));
  const late = queue.filter((request) =>
    request.importance === lowest &&
    nowMs - request.queuedAtMs > computeMaxWait(state, request)
  );
  return refuseAll(state, late, "queue_wait", nowMs);
}

/** Refuses a request that is in no queue. */
export function refuseRequest(
  state: AdmissionState,
  attemptId: string,
  reason: RefusalReason,
  waitMs = 0,
): AdmissionStep {
  const { pressure } = state.level;
  const retryAfterMs = computeRetryAfter(attemptId, pressure, waitMs);
  return createReduction(state, [
    { type: "RefuseRequest", attemptId, reason, retryAfterMs },
  ]);
}

function runRequest(
  state: AdmissionState,
  request: QueuedRequest,
  nowMs: number,
): AdmissionStep {
  const { attemptId, row } = request;
  const { kind, weight } = row;
  const startTag = computeStartTag(state, kind);
  const costMs = Math.max(1, getKindState(state, kind).time.expectedMs ?? 1);
  const charged = updateKindState(state, kind, {
    finishTag: startTag + costMs / weight,
  });
  const running = setEntry(state.running, attemptId, {
    kind,
    startedAtMs: nowMs,
    isAnswered: false,
  });
  return createReduction({
    ...charged,
    running,
    queue: removeQueued(state.queue, attemptId),
    virtualMs: startTag,
  }, [{ type: "RunRequest", attemptId }]);
}

function refuseAll(
  state: AdmissionState,
  requests: readonly QueuedRequest[],
  reason: RefusalReason,
  nowMs: number,
): AdmissionStep {
  return requests.reduce<AdmissionStep>(
    (step, request) =>
      chainReduction(step, (s) => refuseQueued(s, request, reason, nowMs)),
    createReduction(state),
  );
}

function refuseQueued(
  state: AdmissionState,
  request: QueuedRequest,
  reason: RefusalReason,
  nowMs: number,
): AdmissionStep {
  const { attemptId } = request;
  const isOverload = reason === "queue_wait"
    ? isBacklogTooLong(state, request, nowMs)
    // Only a full backend server is overloaded, not a row at its own limit.
    : state.running.size >= computeCapacity(state, nowMs);
  const level = isOverload
    ? recordOverload(state.level, request.importance)
    : state.level;
  const queue = removeQueued(state.queue, attemptId);
  return refuseRequest({ ...state, queue, level }, attemptId, reason);
}

/**
 * Whether the whole queue takes longer than one may wait. In a shorter one, a
 * request waits as long only because of those that go before it.
 */
function isBacklogTooLong(
  state: AdmissionState,
  request: QueuedRequest,
  nowMs: number,
): boolean {
  const { expectedMs } = getKindState(state, request.row.kind).time;
  const turns = state.queue.length / computeCapacity(state, nowMs);
  return expectedMs === undefined ||
    turns * expectedMs > computeMaxWait(state, request);
}

function computeMaxWait(
  state: AdmissionState,
  request: QueuedRequest,
): number {
  const { kind, timeoutMs } = request.row;
  const { expectedMs } = getKindState(state, kind).time;
  const isShort = expectedMs !== undefined && request.depth === 0;
  const part = isShort ? WAIT_DIVISOR : LONG_WAIT_DIVISOR;
  return Math.max(TARGET_WAIT_MS, expectedMs ?? 0, timeoutMs / part);
}

function removeQueued(
  queue: readonly QueuedRequest[],
  attemptId: string,
): readonly QueuedRequest[] {
  return queue.filter((request) => request.attemptId !== attemptId);
}
