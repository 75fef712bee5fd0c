/**
 * The header dialect of callers and backend servers, as an adapter provides it.
 */
import type { HeaderList } from "../../mesh/common/frames.ts";
import type { BackendStatement } from "./backend_notice.ts";

/** Headers by lower-case name, as Node's HTTP parser returns them. */
export type HeaderMap = Readonly<
  Record<string, string | readonly string[] | undefined>
>;

/** Metadata that a caller sends with its request. */
export interface RequestMetadata {
  /** Undefined if the caller sent no id. */
  readonly requestId: string | undefined;
  /** How long the caller waits for its answer; undefined if it doesn't say. */
  readonly timeoutMs: number | undefined;
  /** Key of a workspace, in clear text; undefined if the caller sent none. */
  readonly key: string | undefined;
}

/** Origin of a request, determined by the node and not by the caller. */
export interface CallOrigin {
  /** Service whose backend server runs on the VM of the caller. */
  readonly service: string;
  /** Name of the workspace that owns the request's key. */
  readonly workspace: string | undefined;
}

/** What the node sends to the backend server along with one request. */
export interface BackendRequestContext {
  readonly headers: HeaderList;
  /** Time until the deadline of the request. */
  readonly timeLeftMs: number;
  /** Id of the instance that must run the request, if one is known. */
  readonly instanceId: string | undefined;
}

/** Head of an answer, as the backend server sent it. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: HeaderMap;
  /** Id of the request that was sent on the connection. */
  readonly requestId: string;
}

/** Result of validating the head of an answer. */
export type AnswerValidation =
  /** The backend server's own answer to this request. */
  | { readonly type: "Answered" }
  /** The backend server did not run the request. */
  | { readonly type: "NotRun"; readonly reason: string }
  /** Another instance uses the address; it did not run the request. */
  | { readonly type: "WrongInstance" }
  /**
   * Not a valid answer to this request, but for example the answer to another:
   * the connection can't be reused.
   */
  | { readonly type: "Foreign"; readonly reason: string };

/**
 * Load that a backend server reports in an answer. A figure that is missing or
 * that can't be read is undefined.
 */
export interface BackendLoad {
  readonly running: number | undefined;
  readonly queued: number | undefined;
  readonly slots: number | undefined;
  /** How long work takes on its machine at this moment, relative to usual. */
  readonly slowdown: number | undefined;
}

/** Pure translations of headers at the two edges of the mesh. */
export interface CallDialect {
  readonly readRequestMetadata: (headers: HeaderMap) => RequestMetadata;
  /** Drops the key and every header that only a node may set. */
  readonly createCallHeaders: (
    rawHeaders: readonly string[],
    origin: CallOrigin,
  ) => HeaderList;
  readonly createBackendHeaders: (context: BackendRequestContext) => HeaderList;
  readonly validateAnswer: (head: AnswerHead) => AnswerValidation;
  /** Selects the headers of an answer that are returned to the caller. */
  readonly createAnswerHeaders: (rawHeaders: readonly string[]) => HeaderList;
  /**
   * Reads the load that the backend server reports; undefined if it doesn't.
   */
  readonly readLoad: (headers: HeaderMap) => BackendLoad | undefined;
  /** Reads what the backend server says of itself in an answer. */
  readonly readStatement: (headers: HeaderMap) => BackendStatement;
}
