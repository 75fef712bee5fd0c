/**
 * Admission gate: decides at a backend server's node which calls run, wait or
 * are refused. The backend server is reachable through this node only, so the
 * gate's limits apply to all callers. The reducer updates its state in place:
 * it runs for each call, and nothing else keeps a reference to the state.
 */
import { computeSampleGain } from "../../../base/common/sample_gain.ts";
import type { BackendNotice } from "../../mesh/common/frames.ts";
import {
  recordLostRequest,
  recordRejection,
  recordRequest,
  updatePressure,
} from "../../admission/common/overload_pressure.ts";
import {
  recordDemand,
  recordRejectedDemand,
  updateRoom,
} from "../../admission/common/room_ratio.ts";
import {
  applyStatement,
  listNoticeChanges,
  mergeNotices,
} from "./backend_notice.ts";
import type { NoticeChange, ReceivedStatement } from "./backend_notice.ts";
import { createFailureShare, recordOutcome } from "./failure_share.ts";
import { findVictim, insertCall } from "./gate_queue.ts";
import type { GateCall } from "./gate_queue.ts";
import {
  computeCapacity,
  computeLimit,
  computeRetryAfterMs,
  DEFAULT_SERVICE_MS,
  getMeanServiceMs,
  getNotice,
  isOpen,
  updateFailureShare,
} from "./gate_state.ts";
import type { GateState } from "./gate_state.ts";
import type { BackendLoad } from "./dialect.ts";
import { isSameProcessInstance } from "./local_backend.ts";
import type { LocalBackend } from "./local_backend.ts";
import {
  createSpeedEstimate,
  recordSample,
  recordSlowdownChange,
} from "./speed_estimate.ts";
import {
  changeRate,
  createTokenBucket,
  estimateTokenWaitMs,
  settleToken,
  tryTakeToken,
} from "./token_bucket.ts";

/** Input of the gate's reducer. */
export type GateEvent =
  | { readonly type: "CallArrived"; readonly call: GateCall }
  | {
    readonly type: "CallEnded";
    readonly id: number;
    readonly route: string;
    /**
     * Time from its hand-over until its answer was read; undefined if it is no
     * sample, as after a failure.
     */
    readonly serviceMs: number | undefined;
    /** How long the answer may have waited to be read; 0 if not given. */
    readonly readLagMs?: number;
    /** Whether the call timed out, or its caller left, without an answer. */
    readonly isLost: boolean;
    /** Whether the backend server reported that it did not run the call. */
    readonly isRejected: boolean;
    /** Whether bytes of it may have reached the backend server. */
    readonly wasSent: boolean;
    /**
     * Whether the backend server failed the call itself; undefined if its end
     * doesn't tell, as when the caller left.
     */
    readonly isFailure?: boolean | undefined;
  }
  | { readonly type: "CallWithdrawn"; readonly id: number }
  | {
    readonly type: "BackendChanged";
    readonly backend: LocalBackend | undefined;
  }
  | {
    readonly type: "StatementReceived";
    readonly statement: ReceivedStatement;
    readonly source: NoticeSource;
  }
  /** An entry tells what it knows of the backend server of this node. */
  | {
    readonly type: "NoticeTold";
    readonly notice: BackendNotice;
    readonly source: NoticeSource;
  }
  /** The current backend server reported its load in an answer. */
  | { readonly type: "LoadReported"; readonly load: BackendLoad }
  | { readonly type: "Ticked" };

/** Where a notice came from, for the log. */
export interface NoticeSource {
  /** Request that was answered. */
  readonly requestId?: string;
  /** Link of the entry that told it. */
  readonly link?: string;
}

/** Why a call is refused before the backend server receives it. */
export type GateRefusal =
  | "no_backend"
  | "draining"
  | "queue_full"
  | "deadline"
  | "displaced"
  /** It would get its turn under the rate limit too late. */
  | "rate_limit";

