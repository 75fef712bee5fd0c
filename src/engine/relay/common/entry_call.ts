/** State of a call at its entry node, from its start to the final answer. */
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

/** A call in progress, with the callback for its result. */
export interface EntryCall {
  readonly id: number;
  readonly request: EntryRequest;
  /** Service that the call is sent to. */
  readonly service: string;
  readonly onResult: (result: EntryResult) => void;
  /** Addresses of the members that the call was sent to. */
  readonly tried: Set<string>;
  /** Failed attempts that a backend server has, or may have, received. */
  handoverCount: number;
  /** Whether a backend server may have begun to run the call. */
  mayHaveRun: boolean;
  /**
   * How many nodes refused the call before their backend server received it.
   */
  rerouteCount: number;
  /** Time from a refusal until the caller may repeat its request. */
  retryAfterMs: number;
  /** Attempt in progress; undefined if there is none. */
  attempt: Attempt | undefined;
  /** Answer that is being received; undefined before its head. */
  answer:
    | { readonly opened: AnswerOpened; readonly body: BodyCollector }
    | undefined;
}

/** Shortest time after which a refused caller may repeat its request. */
export const MIN_RETRY_AFTER_MS = 50;

/** Creates a call that has not been sent to any node. */
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

/** Creates the frame that sends a call to a node. */
export function createCallOpened(
  call: EntryCall,
  evidence: CallOpened["evidence"],
): CallOpened {
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
    ...(evidence === undefined ? {} : { evidence }),
  };
}

/** Creates the view of a call that the retry budget needs. */
export function createBudgetedCall(
  { request, service }: EntryCall,
): BudgetedCall {
  const { route, isNested, repeatShare } = request;
  return { service, route: route.name, isNested, repeatShare };
}

/** Creates the failure that a caller receives when its call is not retried. */
export function createFailure(call: EntryCall): EntryFailure {
  return call.mayHaveRun
    ? { type: "Unknown" }
    : { type: "Refused", retryAfterMs: call.retryAfterMs };
}
