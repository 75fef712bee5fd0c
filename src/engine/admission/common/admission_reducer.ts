/** Decides at the backend server's node which requests run, wait or go. */
import { deleteEntry, setEntry } from "../../../base/common/maps.ts";
import {
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import {
  getKindState,
  hasFreeCapacity,
  hasInsufficientTime,
  updateKindState,
} from "./admission_capacity.ts";
import { isBelowLevel } from "./admission_level.ts";
import {
  BUSY_INTERVAL_MS,
  expireQueued,
  refuseRequest,
  runQueued,
  shedLateRequests,
  trimQueue,
} from "./admission_queue.ts";
import type { AdmissionStep } from "./admission_queue.ts";
import type {
  AdmissionEvent,
  AdmissionRequest,
  AdmissionState,
  KindState,
  RunningRequest,
} from "./admission_types.ts";
import {
  createLimit,
  recordSlowdown,
  updateLimit,
} from "./concurrency_limit.ts";
import {
  getCurrentLevel,
  INITIAL_LEVEL_CONTROL,
  recordArrival,
  updateLevel,
} from "./level_control.ts";
import { INITIAL_RAMP, recordRunResult, startRamp } from "./ramp.ts";
import { checkRate } from "./rate_limit.ts";
import { computeSlowdown, recordLatency } from "./service_time.ts";

/** A kind that no request uses for so long is forgotten. */
const KIND_TTL_MS = 600_000;

/** Creates the admission of a backend server that runs `slots` at a time. */
export function createAdmission(slots: number): AdmissionState {
  return {
    slots,
    running: new Map(),
    queue: [],
    kinds: new Map(),
    virtualMs: 0,
    busySinceMs: undefined,
    limit: createLimit(slots),
    ramp: INITIAL_RAMP,
    level: INITIAL_LEVEL_CONTROL,
  };
}

/** Steps the admission. */
export function reduceAdmission(
  state: AdmissionState,
  event: AdmissionEvent,
  nowMs: number,
): AdmissionStep {
  const ramp = startRamp(state.ramp, nowMs);
  const step = applyEvent({ ...state, ramp }, event, nowMs);
  const { queue, busySinceMs } = step.state;
  const since = queue.length === 0 ? undefined : busySinceMs ?? nowMs;
  return { ...step, state: { ...step.state, busySinceMs: since } };
}

function applyEvent(
  state: AdmissionState,
  event: AdmissionEvent,
  nowMs: number,
): AdmissionStep {
  switch (event.type) {
    case "RequestArrived":
      return admitRequest(state, event.request, nowMs);
    case "RequestAnswered":
      return createReduction(recordAnswer(state, event, nowMs));
    case "RequestFinished":
      return finishRequest(state, event, nowMs);
    case "RequestWithdrawn":
      return createReduction({
        ...state,
        queue: state.queue.filter((q) => q.attemptId !== event.attemptId),
      });
    case "Ticked":
      return applyTick(state, nowMs);
  }
}

function admitRequest(
  state: AdmissionState,
  request: AdmissionRequest,
  nowMs: number,
): AdmissionStep {
  const { attemptId, row } = request;
  const level = getCurrentLevel(state.level);
  const isBelow = level !== undefined && isBelowLevel(request, level);
  const counted = isBelow
    ? state
    : { ...state, level: recordArrival(state.level, request.importance) };
  if (hasInsufficientTime(counted, request, nowMs)) {
    return refuseRequest(counted, attemptId, "deadline");
  }
  // Work already invested isn't thrown away while the queue has a place.
  if (
    isBelow && request.depth === 0 && !hasFreeCapacity(counted, request, nowMs)
  ) {
    return refuseRequest(counted, attemptId, "level");
  }
  const { theoreticalMs } = getKindState(counted, row.kind);
  const check = checkRate(theoreticalMs, row.rate, nowMs);
  if (check.type === "Exceeds") {
    return refuseRequest(counted, attemptId, "rate", check.waitMs);
  }
  const charged = updateKindState(counted, row.kind, {
    usedAtMs: nowMs,
    theoreticalMs: check.theoreticalMs,
  });
  const queue = [...state.queue, { ...request, queuedAtMs: nowMs }];
  const step = runQueued({ ...charged, queue }, nowMs);
  return chainReduction(step, (s) => trimQueue(s, request, nowMs));
}

function recordAnswer(
  state: AdmissionState,
  answered: { readonly attemptId: string; readonly downstreamMs?: number },
  nowMs: number,
): AdmissionState {
  const { attemptId, downstreamMs = 0 } = answered;
  const run = state.running.get(attemptId);
  if (run === undefined || run.isAnswered) {
    return state;
  }
  const running = setEntry(state.running, attemptId, {
    ...run,
    isAnswered: true,
  });
  const latencyMs = nowMs - run.startedAtMs;
  // What it waited for others says nothing of this backend server's load.
  const ownMs = latencyMs - downstreamMs;
  const { time } = getKindState(state, run.kind);
  const next = recordRunSlowdown(state, run, ownMs);
  return updateKindState(
    {
      ...next,
      running,
      ramp: recordRunResult(state.ramp, true, nowMs),
    },
    run.kind,
    { time: recordLatency(time, { latencyMs, ownMs }, nowMs) },
  );
}

function finishRequest(
  state: AdmissionState,
  finished: Extract<AdmissionEvent, { type: "RequestFinished" }>,
  nowMs: number,
): AdmissionStep {
  const { attemptId } = finished;
  const run = state.running.get(attemptId);
  if (run === undefined) {
    return createReduction(state);
  }
  const noted = run.isAnswered
    ? state
    : recordUnanswered(state, run, finished, nowMs);
  const running = deleteEntry(state.running, attemptId);
  return runQueued({ ...noted, running }, nowMs);
}

/** A run without an answer says at least how long the answer didn't come. */
function recordUnanswered(
  state: AdmissionState,
  run: RunningRequest,
  finished: Extract<AdmissionEvent, { type: "RequestFinished" }>,
  nowMs: number,
): AdmissionState {
  const { result, downstreamMs = 0 } = finished;
  if (result === "failed") {
    return { ...state, ramp: recordRunResult(state.ramp, false, nowMs) };
  }
  const elapsedMs = nowMs - run.startedAtMs - downstreamMs;
  const { time } = getKindState(state, run.kind);
  const isSlow = (computeSlowdown(time, elapsedMs) ?? 0) > 1;
  return isSlow ? recordRunSlowdown(state, run, elapsedMs) : state;
}

function recordRunSlowdown(
  state: AdmissionState,
  run: RunningRequest,
  latencyMs: number,
): AdmissionState {
  const { time } = getKindState(state, run.kind);
  const slowdown = computeSlowdown(time, latencyMs);
  return slowdown === undefined
    ? state
    : { ...state, limit: recordSlowdown(state.limit, slowdown) };
}

function applyTick(state: AdmissionState, nowMs: number): AdmissionStep {
  const { slots, running, queue } = state;
  const isIdle = running.size === 0;
  const limit = updateLimit(state.limit, { slots, isIdle, nowMs });
  const moved: AdmissionState = {
    ...state,
    limit,
    kinds: evictIdleKinds(state.kinds, nowMs),
  };
  const next = isIdle && queue.length === 0 ? resetFinishTags(moved) : moved;
  const ran = chainReduction(
    expireQueued(next, nowMs),
    (s) => runQueued(s, nowMs),
  );
  const cut = chainReduction(ran, (s) => shedLateRequests(s, nowMs));
  const { busySinceMs } = state;
  const isStanding = queue.length > 0 &&
    nowMs - (busySinceMs ?? nowMs) >= BUSY_INTERVAL_MS;
  const level = updateLevel(cut.state.level, isStanding);
  return { ...cut, state: { ...cut.state, level } };
}

function evictIdleKinds(
  kinds: AdmissionState["kinds"],
  nowMs: number,
): AdmissionState["kinds"] {
  const oldest = nowMs - KIND_TTL_MS;
  const isStale = (kind: KindState) => kind.usedAtMs < oldest;
  return [...kinds.values()].some(isStale)
    ? new Map([...kinds].filter(([, kind]) => !isStale(kind)))
    : kinds;
}

/** An idle backend server owes no kind anything. */
function resetFinishTags(state: AdmissionState): AdmissionState {
  if (state.virtualMs === 0) {
    return state;
  }
  const kinds = new Map(
    [...state.kinds].map(([name, kind]) => [name, { ...kind, finishTag: 0 }]),
  );
  return { ...state, kinds, virtualMs: 0 };
}
