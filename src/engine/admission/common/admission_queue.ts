/** Steps on the queue: starts requests with free capacity, refuses others. */
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

/** A step of the admission control. */
export type AdmissionStep = Reduction<AdmissionState, AdmissionEffect>;

/**
 * A queue that is not empty for this long is overloaded: the interval of CoDel
 * (RFC 8289).
 */
export const BUSY_INTERVAL_MS = 100;
/**
 * Minimum wait limit in an overloaded queue. The expected service time or a
 * part of the timeout may give a longer one.
 */
const TARGET_WAIT_MS = 50;
/** A request may wait for the timeout of its row divided by this. */
const WAIT_DIVISOR = 8;
/** Divisor for downstream calls, and if the service time is unknown. */
const LONG_WAIT_DIVISOR = 4;

/**
 * Starts queued requests by priority while there is free capacity; refuses
 * those that can no longer meet their deadlines.
 */
export function runQueued(
  state: AdmissionState,
  nowMs: number,
): AdmissionStep {
  // Under overload nearly every arrival returns here, so this must be cheap.
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

/**
 * Refuses one queued request if the arrived one made its row exceed the queue
 * limit of the row, or the queue exceed that of the backend server.
 */
export function trimQueue(
  state: AdmissionState,
  arrived: AdmissionRequest,
  nowMs: number,
): AdmissionStep {
  const { kind, queue: maxQueued } = arrived.row;
  const sameKind = state.queue.filter((request) => request.row.kind === kind);
  const isOverLimit = state.queue.length > computeMaxQueueSize(state, nowMs);
  const victim = sameKind.length > maxQueued
    ? selectVictim(sameKind)
    : isOverLimit
    ? selectVictim(state.queue)
    : undefined;
  if (victim === undefined) {
    return createReduction(state);
  }
  const isArrived = victim.attemptId === arrived.attemptId;
  const reason = isArrived ? "queue_full" : "displaced";
  return refuseQueued(state, victim, reason, nowMs);
}

/** Refuses queued requests that can no longer meet their deadlines. */
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
 * Keeps the wait short in a queue that does not empty. Refuses the requests of
 * the lowest importance that have waited for longer than the expected service
 * time, an eighth of the timeout and `TARGET_WAIT_MS`. Instead of an eighth it
 * is a quarter of the timeout for downstream calls, as refusing them wastes the
 * work already done for their root requests, and for kinds without a known
 * service time.
 */
export function shedLateRequests(
  state: AdmissionState,
  nowMs: number,
): AdmissionStep {
  const { queue, busySinceMs, running } = state;
  // If only a row is at its limit, its queue limit and the deadlines bound
  // the wait.
  const isFull = running.size >= computeCapacity(state, nowMs);
  if (!isFull || nowMs - (busySinceMs ?? nowMs) < BUSY_INTERVAL_MS) {
    return createReduction(state);
  }
  const lowest = Math.min(...queue.map((request) => request.importance));
  const overdue = queue.filter((request) =>
    request.importance === lowest &&
    nowMs - request.queuedAtMs > computeMaxWaitMs(state, request)
  );
  return refuseAll(state, overdue, "queue_wait", nowMs);
}

/**
 * Refuses a request that is not in the queue.
 *
 * @param waitMs Minimum delay before a retry, in milliseconds.
 */
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
    // A row at its own limit does not mean that the backend server is.
    : state.running.size >= computeCapacity(state, nowMs);
  const level = isOverload
    ? recordOverload(state.level, request.importance)
    : state.level;
  const queue = removeQueued(state.queue, attemptId);
  return refuseRequest({ ...state, queue, level }, attemptId, reason);
}

/**
 * Whether the time to run the whole queue exceeds the wait limit of a request.
 * In a shorter queue, the request waits that long only because requests of
 * higher priority overtake it, which is not overload.
 */
function isBacklogTooLong(
  state: AdmissionState,
  request: QueuedRequest,
  nowMs: number,
): boolean {
  const { expectedMs } = getKindState(state, request.row.kind).time;
  const rounds = state.queue.length / computeCapacity(state, nowMs);
  return expectedMs === undefined ||
    rounds * expectedMs > computeMaxWaitMs(state, request);
}

function computeMaxWaitMs(
  state: AdmissionState,
  request: QueuedRequest,
): number {
  const { kind, timeoutMs } = request.row;
  const { expectedMs } = getKindState(state, kind).time;
  const hasShortLimit = expectedMs !== undefined && request.depth === 0;
  const divisor = hasShortLimit ? WAIT_DIVISOR : LONG_WAIT_DIVISOR;
  return Math.max(TARGET_WAIT_MS, expectedMs ?? 0, timeoutMs / divisor);
}

function removeQueued(
  queue: readonly QueuedRequest[],
  attemptId: string,
): readonly QueuedRequest[] {
  return queue.filter((request) => request.attemptId !== attemptId);
}
