/** Requests, attempts and results of calls at the entry node. */
import type { HeaderList } from "../../mesh/common/frames.ts";
import type { Route } from "../../routes/common/route_table.ts";
import type { Member } from "./member.ts";

/** A caller's request, after its whole body was read. */
export interface EntryRequest {
  readonly requestId: string;
  readonly route: Route;
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly headers: HeaderList;
  readonly body: Uint8Array;
  readonly arrivedAtMs: number;
  /**
   * Upper bound of the time that the request's connection waited to be
   * accepted, before `arrivedAtMs`.
   */
  readonly queuedMs: number;
  /** When the caller must have its final answer. */
  readonly deadlineMs: number;
  /** Whether the local backend server made the call. */
  readonly isNested: boolean;
  /** Probability that a repeated run made the call, 0 to 1. */
  readonly repeatShare: number;
  /** Urgency rank of the route and the workspace; 0 is the most urgent. */
  readonly rank: number;
}

/** Why a call has no answer of a backend server. */
export type EntryFailure =
  /** The call ran nowhere and never will. */
  | { readonly type: "Refused"; readonly retryAfterMs: number }
  /** Whether the call ran is not known. */
  | { readonly type: "Unknown" }
  /** The deadline has passed. */
  | { readonly type: "Expired" };

/** Why a call is sent to another backend server. */
export type RetryCause =
  /** Nothing was received on the link of its attempt for too long. */
  | "stalled"
  /** The link of its attempt was lost. */
  | "link_lost"
  /** The backend server answered with an error status. */
  | "status"
  /** The backend server reported that it did not run the call. */
  | "rejected"
  /** The backend server did not answer, or not completely. */
  | "answer_lost"
  /** No backend server received the call. */
  | "refused";

/** Final result of a call. */
export type EntryResult =
  | {
    readonly type: "Answered";
    readonly status: number;
    readonly headers: HeaderList;
    readonly body: Uint8Array;
  }
  | { readonly type: "Failed"; readonly failure: EntryFailure };

/** An attempt in progress. */
export interface Attempt {
  readonly member: Member;
  /** Address of the member's node. */
  readonly address: string;
  /** Id of the call on the link. */
  readonly call: number;
  readonly sentAtMs: number;
}
