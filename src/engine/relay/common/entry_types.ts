/** Calls as the entry node holds them. */
import type { HeaderList } from "../../mesh/common/frames.ts";
import type { Route } from "../../routes/common/route_table.ts";
import type { Member } from "./member.ts";

/** What a caller asked for, read whole. */
export interface EntryRequest {
  readonly requestId: string;
  readonly route: Route;
  readonly method: string;
  readonly target: string;
  readonly headers: HeaderList;
  readonly body: Uint8Array;
  readonly arrivedAtMs: number;
  /** Longest time that it can have waited unread, in milliseconds. */
  readonly queuedMs: number;
  /** When the caller has its final answer. */
  readonly deadlineMs: number;
  /** Whether the local backend server made the call. */
  readonly isNested: boolean;
  /** How likely it is that a repeated run made the call, 0 to 1. */
  readonly repeatShare: number;
  /** Of the route; 0 is the most urgent. */
  readonly rank: number;
}

/** Why a call has no answer of a backend server. */
export type EntryFailure =
  /** It ran nowhere and never will. */
  | { readonly type: "Refused"; readonly retryAfterMs: number }
  | { readonly type: "Unknown" }
  | { readonly type: "Expired" };

/** Why a call is sent on to another backend server. */
export type RetryCause =
  /** The link to its node has been silent. */
  | "stalled"
  | "link_lost"
  /** The backend server answered with a failure. */
  | "status"
  | "rejected"
  | "answer_lost"
  /** No backend server saw it. */
  | "refused";

/** What the caller gets. */
export type EntryResult =
  | {
    readonly type: "Answered";
    readonly status: number;
    readonly headers: HeaderList;
    readonly body: Uint8Array;
  }
  | { readonly type: "Failed"; readonly failure: EntryFailure };

/** Where a call is now. */
export interface Attempt {
  readonly member: Member;
  readonly address: string;
  /** Number of the call on the link. */
  readonly call: number;
  readonly sentAtMs: number;
}
