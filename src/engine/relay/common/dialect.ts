/** How callers and backend servers speak: what an adapter provides. */
import type { HeaderList, LoadFigures } from "../../mesh/common/frames.ts";

/** Headers by their names in lower case, as Node's HTTP parser gives them. */
export type HeaderMap = Readonly<
  Record<string, string | readonly string[] | undefined>
>;

/** What a caller says of its request. */
export interface RequestMetadata {
  /** Undefined where the caller sent none. */
  readonly requestId: string | undefined;
  /** How long the caller will wait; undefined where it doesn't say. */
  readonly timeoutMs: number | undefined;
  /** Key of a workspace, in clear text; undefined where there is none. */
  readonly key: string | undefined;
}

/** What a node says of where a request comes from, whatever its caller says. */
export interface CallOrigin {
  /** Service whose backend server runs on the VM of the caller. */
  readonly service: string;
  /** Name of the workspace whose key the request had. */
  readonly workspace: string | undefined;
}

/** What the node says to the backend server about one request. */
export interface BackendRequestContext {
  readonly headers: HeaderList;
  readonly timeLeftMs: number;
  /** The incarnation that shall run it, if one is known. */
  readonly instanceId: string | undefined;
}

/** An answer's head, as the backend server sent it. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: HeaderMap;
  readonly requestId: string;
}

/** What an answer's head says. */
export type AnswerValidation =
  /** The backend server's own answer to this request. */
  | { readonly type: "Answered" }
  /** The backend server did not run the request. */
  | { readonly type: "NotRun"; readonly reason: string }
  /** Another incarnation has the address; it did not run the request. */
  | { readonly type: "WrongInstance" }
  /** Not this request's answer: the connection can't be trusted. */
  | { readonly type: "Foreign"; readonly reason: string };

/** Pure translations at the two edges of the mesh. */
export interface CallDialect {
  readonly readRequestMetadata: (headers: HeaderMap) => RequestMetadata;
  /** Headers that go on: no key, and nothing that only a node may say. */
  readonly createCallHeaders: (
    rawHeaders: readonly string[],
    origin: CallOrigin,
  ) => HeaderList;
  readonly createBackendHeaders: (terms: BackendRequestContext) => HeaderList;
  readonly validateAnswer: (head: AnswerHead) => AnswerValidation;
  /** Headers of an answer that go back to the caller. */
  readonly createAnswerHeaders: (rawHeaders: readonly string[]) => HeaderList;
  /** Load that the backend server says of itself. */
  readonly readLoad: (
    headers: HeaderMap,
  ) => Pick<LoadFigures, "running" | "queued"> | undefined;
}
