/** What a node knows of requests that end backend servers. */
import { expect } from "chai";
import { CrashKnowledge } from "../common/crash_knowledge.ts";
import type { ObservedAnswer } from "../common/answer_proof.ts";
import type { CrashReport } from "../common/crash_messages.ts";
import type { RequestIdentity } from "../common/request_identity.ts";
import { computeRequestDigest } from "../node/request_digest.ts";

const SERVICE = "worker";
const ANSWER: ObservedAnswer = {
  status: 200,
  isRequestSent: true,
  answeredBy: "i-0",
  runMs: 30,
  timeLeftMs: 1_000,
};

/** The knowledge of one node, and what it tells others. */
class Node {
  nowMs = 1_000;
  readonly found: CrashReport[] = [];
  readonly knowledge = new CrashKnowledge({
    computeDigest: computeRequestDigest,
    readClock: () => this.nowMs,
    onFound: (report) => this.found.push(report),
    onVerdictChanged: () => {},
  });

  end(instance: string, ...targets: readonly string[]): void {
    const runs = targets.map((target) => ({
      request: createRequest(target),
      isOnlySuspect: false,
    }));
    this.knowledge.recordEnd(SERVICE, instance, runs);
  }

  getVerdict(target: string, callerService = "front"): string {
    const request = { ...createRequest(target), callerService };
    return this.knowledge.evaluate(SERVICE, request).verdict.type;
  }
}

function createRequest(target: string): RequestIdentity {
  return {
    method: "GET",
    host: "a.example",
    target,
    body: new Uint8Array(),
    callerService: "front",
  };
}

describe("what a node knows of requests that end backend servers", () => {
  it("holds an end against the one request that wasn't answered since", () => {
    const node = new Node();
    node.end("i-1", "/guilty", "/innocent");
    node.knowledge.recordAnswer(SERVICE, createRequest("/innocent"), ANSWER);
    expect(node.getVerdict("/innocent")).to.equal("Clear");
    expect(node.getVerdict("/guilty")).to.equal("Suspect");
    node.end("i-2", "/guilty");
    expect(node.getVerdict("/guilty")).to.equal("Quarantined");
  });

  // Guards against an answer that clears a request whose run stopped early.
  it("is held against a request whose run did not do all its work", () => {
    const statuses = [[504, "expired"], [500, "failed"], [400, "rejected"]];
    for (const [status, proof] of statuses) {
      const node = new Node();
      node.end("i-1", "/guilty");
      const answer = { ...ANSWER, status: Number(status) };
      const request = createRequest("/guilty");
      const found = node.knowledge.recordAnswer(SERVICE, request, answer);
      expect(found).to.equal(proof);
      expect(node.getVerdict("/guilty"), proof as string).to.equal("Suspect");
    }
  });

  it("is held against a request whatever service calls", () => {
    const node = new Node();
    ["i-1", "i-2"].forEach((instance) => node.end(instance, "/guilty"));
    expect(node.getVerdict("/guilty", "other")).to.equal("Quarantined");
  });

  // Guards against answers to other callers that clear a guilty request.
  it("stays with the caller for which the servers end", () => {
    const node = new Node();
    ["i-1", "i-2"].forEach((instance) => node.end(instance, "/guilty"));
    const other = { ...createRequest("/guilty"), callerService: "other" };
    node.knowledge.recordAnswer(SERVICE, other, ANSWER);
    expect(node.getVerdict("/guilty", "other")).to.equal("Clear");
    expect(node.getVerdict("/guilty")).to.equal("Quarantined");
  });

  // Guards against a report by each node of what one of them found.
  it("is reported by its finder only, until control confirms it", () => {
    const [finder, other] = [new Node(), new Node()];
    finder.end("i-1", "/guilty", "/innocent");
    finder.knowledge.recordAnswer(SERVICE, createRequest("/innocent"), ANSWER);
    finder.found.forEach((report) => other.knowledge.receive(report, "node"));
    expect(other.getVerdict("/guilty")).to.equal("Suspect");
    expect(other.found).to.deep.equal([]);
    expect(other.knowledge.createReports()).to.deep.equal([]);
    const reports = finder.knowledge.createReports();
    expect(reports).to.have.length(1);
    reports.forEach((report) => finder.knowledge.receive(report, "control"));
    expect(finder.knowledge.createReports()).to.deep.equal([]);
  });

  // Guards against reports for as long as control runs a former version.
  it("is confirmed by control that doesn't keep the times of ends", () => {
    const node = new Node();
    const request = createRequest("/guilty");
    const run = { request, isOnlySuspect: false, ranMs: 80 };
    node.knowledge.recordEnd(SERVICE, "i-1", [run]);
    const reports = node.knowledge.createReports();
    for (const { service, evidence } of reports) {
      const withoutTimes = evidence.map(
        ([fingerprint, ends, pardoned, ageMs]) =>
          [
            fingerprint,
            ends.map(([instance, wasAlone, others]) =>
              [instance, wasAlone, others] as const
            ),
            pardoned,
            ageMs,
          ] as const,
      );
      const report = { service, evidence: withoutTimes };
      node.knowledge.receive(report, "control");
    }
    expect(reports).to.have.length(1);
    expect(node.knowledge.createReports()).to.deep.equal([]);
  });

  it("is not reported again by a node that was told of it before", () => {
    const [finder, other] = [new Node(), new Node()];
    finder.end("i-1", "/guilty");
    finder.found.forEach((report) => other.knowledge.receive(report, "node"));
    const end = { instance: "i-1", wasAlone: true, others: 0 };
    const request = createRequest("/guilty");
    other.knowledge.recordReportedEnd(SERVICE, request, end);
    expect(other.found).to.deep.equal([]);
  });

  it("costs nothing again once it is forgotten", () => {
    const node = new Node();
    node.end("i-1", "/innocent");
    node.knowledge.recordAnswer(SERVICE, createRequest("/innocent"), ANSWER);
    expect(node.knowledge.hasRecord(SERVICE)).to.equal(true);
    node.nowMs += 60_001;
    node.knowledge.prune();
    expect(node.knowledge.hasRecord(SERVICE)).to.equal(false);
  });
});
