/** Checks a call from outside against its caller's resend budget. */
import { computeRetryAfter } from "../../admission/common/retry_after.ts";
import { reduceResendBudget } from "../../retry/common/resend_budget.ts";
import type { TableRow } from "../../table/common/table_row.ts";
import type { OwnAnswer } from "./answers.ts";
import type { CallReceived } from "./call_events.ts";
import type { NodeState } from "./node_state.ts";

/** Result of checking a call against the budget. */
export interface ResendCheck {
  readonly state: NodeState;
  /** Undefined where the call may proceed. */
  readonly refusal: OwnAnswer | undefined;
}

/** In characters; calls with longer ids aren't counted or refused. */
const MAX_ID_LENGTH = 512;

/**
 * Counts a call against the budget of its caller. Calls without a caller or an
 * id pass.
 *
 * Runs after the checks against the row, which are cheap and give a resend the
 * same answer, and before the call is opened. Kinds that aren't idempotent have
 * no resend budget: they are the last to be refused under overload, a resend
 * with the same key never runs again, and a caller that lost the first answer
 * needs the resend to get it.
 */
export function checkResend(
  state: NodeState,
  received: CallReceived,
  row: TableRow,
  nowMs: number,
): ResendCheck {
  const { caller, exchangeId } = received;
  const id = getResendId(received);
  if (!row.idempotent || caller === undefined || id === undefined) {
    return { state, refusal: undefined };
  }
  const type = "RequestReceived";
  const step = reduceResendBudget(state.resends, { type, caller, id }, nowMs);
  const next = { ...state, resends: step.state };
  if (step.effects.length === 0) {
    return { state: next, refusal: undefined };
  }
  const { pressure } = state.admission.level;
  const refusal: OwnAnswer = {
    status: 429,
    outcome: "not-run",
    message: "Refused: too many resends by this caller",
    retryAfterMs: computeRetryAfter(exchangeId, pressure),
  };
  return { state: next, refusal };
}

/**
 * Returns an id that is the same in each resend. It includes the request's
 * target, as a caller may use one id for requests to several targets.
 */
function getResendId(received: CallReceived): string | undefined {
  const { method, path, requestKey, requestId } = received;
  const name = requestKey === undefined
    ? requestId
    : `key ${path} ${requestKey.key}`;
  const isUsable = name !== undefined && name.length <= MAX_ID_LENGTH;
  return isUsable ? `${method} ${name}` : undefined;
}
