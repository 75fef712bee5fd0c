/** Log lines of a call at the gate: each decision with its inputs. */
import type { FailureKind, LoadFigures } from "../../mesh/common/frames.ts";
import type { GateEffect } from "./gate.ts";
import type { GateCallState } from "./gate_call_index.ts";
import type { RelayLine } from "./relay_log.ts";

/** Creates the line of a call that is handed over to the backend server. */
export function createHandedOverLine(
  call: GateCallState,
  /** `lagMs`: current delay of the event loop. */
  { nowMs, lagMs }: { readonly nowMs: number; readonly lagMs: number },
): RelayLine {
  const { opened, deadlineMs, arrivedAtMs, transitDelayMs } = call;
  return {
    event: "CallHandedOver",
    isFailure: false,
    requestId: opened.requestId,
    route: opened.route,
    isNested: opened.isNested,
    repeatShare: opened.repeatShare,
    timeLeftMs: deadlineMs - nowMs,
    onWayMs: transitDelayMs,
    waitedMs: nowMs - arrivedAtMs - transitDelayMs,
    lagMs,
  };
}

/**
 * Creates the line of a call that ends without an answer of the backend server.
 */
export function createFailedLine(
  call: GateCallState,
  details: {
    readonly kind: FailureKind;
    readonly reason: string;
    readonly load: LoadFigures;
    readonly nowMs: number;
  },
): RelayLine {
  const { requestId, route, rank, isNested } = call.opened;
  const { kind, reason, load: { running, queued, limit }, nowMs } = details;
  return {
    event: "CallFailed",
    isFailure: true,
    requestId,
    route,
    rank,
    isNested,
    kind,
    reason,
    waitedMs: nowMs - call.arrivedAtMs,
    running,
    queued,
    limit,
  };
}

/** Creates the line of a call whose caller has disconnected. */
export function createCancelledLine(
  call: GateCallState,
  { reason, wasRunning }: {
    readonly reason: string;
    readonly wasRunning: boolean;
  },
): RelayLine {
  return {
    event: "CallCancelled",
    isFailure: false,
    requestId: call.opened.requestId,
    reason,
    wasRunning,
  };
}

/** Creates a line for each change in what a backend server says of itself. */
export function createNoticeLines(
  effect: Extract<GateEffect, { type: "NoticeChanged" }>,
  service: string | undefined,
): readonly RelayLine[] {
  const { changes, before, after, source } = effect;
  return changes.map((change) => ({
    event: "BackendNoticeChanged",
    isFailure: false,
    ...source,
    service,
    instance: after?.instance ?? before?.instance,
    reason: change,
    requestsPerSecond: after?.requestsPerSecond,
    previousPerSecond: before?.requestsPerSecond,
    isLeaving: after?.isLeaving ?? false,
  }));
}
