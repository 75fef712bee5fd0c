/** Decides at the backend server's node which requests run, wait or go. */
import { deleteEntry, setEntry } from "../../../base/common/maps.ts";
import { createReduction } from "../../../base/common/reduction.ts";
import type { Reduction } from "../../../base/common/reduction.ts";
import type { TableRow } from "../../table/common/table_row.ts";

/** A request at the door of the backend server. */
export interface AdmissionRequest {
  readonly attemptId: string;
  readonly row: TableRow;
  /** Of the root request, 0 to 9. */
  readonly importance: number;
  /** Orders root requests of one importance. */
  readonly admissionHash: number;
  readonly depth: number;
  /** Wall clock in milliseconds. */
  readonly deadlineMs: number;
}

/** A request that runs. */
export interface RunningRequest {
  readonly kind: string;
  readonly startedAtMs: number;
}

/** A request that waits. */
export interface QueuedRequest extends AdmissionRequest {
  readonly queuedAtMs: number;
}

/** The state of one backend server's door. */
export interface AdmissionState {
  /** Requests that the backend server announced to run at a time. */
  readonly slots: number;
  readonly running: ReadonlyMap<string, RunningRequest>;
  readonly queue: readonly QueuedRequest[];
}

/** Why a request was not run. */
export type RefusalReason =
  | "queue_full"
  | "displaced"
  | "deadline"
  | "draining";

/** What happens at the door. */
export type AdmissionEvent =
  | { readonly type: "RequestArrived"; readonly request: AdmissionRequest }
  | { readonly type: "RequestFinished"; readonly attemptId: string }
  | { readonly type: "RequestWithdrawn"; readonly attemptId: string };

/** What the door decided. */
export type AdmissionEffect =
  | { readonly type: "RunRequest"; readonly attemptId: string }
  | {
    readonly type: "RefuseRequest";
    readonly attemptId: string;
    readonly reason: RefusalReason;
    /** When the caller should come back. */
    readonly retryAfterMs: number;
  };

const RETRY_AFTER_MS = 1_000;

/** Creates the door of a backend server that runs `slots` at a time. */
export function createAdmission(slots: number): AdmissionState {
  return { slots, running: new Map(), queue: [] };
}

/** Steps the door. */
export function reduceAdmission(
  state: AdmissionState,
  event: AdmissionEvent,
  nowMs: number,
): Reduction<AdmissionState, AdmissionEffect> {
  switch (event.type) {
    case "RequestArrived":
      return admitRequest(state, event.request, nowMs);
    case "RequestFinished":
      return startQueued({
        ...state,
        running: deleteEntry(state.running, event.attemptId),
      }, nowMs);
    case "RequestWithdrawn":
      return createReduction({
        ...state,
        queue: state.queue.filter((q) => q.attemptId !== event.attemptId),
      });
  }
}

function admitRequest(
  state: AdmissionState,
  request: AdmissionRequest,
  nowMs: number,
): Reduction<AdmissionState, AdmissionEffect> {
  const waiting = state.queue.filter((q) => q.row.kind === request.row.kind);
  if (!hasRoom(state, request) && waiting.length >= request.row.queue) {
    return createReduction(state, [{
      type: "RefuseRequest",
      attemptId: request.attemptId,
      reason: "queue_full",
      retryAfterMs: RETRY_AFTER_MS,
    }]);
  }
  const queued = { ...request, queuedAtMs: nowMs };
  return startQueued({ ...state, queue: [...state.queue, queued] }, nowMs);
}

function startQueued(
  state: AdmissionState,
  nowMs: number,
): Reduction<AdmissionState, AdmissionEffect> {
  const ordered = state.queue.toSorted((a, b) => b.importance - a.importance);
  const next = ordered.find((queued) => hasRoom(state, queued));
  if (next === undefined) {
    return createReduction(state);
  }
  const { attemptId } = next;
  const running = setEntry(state.running, attemptId, {
    kind: next.row.kind,
    startedAtMs: nowMs,
  });
  const queue = state.queue.filter((q) => q.attemptId !== attemptId);
  const rest = startQueued({ ...state, running, queue }, nowMs);
  return createReduction(rest.state, [
    { type: "RunRequest", attemptId },
    ...rest.effects,
  ]);
}

function hasRoom(state: AdmissionState, request: AdmissionRequest): boolean {
  if (state.running.size >= state.slots) {
    return false;
  }
  let sameKind = 0;
  for (const running of state.running.values()) {
    sameKind += running.kind === request.row.kind ? 1 : 0;
  }
  return sameKind < request.row.concurrency;
}