/** Decision of the gate. */
export type GateEffect =
  | {
    readonly type: "RunCall";
    readonly id: number;
    /** Whether it had to wait at the gate. */
    readonly wasQueued: boolean;
  }
  | {
    readonly type: "RefuseCall";
    readonly id: number;
    readonly reason: GateRefusal;
    readonly retryAfterMs: number;
  }
  /** What is known of the backend server has changed. */
  | {
    readonly type: "NoticeChanged";
    readonly changes: readonly NoticeChange[];
    readonly before: BackendNotice | undefined;
    readonly after: BackendNotice | undefined;
    readonly source: NoticeSource;
  };

/** Notices that are kept; more than instances that follow each other quickly. */
const MAX_NOTICES = 8;
/**
 * Weights of a sample in the service time of all routes and of its own. Callers
 * avoid a backend server that seems slow, and only the few calls that reach it
 * can show that it no longer is.
 */
const MEAN_SERVICE_GAIN = { min: 0.02, max: 0.25, timeConstantMs: 2_500 };
const ROUTE_SERVICE_GAIN = { min: 0.1, max: 0.25, timeConstantMs: 2_500 };
/** No call is refused for a service time without a run for this long. */
const SERVICE_TIME_VALID_MS = 1_000;
/** Weight of a sample in the completion gap. */
const COMPLETION_GAIN = 0.1;
/** A slowdown is determined anew every 600 ms; an older one says nothing. */
const SLOWDOWN_VALID_MS = 600;
/**
 * Time that a run is left after a nested call, for its other calls and its own
 * work.
 */
const RUN_COMPLETION_MS = 1_000;

/** Applies an event to the gate; returns the resulting decisions in order. */
export function reduceGate(
  state: GateState,
  event: GateEvent,
  nowMs: number,
): readonly GateEffect[] {
  switch (event.type) {
    case "CallArrived":
      return admitCall(state, event.call, nowMs);
    case "CallEnded":
      recordCompletion(state, event, nowMs);
      return runQueued(state, nowMs);
    case "CallWithdrawn": {
      recordLostRequest(state.pressure);
      const index = state.queue.findIndex(({ id }) => id === event.id);
      if (index >= 0) {
        state.queue.splice(index, 1);
      }
      return [];
    }
    case "BackendChanged":
      return changeBackend(state, event.backend, nowMs);
    case "StatementReceived":
      return recordStatement(state, event, nowMs);
    case "NoticeTold": {
      const { notice, source } = event;
      const before = state.notices.get(notice.instance);
      return putNotice(state, mergeNotices(before, notice), source, nowMs);
    }
    case "LoadReported":
      recordSlowdown(state, event.load.slowdown, nowMs);
      return [];
    case "Ticked":
      return tick(state, nowMs);
  }
}

function admitCall(
  state: GateState,
  call: GateCall,
  nowMs: number,
): readonly GateEffect[] {
  const { backend, queue } = state;
  const serviceMs = getServiceMs(state, call.route);
  recordRequest(state.pressure, serviceMs);
  recordDemand(state.room, serviceMs);
  if (backend === undefined) {
    return [refuseCall(state, call.id, "no_backend", nowMs)];
  }
  if (backend.isDraining) {
    return [refuseCall(state, call.id, "draining", nowMs)];
  }
  if (hasTooLittleTime(state, call, nowMs)) {
    return [refuseCall(state, call.id, "deadline", nowMs)];
  }
  if (queue.length === 0 && tryReserve(state, call, nowMs)) {
    return [{ type: "RunCall", id: call.id, wasQueued: false }];
  }
  insertCall(queue, { ...call, dueAtMs: computeDueAtMs(state, call) });
  const victim = findVictim(queue, backend.slots);
  if (victim === undefined) {
    return refuseOverLimit(state, nowMs);
  }
  queue.splice(queue.indexOf(victim), 1);
  const reason = victim.id === call.id ? "queue_full" : "displaced";
  return [refuseCall(state, victim.id, reason, nowMs)];
}

/**
 * Computes when a call is due. Under a rate limit, nested calls are placed by
 * the deadline of their run, so that the oldest runs get their turns first: with
 * equal turns for all, most runs would be late together.
 */
