/** How long a suspect may wait for its turn. */
import { Snapshots } from "../../../base/test/snapshot.ts";
import type { CrashEvidence } from "../common/crash_evidence.ts";
import { computeLatestStartMs } from "../common/suspect_wait.ts";

const snapshots = new Snapshots(import.meta.url);
const ARRIVED_AT_MS = 1_000;

function createEvidence(
  endsAfterMs: readonly (number | undefined)[],
): CrashEvidence {
  const ends = endsAfterMs.map((afterMs, index) => ({
    instance: `i-${index}`,
    wasAlone: false,
    others: 1,
    afterMs,
  }));
  return { fingerprint: "a", ends, pardoned: [], changedAtMs: 0 };
}

describe("the wait of a suspect", () => {
  // Guards against a run that the backend server stops just before it ends it.
  it("leaves the time of the shortest run that ended a server, or half", () => {
    const cases: readonly (readonly (number | undefined)[])[] = [
      [],
      [undefined],
      [80],
      [80, 300],
      [undefined, 80],
      [700],
    ];
    const rows = [800, 60].flatMap((timeMs) =>
      cases.map((endsAfterMs) => {
        const times = {
          arrivedAtMs: ARRIVED_AT_MS,
          deadlineMs: ARRIVED_AT_MS + timeMs,
        };
        const evidence = [createEvidence(endsAfterMs)];
        const waitMs = computeLatestStartMs(times, evidence) - ARRIVED_AT_MS;
        const ends = endsAfterMs.map((each) => `${each}`).join(" ");
        return `of ${timeMs} ms, ends after [${ends}]: ${waitMs} ms`;
      })
    );
    snapshots.match("waits", rows);
  });
});
