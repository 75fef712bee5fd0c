/** What the answer to a run proves about the request. */

/** The answer to one run, as far as it proves anything. */
export interface RunAnswer {
  /** HTTP status. */
  readonly status: number;
  /**
   * Whether the backend server was sent all of the request before it answered;
   * undefined if the observer can't tell.
   */
  readonly isRequestSent: boolean | undefined;
  /**
   * Time from the hand-over to the answer in milliseconds; undefined at an
   * entry, which doesn't know when its member handed the call over.
   */
  readonly runMs?: number | undefined;
}

/** An answer as observed at a gate or an entry, for logs. */
export interface ObservedAnswer extends RunAnswer {
  /** Process instance that answered; the member's address at an entry. */
  readonly answeredBy: string;
  /** Time from the hand-over to the deadline in milliseconds; as `runMs`. */
  readonly timeLeftMs?: number | undefined;
}

/** What an answer proves. Only a whole run speaks for the request. */
export type AnswerProof =
  /** The run did all of its work. */
  | "whole"
  /** The backend server stopped at the deadline. */
  | "expired"
  /** It failed, as a call that it made may have: the run stopped early. */
  | "failed"
  /** It turned the request down sooner than other runs ended a server. */
  | "rejected"
  /** It may have answered without reading all of the request. */
  | "unread";

const BAD_REQUEST = 400;
const SERVER_ERROR = 500;
const GATEWAY_TIMEOUT = 504;

/**
 * Evaluates an answer. `longestEndMs` is the longest time from a hand-over of
 * the request to an end of its backend server; undefined if none is known.
 */
export function evaluateAnswer(
  { status, isRequestSent, runMs }: RunAnswer,
  longestEndMs?: number,
): AnswerProof {
  if (status >= SERVER_ERROR) {
    return status === GATEWAY_TIMEOUT ? "expired" : "failed";
  }
  if (isRequestSent !== true) {
    return "unread";
  }
  const isLongEnough = runMs !== undefined && longestEndMs !== undefined &&
    runMs >= longestEndMs;
  return status >= BAD_REQUEST && !isLongEnough ? "rejected" : "whole";
}