function computeDueAtMs({ bucket }: GateState, call: GateCall): number {
  return bucket === undefined || !call.isNested
    ? call.dueAtMs
    : call.deadlineMs - RUN_COMPLETION_MS;
}

/** Takes a slot, and a token under a rate limit; false if one is missing. */
function tryReserve(
  state: GateState,
  { id, route }: GateCall,
  nowMs: number,
): boolean {
  const { bucket } = state;
  if (
    state.running >= computeLimit(state) ||
    bucket !== undefined && !tryTakeToken(bucket, id, nowMs)
  ) {
    return false;
  }
  state.running += 1;
  const time = state.serviceTimes.get(route);
  if (time !== undefined) {
    time.begunAtMs = nowMs;
  }
  return true;
}

/**
 * Refuses the calls that would get their token too late: a root request later
 * than its answer has its full value, as it may be sent elsewhere, and a nested
 * one later than it can finish, as its refusal wastes the work done so far.
 */
function refuseOverLimit(
  state: GateState,
  nowMs: number,
): readonly GateEffect[] {
  const { bucket, queue } = state;
  if (bucket === undefined) {
    return [];
  }
  const effects: GateEffect[] = [];
  const waiting = queue.splice(0);
  for (const call of waiting) {
    const startMs = nowMs + estimateTokenWaitMs(bucket, queue.length, nowMs);
    const lastMs = call.isNested ? call.deadlineMs : call.dueAtMs;
    const usualMs = state.serviceTimes.get(call.route)?.meanMs ?? 0;
    if (startMs > nowMs && startMs + usualMs / 2 >= lastMs) {
      effects.push(refuseCall(state, call.id, "rate_limit", nowMs));
    } else {
      queue.push(call);
    }
  }
  return effects;
}

/**
 * Whether the time left covers no more than half of a usual run. If no run of
 * the route has begun or ended for a while, only a passed deadline counts: the
 * next run shows whether runs have become shorter, where otherwise all calls
 * would be refused for good.
 */
function hasTooLittleTime(
  { serviceTimes }: GateState,
  { route, deadlineMs }: GateCall,
  nowMs: number,
): boolean {
  const time = serviceTimes.get(route);
  const isKnown = time !== undefined &&
    nowMs - Math.max(time.sampledAtMs, time.begunAtMs) < SERVICE_TIME_VALID_MS;
  return deadlineMs - nowMs <= (isKnown ? time.meanMs / 2 : 0);
}

function runQueued(state: GateState, nowMs: number): readonly GateEffect[] {
  const effects: GateEffect[] = [];
  const { queue } = state;
  while (queue.length > 0 && state.running < computeLimit(state)) {
    const call = queue[0]!;
    if (hasTooLittleTime(state, call, nowMs)) {
      queue.shift();
      effects.push(refuseCall(state, call.id, "deadline", nowMs));
    } else if (tryReserve(state, call, nowMs)) {
      queue.shift();
      effects.push({ type: "RunCall", id: call.id, wasQueued: true });
    } else {
      break;
    }
  }
  return effects;
}

function recordCompletion(
  state: GateState,
  event: Extract<GateEvent, { type: "CallEnded" }>,
  nowMs: number,
): void {
  if (state.queue.length > 0) {
    const gapMs = Math.min(1_000, nowMs - state.lastCompletionMs);
    state.completionGapMs += (gapMs - state.completionGapMs) *
      COMPLETION_GAIN;
  }
  state.lastCompletionMs = nowMs;
  state.running = Math.max(0, state.running - 1);
  const { route, isLost, isRejected, isFailure } = event;
  if (isFailure !== undefined) {
    recordOutcome(state.failures, isFailure, nowMs);
    state.failedAtMs = isFailure ? nowMs : state.failedAtMs;
    updateFailureShare(state, nowMs);
  }
  if (state.bucket !== undefined) {
    settleToken(state.bucket, event, nowMs);
  }
  if (isLost) {
    recordLostRequest(state.pressure);
  }
  if (isRejected) {
    recordRejection(state.pressure, getServiceMs(state, route));
    recordRejectedDemand(state.room, getServiceMs(state, route));
  }
  const serviceMs = estimateServiceMs(state, event);
  if (serviceMs === undefined) {
    return;
  }
  if (state.isRoomMeasured) {
    state.speed ??= createSpeedEstimate();
  }
  if (state.speed !== undefined) {
    recordSample(state.speed, { route, serviceMs }, nowMs);
  }
  updateMeanServiceMs(state, serviceMs, nowMs);
  const time = state.serviceTimes.get(route);
  if (time === undefined) {
    const created = { meanMs: serviceMs, sampledAtMs: nowMs, begunAtMs: 0 };
    state.serviceTimes.set(route, created);
  } else {
    const gain = computeSampleGain(
      nowMs - time.sampledAtMs,
      ROUTE_SERVICE_GAIN,
    );
    time.meanMs += (serviceMs - time.meanMs) * gain;
    time.sampledAtMs = nowMs;
  }
}

