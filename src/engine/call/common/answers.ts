/** The answers that a node gives itself, and the headers that go with them. */
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

/** An answer before it is bound to an exchange. */
export interface OwnAnswer {
  readonly status: number;
  readonly outcome: CallOutcome;
  readonly message: string;
  /** When the caller should come back, in milliseconds. */
  readonly retryAfterMs?: number;
  /** Why it was refused, for the time line; the message where left out. */
  readonly reason?: RefusalReason;
}

/** What rides on every answer to another node. */
export interface AnswerSignals {
  readonly outcome: CallOutcome;
  readonly tokens?: number;
  readonly isDraining?: boolean;
  /** Undefined: nothing is to be refused early. */
  readonly level?: AdmissionLevel | undefined;
  /** What the platform's endpoints hint at, whole per cent. */
  readonly load?: number | undefined;
}

/** When to come back after a "not run" that says no time of its own. */
const DEFAULT_RETRY_AFTER_MS = 1_000;

/** Creates the answer effect of one exchange. */
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

/** A "not run" that a later try may change says when to come back. */
function getDefaultRetryAfter(
  { outcome, status }: OwnAnswer,
): number | undefined {
  return outcome === "not-run" && status >= 500
    ? DEFAULT_RETRY_AFTER_MS
    : undefined;
}

/** Writes signals as headers. */
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
