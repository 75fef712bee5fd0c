/** What the answer to a run proves about its request. */
import { Snapshots } from "../../../base/test/snapshot.ts";
import { evaluateAnswer } from "../common/answer_proof.ts";

const snapshots = new Snapshots(import.meta.url);
const STATUSES = [200, 204, 302, 400, 404, 500, 502, 503, 504] as const;
/** Time from hand-over to answer; undefined at an entry. */
const RUNS_MS = [10, 90, undefined] as const;
/** Longest time from hand-over to an end; undefined if none is known. */
const ENDS_MS = [80, undefined] as const;
const IS_SENT = [true, false, undefined] as const;

describe("what an answer proves", () => {
  // Guards against an answer that clears a request whose run stopped early.
  it("depends on its status, the run, and what was read before it", () => {
    const rows = STATUSES.flatMap((status) =>
      IS_SENT.flatMap((isRequestSent) =>
        RUNS_MS.flatMap((runMs) =>
          ENDS_MS.map((longestEndMs) => {
            const answer = { status, isRequestSent, runMs };
            const proof = evaluateAnswer(answer, longestEndMs);
            const sent = `sent ${isRequestSent}`;
            const run = `run ${runMs} ms, ends ${longestEndMs} ms`;
            return `${status}, ${sent}, ${run}: ${proof}`;
          })
        )
      )
    );
    snapshots.match("proofs", rows);
  });
});