/**
 * Estimates the service time of a run: the usual one, as far as the time for
 * which its answer may have waited to be read allows. Otherwise the runs that
 * were in progress while this process was suspended would all count as slow.
 */
function estimateServiceMs(
  { serviceTimes }: GateState,
  { serviceMs, readLagMs = 0, route }: Extract<
    GateEvent,
    { type: "CallEnded" }
  >,
): number | undefined {
  if (serviceMs === undefined) {
    return undefined;
  }
  const usualMs = serviceTimes.get(route)?.meanMs ?? DEFAULT_SERVICE_MS;
  return Math.max(serviceMs - readLagMs, Math.min(serviceMs, usualMs));
}

function updateMeanServiceMs(
  state: GateState,
  serviceMs: number,
  nowMs: number,
): void {
  const gain = state.meanServiceMs === 0
    ? 1
    : computeSampleGain(nowMs - state.lastSampleMs, MEAN_SERVICE_GAIN);
  state.meanServiceMs += (serviceMs - state.meanServiceMs) * gain;
  state.lastSampleMs = nowMs;
}

/** Records the slowdown of the backend server's machine, if it names one. */
function recordSlowdown(
  state: GateState,
  slowdown: number | undefined,
  nowMs: number,
): void {
  if (slowdown !== undefined) {
    state.slowdown = { factor: slowdown, reportedAtMs: nowMs };
    state.speed ??= createSpeedEstimate();
    recordSlowdownChange(state.speed, slowdown, nowMs);
  }
}

/**
 * Takes the machine to be as usual once the last report is too old. Otherwise a
 * backend server that got no calls because it was slow would never report again
 * that it no longer is.
 */
function expireSlowdown(state: GateState, nowMs: number): void {
  const { slowdown } = state;
  if (
    slowdown !== undefined && slowdown.factor > 1 &&
    nowMs - slowdown.reportedAtMs >= SLOWDOWN_VALID_MS
  ) {
    recordSlowdown(state, 1, nowMs);
  }
}

/**
 * Replaces the backend server. Running calls stay counted: if the process
 * instance has changed, the node reports the end of each of them.
 */
function changeBackend(
  state: GateState,
  backend: LocalBackend | undefined,
  nowMs: number,
): readonly GateEffect[] {
  const before = state.lastNotice;
  if (!isSameProcessInstance(state.backend, backend)) {
    state.bucket = undefined;
    state.slowdown = undefined;
    state.speed = undefined;
    state.failures = createFailureShare();
    state.failedAtMs = undefined;
    state.failureShare = undefined;
  }
  state.backend = backend;
  const effects = applyNotice(state, nowMs);
  return backend === undefined
    ? effects
    : [...effects, ...createNoticeChanged(before, getNotice(state), {})];
}

/**
 * Applies the notice of the current process instance, and runs or refuses what
 * waits.
 */
function applyNotice(state: GateState, nowMs: number): readonly GateEffect[] {
  const { backend } = state;
  const notice = getNotice(state);
  updateBucket(state, notice?.requestsPerSecond, nowMs);
  if (backend !== undefined) {
    state.lastNotice = notice;
    // Its announcements may still say that it is ready.
    const isDraining = backend.isDraining || (notice?.isLeaving ?? false);
    state.backend = { ...backend, isDraining };
  }
  if (isOpen(state)) {
    return [...runQueued(state, nowMs), ...refuseOverLimit(state, nowMs)];
  }
  const reason = backend === undefined ? "no_backend" : "draining";
  return state.queue.splice(0)
    .map(({ id }) => refuseCall(state, id, reason, nowMs));
}

