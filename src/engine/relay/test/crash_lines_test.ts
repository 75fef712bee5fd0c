/** Log lines on requests that are suspected of ending backend servers. */
import { Snapshots } from "../../../base/test/snapshot.ts";
import type { VerdictChange } from "../../quarantine/common/crash_knowledge.ts";
import { createVerdictLine } from "../common/crash_lines.ts";
import { createCrashKnowledge } from "./crash_fakes.ts";

const snapshots = new Snapshots(import.meta.url);
const REQUEST = {
  method: "GET",
  host: "a.example",
  target: "/a",
  body: new Uint8Array(),
  callerService: "front",
};

describe("the line of a changed verdict", () => {
  // Guards against a pardon in the log that no answer explains.
  it("names the answer that changed it, and the ends it took back", () => {
    const changes: VerdictChange[] = [];
    const knowledge = createCrashKnowledge({
      onVerdictChanged: (change) => changes.push(change),
    });
    const run = { request: REQUEST, isOnlySuspect: false, ranMs: 80 };
    knowledge.recordEnd("worker", "i-1@a:1", [run]);
    knowledge.recordAnswer("worker", REQUEST, {
      status: 200,
      isRequestSent: true,
      answeredBy: "i-2@b:1",
      runMs: 85,
      timeLeftMs: 1_500,
    });
    snapshots.match("changes", changes.map(createVerdictLine));
  });
});
