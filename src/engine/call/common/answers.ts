/** Answers that a node generates itself, and their signal headers. */
import { encodeLevel } from "../../admission/common/admission_level.ts";
import type { AdmissionLevel } from "../../admission/common/admission_level.ts";
import type { RefusalReason } from "../../admission/common/admission_types.ts";
import {
  DRAINING_HEADER,
  LEVEL_HEADER,
  LOAD_HEADER,
  OUTCOME_HEADER,
  TOKENS_HEADER,
} from "./call_context.ts";
import type { CallOutcome } from "./call_context.ts";
import type { AnswerCall, SignalHeaders } from "./call_events.ts";

/** An answer that is not yet bound to an exchange. */
export interface OwnAnswer {
  readonly status: number;
  readonly outcome: CallOutcome;
  readonly message: string;
  /** Delay after which the caller may retry, in milliseconds. */
  readonly retryAfterMs?: number;
  /** Reason of the refusal on the time line; defaults to the message. */
  readonly reason?: RefusalReason;
}

/** Signals that every answer to another node carries. */
export interface AnswerSignals {
  readonly outcome: CallOutcome;
  /** Unused retry tokens, returned to the caller. */
  readonly tokens?: number;
  readonly isDraining?: boolean;
  /** Admission level; undefined where callers need not refuse early. */
  readonly level?: AdmissionLevel | undefined;
  /** Load hint of the local backend server, in whole per cent. */
  readonly load?: number | undefined;
}

/** Retry delay of a "not-run" answer that sets none. */
const DEFAULT_RETRY_AFTER_MS = 1_000;

/** Creates the effect that answers an exchange. */
export function createAnswer(
  exchangeId: string,
  answer: OwnAnswer,
  signals: Omit<AnswerSignals, "outcome"> = {},
): AnswerCall {
  const { outcome } = answer;
  const retryAfterMs = answer.retryAfterMs ?? getDefaultRetryAfter(answer);
  const headers = createSignalHeaders({ ...signals, outcome });
  const retryAfter = retryAfterMs === undefined
    ? {}
    : { "retry-after": String(Math.max(1, Math.ceil(retryAfterMs / 1000))) };
  return {
    type: "AnswerCall",
    exchangeId,
    status: answer.status,
    headers: { ...headers, ...retryAfter },
    message: answer.message,
  };
}

/** Returns a delay for "not-run" answers with a temporary cause, status 5xx. */
function getDefaultRetryAfter(
  { outcome, status }: OwnAnswer,
): number | undefined {
  return outcome === "not-run" && status >= 500
    ? DEFAULT_RETRY_AFTER_MS
    : undefined;
}

/** Converts signals to headers. */
export function createSignalHeaders(signals: AnswerSignals): SignalHeaders {
  const { outcome, tokens, isDraining, level, load } = signals;
  return {
    [OUTCOME_HEADER]: outcome,
    ...(tokens === undefined ? {} : { [TOKENS_HEADER]: String(tokens) }),
    ...(isDraining === true ? { [DRAINING_HEADER]: "1" } : {}),
    ...(level === undefined ? {} : { [LEVEL_HEADER]: encodeLevel(level) }),
    ...(load === undefined ? {} : { [LOAD_HEADER]: String(load) }),
  };
}
