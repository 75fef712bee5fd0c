/** Fakes for the tests of the gate. */
import type { CallOpened } from "../../mesh/common/frames.ts";
import type { CallDialect } from "../common/dialect.ts";
import { EMPTY_STATEMENT } from "../common/backend_notice.ts";
import { computeMemoryShares } from "../common/memory_shares.ts";
import type { LocalBackend } from "../common/local_backend.ts";

/** The limits of a process of 350 MB. */
export const MEMORY = computeMemoryShares(350 * 1_048_576);

/** A dialect that adds no headers. */
export const DIALECT: CallDialect = {
  readRequestMetadata: () => ({
    requestId: undefined,
    timeoutMs: undefined,
    key: undefined,
  }),
  createCallHeaders: (headers) => headers,
  createBackendHeaders: ({ headers }) => headers,
  validateAnswer: () => ({ type: "Answered" }),
  createAnswerHeaders: (headers) => headers,
  readLoad: () => undefined,
  readStatement: () => EMPTY_STATEMENT,
};

/** Creates a non-idempotent call to the service of the gate's backend server. */
export function createCall(
  call: number,
  change: Partial<CallOpened>,
): CallOpened {
  return {
    type: "CallOpened",
    call,
    requestId: `r${call}`,
    service: "warehouse",
    method: "POST",
    target: "/a",
    headers: [],
    deadlineMs: 1_500,
    rank: 0,
    route: "transfer",
    isIdempotent: false,
    isNested: false,
    repeatShare: 0,
    bodyBytes: 0,
    body: new Uint8Array(),
    ...change,
  };
}

/** Creates a backend server at a loopback port. */
export function createBackend(
  port: number,
  startedAtMs?: number,
): LocalBackend {
  return {
    instanceId: "i-1",
    startedAtMs,
    service: "warehouse",
    address: { ip: "127.0.0.1", port },
    dataCentre: "a",
    slots: 1,
    isDraining: false,
    warmUntilMs: 0,
  };
}
