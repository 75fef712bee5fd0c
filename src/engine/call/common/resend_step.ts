/** Checks a call from outside against its caller's budget of resends. */
import { computeRetryAfter } from "../../admission/common/retry_after.ts";
import { reduceResendBudget } from "../../retry/common/resend_budget.ts";
import type { TableRow } from "../../table/common/table_row.ts";
import type { OwnAnswer } from "./answers.ts";
import type { CallReceived } from "./call_events.ts";
import type { NodeState } from "./node_state.ts";

/** What the budget comes to. */
export interface ResendCheck {
  readonly state: NodeState;
  /** Undefined: the call goes on. */
  readonly refusal: OwnAnswer | undefined;
}

/** Longer ids aren't remembered, and so never refused. */
const MAX_ID_LENGTH = 512;

/**
 * Counts a call against the budget; what names no caller or no id passes.
 *
 * This comes after the checks of the row, which cost nothing and whose answer
 * no resend changes, and before the call is opened. Rows that aren't idempotent
 * have no such budget: they are the last work to be refused, a resend of a key
 * never runs again, and whoever lost the first answer needs it.
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

/** One id may be on several requests of a caller: the target belongs to it. */
function getResendId(received: CallReceived): string | undefined {
  const { method, path, requestKey, requestId } = received;
  const name = requestKey === undefined
    ? requestId
    : `key ${path} ${requestKey.key}`;
  const isUsable = name !== undefined && name.length <= MAX_ID_LENGTH;
  return isUsable ? `${method} ${name}` : undefined;
}
