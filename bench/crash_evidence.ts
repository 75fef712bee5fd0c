/**
 * Measures what evidence against requests costs: the check of each call, the
 * end of a backend server, and the size of its report.
 */
import process from "node:process";
import { Packr } from "msgpackr";
import { CrashKnowledge } from "../src/engine/quarantine/common/crash_knowledge.ts";
import type { CrashReport } from "../src/engine/quarantine/common/crash_messages.ts";
import { computeRequestDigest } from "../src/engine/quarantine/node/request_digest.ts";

const SERVICE = "worker";
const CALLS = 300_000;
/** Requests that run at a large backend server when it ends. */
const RUNS = 84;
const LARGE_BODY_BYTES = 2 * 1_048_576;
const RECORDED = 500;

function createRequest(target: string, body = new Uint8Array()) {
  return {
    method: "GET",
    host: "a.example",
    target,
    body,
    callerService: "front",
  };
}

function createKnowledge(onFound: (report: CrashReport) => void = () => {}) {
  return new CrashKnowledge({
    computeDigest: computeRequestDigest,
    readClock: () => performance.now(),
    onFound,
    onVerdictChanged: () => {},
  });
}

function createRuns(count: number, bodyBytes: number) {
  return Array.from({ length: count }, (_, index) => ({
    request: createRequest(`/item/${index}`, new Uint8Array(bodyBytes)),
    isOnlySuspect: false,
  }));
}

/** Measures one check of a call, in microseconds. */
function measureCheckUs(knowledge: CrashKnowledge, target: string): number {
  const request = createRequest(target);
  const startMs = performance.now();
  for (let call = 0; call < CALLS; call += 1) {
    if (knowledge.hasRecord(SERVICE)) {
      knowledge.evaluate(SERVICE, request);
    }
  }
  return (performance.now() - startMs) * 1_000 / CALLS;
}

function measureEnd(bodyBytes: number) {
  let bytes = 0;
  const knowledge = createKnowledge((report) => {
    bytes = new Packr({ useRecords: false }).pack(report).length;
  });
  const runs = createRuns(RUNS, bodyBytes);
  const startMs = performance.now();
  knowledge.recordEnd(SERVICE, "i-7f3a91c2@10.1.0.8:7662", runs);
  return { elapsedMs: performance.now() - startMs, bytes };
}

const full = createKnowledge();
full.recordEnd(SERVICE, "i-1", createRuns(RECORDED, 0));
const results = {
  checkWithoutRecordUs: measureCheckUs(createKnowledge(), "/item/x"),
  checkOfOtherUs: measureCheckUs(full, "/item/x"),
  checkOfRecordedUs: measureCheckUs(full, "/item/7"),
  end: measureEnd(0),
  endWithLargeBodies: measureEnd(LARGE_BODY_BYTES),
};
process.stdout.write(`${JSON.stringify(results, undefined, 2)}\n`);
