/** Test requests at an entry node. */
import type { Route } from "../../routes/common/route_table.ts";
import type { EntryRequest } from "../common/entry_types.ts";

/** An idempotent route. */
export const ROUTE: Route = {
  name: "lookup",
  host: "a.example",
  prefix: "/",
  targets: [{ service: "warehouse", weight: 1 }],
  isIdempotent: true,
  timeoutMs: 5_000,
  objectiveMs: 500,
  rank: 0,
  maxAttempts: 2,
};

/** Creates a request of `ROUTE`; `change` overrides its fields. */
export function createEntryRequest(
  change: Partial<EntryRequest> & Pick<EntryRequest, "arrivedAtMs">,
): EntryRequest {
  return {
    requestId: "r",
    route: ROUTE,
    method: "GET",
    target: "/",
    headers: [],
    body: new Uint8Array(),
    queuedMs: 0,
    deadlineMs: change.arrivedAtMs + 5_000,
    isNested: false,
    repeatShare: 0,
    rank: 0,
    ...change,
  };
}
