/** The log lines of a call at its entry: what was decided, and by what. */
import type { FailureKind } from "../../mesh/common/frames.ts";
import type { EntryCall } from "./entry_call.ts";
import type { BudgetCounts } from "./entry_budget.ts";
import type { EntryFailure, RetryCause } from "./entry_types.ts";
import type { RelayLine } from "./relay_log.ts";

/** Creates the line of a call that goes on at another member. */
export function createMovedLine(
  call: EntryCall,
  moved: {
    /** Address of the member that it leaves. */
    readonly from: string;
    readonly kind: FailureKind;
    readonly cause: RetryCause;
    readonly reason: string;
    /** Of the service, before this retry. */
    readonly budget: BudgetCounts;
    readonly nowMs: number;
  },
): RelayLine {
  const { from, kind, cause, reason, budget, nowMs } = moved;
  const { requestId, route, isNested, repeatShare } = call.request;
  return {
    event: "CallMoved",
    isFailure: false,
    requestId,
    route: route.name,
    isNested,
    repeatShare,
    service: call.service,
    from,
    kind,
    cause,
    reason,
    ...budget,
    handedOver: call.handoverCount,
    timeLeftMs: call.request.deadlineMs - nowMs,
  };
}

/** Creates the line of a call whose caller has left. */
export function createWithdrawnLine(
  call: EntryCall,
  withdrawn: {
    readonly nowMs: number;
    /** Whether frames to the member leave at once. */
    readonly isLinkOpen: boolean;
    /** How far the event loop is behind. */
    readonly lagMs: number;
  },
): RelayLine {
  const { requestId, route, isNested, arrivedAtMs, queuedMs } = call.request;
  const { nowMs, isLinkOpen, lagMs } = withdrawn;
  return {
    event: "CallWithdrawn",
    isFailure: false,
    requestId,
    route: route.name,
    isNested,
    service: call.service,
    member: call.attempt?.address,
    isLinkOpen,
    sinceSentMs: call.attempt && nowMs - call.attempt.sentAtMs,
    elapsedMs: nowMs - arrivedAtMs,
    queuedMs,
    lagMs,
  };
}

/** Creates the line of a call that ends without an answer. */
export function createUnansweredLine(
  call: EntryCall,
  ended: {
    readonly failure: EntryFailure;
    readonly reason: string;
    readonly nowMs: number;
    /** What decided it beyond the call's own state. */
    readonly inputs: Readonly<Record<string, number>>;
  },
): RelayLine {
  const { failure, reason, nowMs, inputs } = ended;
  const { request } = call;
  const { requestId, route, rank, isNested, arrivedAtMs, queuedMs } = request;
  return {
    event: "CallNotAnswered",
    isFailure: true,
    requestId,
    route: route.name,
    rank,
    isNested,
    service: call.service,
    outcome: failure.type,
    reason,
    tried: [...call.tried],
    handedOver: call.handoverCount,
    elapsedMs: nowMs - arrivedAtMs,
    queuedMs,
    ...inputs,
  };
}
