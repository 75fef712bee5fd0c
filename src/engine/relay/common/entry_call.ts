/** A call as its entry node keeps it until the final answer. */
import { cutFirstPart } from "../../mesh/common/body_parts.ts";
import type { BodyCollector } from "../../mesh/common/body_parts.ts";
import type { AnswerOpened, CallOpened } from "../../mesh/common/frames.ts";
import type { BudgetedCall } from "./entry_budget.ts";
import type {
  Attempt,
  EntryFailure,
  EntryRequest,
  EntryResult,
} from "./entry_types.ts";

/** A call that was started, with where its result goes. */
export interface EntryCall {
  readonly id: number;
  readonly request: EntryRequest;
  readonly service: string;
  readonly onResult: (result: EntryResult) => void;
  readonly tried: Set<string>;
  handoverCount: number;
  mayHaveRun: boolean;
  rerouteCount: number;
  retryAfterMs: number;
  attempt: Attempt | undefined;
  answer:
    | { readonly opened: AnswerOpened; readonly body: BodyCollector }
    | undefined;
}

/** A refused caller comes back no sooner, in milliseconds. */
export const MIN_RETRY_AFTER_MS = 50;

/** Creates a call that was sent nowhere yet. */
export function createEntryCall(
  id: number,
  request: EntryRequest,
  service: string,
  onResult: (result: EntryResult) => void,
): EntryCall {
  return {
    id,
    request,
    service,
    onResult,
    tried: new Set(),
    handoverCount: 0,
    mayHaveRun: false,
    rerouteCount: 0,
    retryAfterMs: MIN_RETRY_AFTER_MS,
    attempt: undefined,
    answer: undefined,
  };
}

/** Creates the frame that hands a call to a node. */
export function createCallOpened(call: EntryCall): CallOpened {
  const { request, service } = call;
  const { route, body } = request;
  return {
    type: "CallOpened",
    call: call.id,
    requestId: request.requestId,
    service,
    method: request.method,
    target: request.target,
    headers: request.headers,
    deadlineMs: request.deadlineMs,
    rank: request.rank,
    route: route.name,
    isIdempotent: route.isIdempotent,
    isNested: request.isNested,
    repeatShare: call.handoverCount > 0 ? 1 : request.repeatShare,
    bodyBytes: body.length,
    body: cutFirstPart(body),
  };
}

/** Creates what the retry budget counts of a call. */
export function createBudgetedCall(
  { request, service }: EntryCall,
): BudgetedCall {
  const { route, isNested, repeatShare } = request;
  return { service, route: route.name, isNested, repeatShare };
}

/** Creates what the caller of a call is told that isn't tried further. */
export function createFailure(call: EntryCall): EntryFailure {
  return call.mayHaveRun
    ? { type: "Unknown" }
    : { type: "Refused", retryAfterMs: call.retryAfterMs };
}
