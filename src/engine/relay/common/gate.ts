/**
 * Decides at the backend server's own node which calls run, wait or are
 * refused. The node alone reaches its backend server, so what is decided here
 * holds for all callers. State is updated in place: the step is on the path of
 * each call, and nothing else keeps the state.
 */
import type { LoadFigures } from "../../mesh/common/frames.ts";
import {
  createPressure,
  noteAsked,
  noteLost,
  noteRejected,
  updatePressure,
} from "../../admission/common/overload_pressure.ts";
import { findVictim, putCall } from "./gate_queue.ts";
import type { GateCall } from "./gate_queue.ts";
import type { PressureState } from "../../admission/common/overload_pressure.ts";

/** The backend server beside the node, as it announced itself. */
export interface LocalBackend {
  readonly instanceId: string;
  /**
   * Wall clock of its start, in milliseconds: it may start again under its id,
   * and then holds nothing of before. Undefined where it doesn't say.
   */
  readonly startedAtMs: number | undefined;
  readonly service: string;
  readonly address: string;
  readonly dataCentre: string;
  /** Requests that it runs at a time. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Until when it is slow after its start. */
  readonly warmUpEndMs: number;
}

/** What happens at the gate. */
export type GateEvent =
  | { readonly type: "CallArrived"; readonly call: GateCall }
  | {
    readonly type: "CallEnded";
    readonly id: number;
    readonly route: string;
    /** Time that the backend server took; undefined where it says nothing. */
    readonly serviceMs: number | undefined;
    /** Whether the call came to no answer. */
    readonly isLost: boolean;
    /** Whether the backend server said that it did not run it. */
    readonly isRejected: boolean;
  }
  | { readonly type: "CallWithdrawn"; readonly id: number }
  | {
    readonly type: "BackendChanged";
    readonly backend: LocalBackend | undefined;
  }
  | { readonly type: "Ticked" };

/** Why a call is refused before the backend server saw it. */
export type GateRefusal =
  | "no_backend"
  | "draining"
  | "queue_full"
  | "deadline"
  | "displaced";

/** What the gate decides. */
export type GateEffect =
  | { readonly type: "RunCall"; readonly id: number }
  | {
    readonly type: "RefuseCall";
    readonly id: number;
    readonly reason: GateRefusal;
    readonly retryAfterMs: number;
  };

interface ServiceTime {
  meanMs: number;
}

/** The gate's state; only its reducer changes it. */
export interface GateState {
  backend: LocalBackend | undefined;
  running: number;
  readonly queue: GateCall[];
  readonly times: Map<string, ServiceTime>;
  /** Mean time of a run, of all routes; 0 before the first. */
  meanMs: number;
  /** Mean time between two ends of calls while all places were taken. */
  gapMs: number;
  lastEndMs: number;
  readonly pressure: PressureState;
}

/**
 * Part of the slots that is used. Some backend servers slow down by a third
 * when the last twentieth is taken: 14 of 15 places do more than 15.
 */
const FILL_SHARE = 0.95;
/** Weight of a new service time in the mean over all routes. */
const MEAN_GAIN = 0.02;
/** Weight of a new service time in the mean. */
const TIME_GAIN = 0.1;
/** Service time of a route of which none is known yet. */
const FIRST_SERVICE_MS = 20;
const MIN_RETRY_MS = 50;
const MAX_RETRY_MS = 2_000;

/** Creates the gate of a node that has heard no backend server yet. */
export function createGate(): GateState {
  return {
    backend: undefined,
    running: 0,
    queue: [],
    times: new Map(),
    meanMs: 0,
    gapMs: 0,
    lastEndMs: 0,
    pressure: createPressure(0),
  };
}

/** Steps the gate. */
export function reduceGate(
  state: GateState,
  event: GateEvent,
  nowMs: number,
): readonly GateEffect[] {
  switch (event.type) {
    case "CallArrived":
      return admitCall(state, event.call, nowMs);
    case "CallEnded":
      noteEnd(state, event, nowMs);
      return runQueued(state, nowMs);
    case "CallWithdrawn": {
      noteLost(state.pressure);
      const at = state.queue.findIndex(({ id }) => id === event.id);
      if (at >= 0) {
        state.queue.splice(at, 1);
      }
      return [];
    }
    case "BackendChanged":
      return changeBackend(state, event.backend, nowMs);
    case "Ticked":
      return tick(state, nowMs);
  }
}

/** Whether two announcements are of one run of a backend server. */
export function isSameProcessInstance(
  a: LocalBackend | undefined,
  b: LocalBackend | undefined,
): boolean {
  return a?.instanceId === b?.instanceId && a?.startedAtMs === b?.startedAtMs;
}

/** Whether calls may be handed to the backend server. */
export function isOpen(state: GateState): boolean {
  return state.backend !== undefined && !state.backend.isDraining;
}

/** Computes how many calls may run at a time. */
export function computeLimit(state: GateState): number {
  const { backend } = state;
  return backend === undefined || backend.isDraining
    ? 0
    : Math.max(1, Math.floor(backend.slots * FILL_SHARE));
}