function updateBucket(
  state: GateState,
  requestsPerSecond: number | undefined,
  nowMs: number,
): void {
  if (requestsPerSecond === undefined) {
    state.bucket = undefined;
  } else if (state.bucket === undefined) {
    state.bucket = createTokenBucket(requestsPerSecond, nowMs);
  } else {
    changeRate(state.bucket, requestsPerSecond, nowMs);
  }
}

function recordStatement(
  state: GateState,
  { statement, source }: Extract<GateEvent, { type: "StatementReceived" }>,
  nowMs: number,
): readonly GateEffect[] {
  const before = state.notices.get(statement.instance);
  const after = applyStatement(before, statement);
  return after === undefined ? [] : putNotice(state, after, source, nowMs);
}

/** Stores a notice; applies it if it is about the current process instance. */
function putNotice(
  state: GateState,
  notice: BackendNotice,
  source: NoticeSource,
  nowMs: number,
): readonly GateEffect[] {
  const { notices } = state;
  const before = notices.get(notice.instance);
  notices.set(notice.instance, notice);
  if (notices.size > MAX_NOTICES) {
    const current = getNotice(state)?.instance;
    const oldest = [...notices.keys()].find((other) => other !== current);
    notices.delete(oldest!);
  }
  const changed = createNoticeChanged(before, notice, source);
  return changed.length > 0 && getNotice(state) === notice
    ? [...applyNotice(state, nowMs), ...changed]
    : changed;
}

/** Creates the effect of a changed notice; none if only the time changed. */
function createNoticeChanged(
  before: BackendNotice | undefined,
  after: BackendNotice | undefined,
  source: NoticeSource,
): readonly GateEffect[] {
  const changes = listNoticeChanges(before, after);
  return changes.length === 0
    ? []
    : [{ type: "NoticeChanged", changes, before, after, source }];
}

function tick(state: GateState, nowMs: number): readonly GateEffect[] {
  expireSlowdown(state, nowMs);
  updateFailureShare(state, nowMs);
  const expired = state.queue.filter((call) =>
    hasTooLittleTime(state, call, nowMs)
  );
  if (expired.length > 0) {
    const remaining = state.queue.filter((call) => !expired.includes(call));
    state.queue.splice(0, state.queue.length, ...remaining);
  }
  const load = {
    limit: computeCapacity(state),
    running: state.running,
    backlogMs: computeBacklogMs(state),
    nowMs,
  };
  updatePressure(state.pressure, load);
  updateRoom(state.room, load);
  return [
    ...expired.map(({ id }) => refuseCall(state, id, "deadline", nowMs)),
    ...(state.bucket === undefined ? [] : runQueued(state, nowMs)),
    ...refuseOverLimit(state, nowMs),
  ];
}

/** Computes how long all slots together need for the queue. */
function computeBacklogMs(state: GateState): number {
  const workMs = state.queue.reduce(
    (sum, { route }) => sum + getServiceMs(state, route),
    0,
  );
  const capacity = computeCapacity(state);
  return workMs / (capacity === 0 ? 1 : capacity);
}

/**
 * Gets the service time that a call counts with. Under a rate limit all count
 * alike, as each takes one token.
 */
function getServiceMs(state: GateState, route: string): number {
  if (state.bucket !== undefined) {
    return getMeanServiceMs(state);
  }
  return state.serviceTimes.get(route)?.meanMs ?? DEFAULT_SERVICE_MS;
}

function refuseCall(
  state: GateState,
  id: number,
  reason: GateRefusal,
  nowMs: number,
): GateEffect {
  if (reason === "deadline") {
    recordLostRequest(state.pressure);
  }
  const retryAfterMs = computeRetryAfterMs(state, nowMs);
  return { type: "RefuseCall", id, reason, retryAfterMs };
}
