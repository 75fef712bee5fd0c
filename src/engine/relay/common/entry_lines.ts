/** Log lines of a call at its entry: each decision with its inputs. */
import type { BackendNotice, FailureKind } from "../../mesh/common/frames.ts";
import { listNoticeChanges } from "./backend_notice.ts";
import type { EntryCall } from "./entry_call.ts";
import type { BudgetCounts } from "./entry_budget.ts";
import type { EntryFailure, RetryCause } from "./entry_types.ts";
import type { RelayLine } from "./relay_log.ts";

/** Creates the line of a call that is sent on to another member. */
export function createMovedLine(
  call: EntryCall,
  details: {
    /** Address of the member whose attempt failed. */
    readonly from: string;
    readonly kind: FailureKind;
    readonly cause: RetryCause;
    readonly reason: string;
    /** Attempts sent to the service in the window, without this retry. */
    readonly budget: BudgetCounts;
    readonly nowMs: number;
  },
): RelayLine {
  const { from, kind, cause, reason, budget, nowMs } = details;
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

/** Creates the line of a call whose caller has disconnected. */
export function createWithdrawnLine(
  call: EntryCall,
  details: {
    readonly nowMs: number;
    /** Whether frames to the member are sent without waiting for the link. */
    readonly isLinkOpen: boolean;
    /** Current delay of the event loop. */
    readonly lagMs: number;
  },
): RelayLine {
  const { requestId, route, isNested, arrivedAtMs, queuedMs } = call.request;
  const { nowMs, isLinkOpen, lagMs } = details;
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

/** Creates the line of a call that ended without an answer. */
export function createUnansweredLine(
  call: EntryCall,
  details: {
    readonly failure: EntryFailure;
    readonly reason: string;
    readonly nowMs: number;
    /** Further values that the decision depended on. */
    readonly inputs: Readonly<Record<string, unknown>>;
  },
): RelayLine {
  const { failure, reason, nowMs, inputs } = details;
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

/** Creates a line for each change in what a member's backend server says. */
export function createMemberNoticeLines(
  /** Address of the member's node, which passed the notice on. */
  member: string,
  before: BackendNotice | undefined,
  after: BackendNotice | undefined,
): readonly RelayLine[] {
  return listNoticeChanges(before, after).map((change) => ({
    event: "MemberNoticeChanged",
    isFailure: false,
    member,
    instance: after?.instance,
    previousInstance: before?.instance,
    reason: change,
    requestsPerSecond: after?.requestsPerSecond,
    previousPerSecond: before?.requestsPerSecond,
    isLeaving: after?.isLeaving ?? false,
  }));
}