/** Creates what callers are told of the load. */
export function createLoadFigures(state: GateState): LoadFigures {
  return {
    running: state.running,
    queued: state.queue.length,
    limit: computeLimit(state),
    pressure: state.pressure.pressure,
    serviceMs: state.meanMs,
  };
}

/** Computes when a refused caller finds a place again. */
export function computeRetryAfterMs(state: GateState): number {
  const waitMs = (state.queue.length + 1) * Math.max(1, state.gapMs);
  return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, waitMs));
}

function admitCall(
  state: GateState,
  call: GateCall,
  nowMs: number,
): readonly GateEffect[] {
  const { backend, queue } = state;
  noteAsked(state.pressure, getServiceMs(state, call.route));
  if (backend === undefined) {
    return [refuseCall(state, call.id, "no_backend")];
  }
  if (backend.isDraining) {
    return [refuseCall(state, call.id, "draining")];
  }
  if (isHopeless(state, call, nowMs)) {
    return [refuseCall(state, call.id, "deadline")];
  }
  if (state.running < computeLimit(state) && queue.length === 0) {
    state.running += 1;
    return [{ type: "RunCall", id: call.id }];
  }
  putCall(queue, call);
  const victim = findVictim(queue, backend.slots);
  if (victim === undefined) {
    return [];
  }
  queue.splice(queue.indexOf(victim), 1);
  const reason = victim.id === call.id ? "queue_full" : "displaced";
  return [refuseCall(state, victim.id, reason)];
}

/** Whether the time that is left doesn't cover half of a usual run. */
function isHopeless(state: GateState, call: GateCall, nowMs: number): boolean {
  const usualMs = state.times.get(call.route)?.meanMs ?? 0;
  return call.deadlineMs - nowMs <= usualMs / 2;
}

function runQueued(state: GateState, nowMs: number): readonly GateEffect[] {
  const effects: GateEffect[] = [];
  const limit = computeLimit(state);
  while (state.running < limit && state.queue.length > 0) {
    const call = state.queue.shift()!;
    if (isHopeless(state, call, nowMs)) {
      effects.push(refuseCall(state, call.id, "deadline"));
    } else {
      state.running += 1;
      effects.push({ type: "RunCall", id: call.id });
    }
  }
  return effects;
}

function noteEnd(
  state: GateState,
  event: Extract<GateEvent, { type: "CallEnded" }>,
  nowMs: number,
): void {
  if (state.queue.length > 0) {
    const gapMs = Math.min(1_000, nowMs - state.lastEndMs);
    state.gapMs += (gapMs - state.gapMs) * TIME_GAIN;
  }
  state.lastEndMs = nowMs;
  state.running = Math.max(0, state.running - 1);
  const { serviceMs, route, isLost, isRejected } = event;
  if (isLost) {
    noteLost(state.pressure);
  }
  if (isRejected) {
    noteRejected(state.pressure, getServiceMs(state, route));
  }
  if (serviceMs === undefined) {
    return;
  }
  state.meanMs = state.meanMs === 0
    ? serviceMs
    : state.meanMs + (serviceMs - state.meanMs) * MEAN_GAIN;
  const time = state.times.get(route);
  if (time === undefined) {
    state.times.set(route, { meanMs: serviceMs });
  } else {
    time.meanMs += (serviceMs - time.meanMs) * TIME_GAIN;
  }
}

/** Another incarnation runs nothing of what the former one ran. */
function changeBackend(
  state: GateState,
  backend: LocalBackend | undefined,
  nowMs: number,
): readonly GateEffect[] {
  state.backend = backend;
  if (isOpen(state)) {
    return runQueued(state, nowMs);
  }
  const reason = backend === undefined ? "no_backend" : "draining";
  return state.queue.splice(0)
    .map(({ id }) => refuseCall(state, id, reason));
}

function tick(state: GateState, nowMs: number): readonly GateEffect[] {
  const late = state.queue.filter((call) => isHopeless(state, call, nowMs));
  if (late.length > 0) {
    const kept = state.queue.filter((call) => !late.includes(call));
    state.queue.splice(0, state.queue.length, ...kept);
  }
  updatePressure(state.pressure, {
    limit: computeLimit(state),
    running: state.running,
    backlogMs: computeBacklogMs(state),
    nowMs,
  });
  return late.map(({ id }) => refuseCall(state, id, "deadline"));
}

/** Computes how long all places together need for what waits. */
function computeBacklogMs(state: GateState): number {
  const workMs = state.queue.reduce(
    (sum, { route }) => sum + getServiceMs(state, route),
    0,
  );
  return workMs / Math.max(1, computeLimit(state));
}

function getServiceMs(state: GateState, route: string): number {
  return state.times.get(route)?.meanMs ?? FIRST_SERVICE_MS;
}

function refuseCall(
  state: GateState,
  id: number,
  reason: GateRefusal,
): GateEffect {
  if (reason === "deadline") {
    noteLost(state.pressure);
  }
  const retryAfterMs = computeRetryAfterMs(state);
  return { type: "RefuseCall", id, reason, retryAfterMs };
}
