/** Decides which requests a backend server runs, queues or refuses. */
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

/** The state of a kind that was not used for this long is evicted. */
const KIND_TTL_MS = 600_000;

/** Creates the state for a backend server that announced `slots`. */
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

/** Applies an event at `nowMs`, steady clock in milliseconds. */
export function reduceAdmission(
  state: AdmissionState,
  event: AdmissionEvent,
  nowMs: number,
): AdmissionStep {
  const ramp = startRamp(state.ramp, nowMs);
  const step = applyEvent({ ...state, ramp }, event, nowMs);
  const { queue, busySinceMs } = step.state;
  const nextBusySinceMs = queue.length === 0 ? undefined : busySinceMs ?? nowMs;
  return { ...step, state: { ...step.state, busySinceMs: nextBusySinceMs } };
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
        queue: state.queue.filter((queued) =>
          queued.attemptId !== event.attemptId
        ),
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
  // Downstream calls may still be queued: refusing them would waste the work
  // already done for their root requests.
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
  event: { readonly attemptId: string; readonly downstreamMs?: number },
  nowMs: number,
): AdmissionState {
  const { attemptId, downstreamMs = 0 } = event;
  const run = state.running.get(attemptId);
  if (run === undefined || run.isAnswered) {
    return state;
  }
  const running = setEntry(state.running, attemptId, {
    ...run,
    isAnswered: true,
  });
  const latencyMs = nowMs - run.startedAtMs;
  // The wait for downstream calls says nothing about the load of this
  // backend server.
  const ownMs = latencyMs - downstreamMs;
  const { time } = getKindState(state, run.kind);
  const limited = recordRunSlowdown(state, run, ownMs);
  return updateKindState(
    {
      ...limited,
      running,
      ramp: recordRunResult(state.ramp, true, nowMs),
    },
    run.kind,
    { time: recordLatency(time, { latencyMs, ownMs }, nowMs) },
  );
}

function finishRequest(
  state: AdmissionState,
  event: Extract<AdmissionEvent, { type: "RequestFinished" }>,
  nowMs: number,
): AdmissionStep {
  const { attemptId } = event;
  const run = state.running.get(attemptId);
  if (run === undefined) {
    return createReduction(state);
  }
  const recorded = run.isAnswered
    ? state
    : recordUnanswered(state, run, event, nowMs);
  const running = deleteEntry(state.running, attemptId);
  return runQueued({ ...recorded, running }, nowMs);
}

/**
 * Records a run that ended without an answer. Its elapsed time is a lower
 * bound of the latency, and counts only if that alone is a slowdown.
 */
function recordUnanswered(
  state: AdmissionState,
  run: RunningRequest,
  event: Extract<AdmissionEvent, { type: "RequestFinished" }>,
  nowMs: number,
): AdmissionState {
  const { result, downstreamMs = 0 } = event;
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
  const updated: AdmissionState = {
    ...state,
    limit,
    kinds: evictIdleKinds(state.kinds, nowMs),
  };
  const next = isIdle && queue.length === 0
    ? resetFinishTags(updated)
    : updated;
  const started = chainReduction(
    expireQueued(next, nowMs),
    (s) => runQueued(s, nowMs),
  );
  const shed = chainReduction(started, (s) => shedLateRequests(s, nowMs));
  const { busySinceMs } = state;
  const hasStandingQueue = queue.length > 0 &&
    nowMs - (busySinceMs ?? nowMs) >= BUSY_INTERVAL_MS;
  const level = updateLevel(shed.state.level, hasStandingQueue);
  return { ...shed, state: { ...shed.state, level } };
}

function evictIdleKinds(
  kinds: AdmissionState["kinds"],
  nowMs: number,
): AdmissionState["kinds"] {
  const minUsedAtMs = nowMs - KIND_TTL_MS;
  const isIdle = (kind: KindState) => kind.usedAtMs < minUsedAtMs;
  return [...kinds.values()].some(isIdle)
    ? new Map([...kinds].filter(([, kind]) => !isIdle(kind)))
    : kinds;
}

/** Resets the fair queue of an idle backend server. */
function resetFinishTags(state: AdmissionState): AdmissionState {
  if (state.virtualMs === 0) {
    return state;
  }
  const kinds = new Map(
    [...state.kinds].map(([name, kind]) => [name, { ...kind, finishTag: 0 }]),
  );
  return { ...state, kinds, virtualMs: 0 };
}
