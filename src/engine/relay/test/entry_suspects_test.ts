/** Requests at their entry that end the backend servers that run them. */
import { expect } from "chai";
import { MEMORY } from "./gate_fakes.ts";
import type { CallOpened, MeshFrame } from "../../mesh/common/frames.ts";
import type { CrashKnowledge } from "../../quarantine/common/crash_knowledge.ts";
import type { EntryRequest, EntryResult } from "../common/entry_types.ts";
import { MemberTable } from "../common/member_table.ts";
import { EntryCalls } from "../node/entry_calls.ts";
import { createAnnouncement } from "./announcements.ts";
import { createCrashKnowledge } from "./crash_fakes.ts";
import { createEntryRequest, ROUTE } from "./requests.ts";

const SERVICE = "warehouse";
const MEMBERS = ["a:1", "b:1", "c:1", "d:1"];
const NOW_MS = 10_000;
const QUARANTINE_MS = 600_000;
const LOAD = { running: 0, queued: 0, limit: 10, pressure: 0, serviceMs: 0 };

/** An entry whose links record what is sent. */
class Entry {
  readonly sent: (readonly [string, MeshFrame])[] = [];
  readonly results: EntryResult[] = [];
  readonly calls: EntryCalls;
  readonly members = new MemberTable();
  #nowMs = 0;

  constructor(knowledge: CrashKnowledge, draw: number) {
    const { members } = this;
    members.replace(SERVICE, MEMBERS.map((at) => createMember(at, "i-1")));
    this.calls = new EntryCalls({
      memory: MEMORY,
      dataCentre: "a",
      members,
      budget: { ratio: 0.2, slack: 1_000, windowS: 10 },
      links: {
        send: (address, frame) => this.sent.push([address, frame]),
        withdraw: () => {},
        recall: () => {},
        isOpening: () => false,
        isOpen: () => true,
        getLastReceivedAtMs: () => NOW_MS,
        probe: () => {},
        drop: () => {},
      },
      getDrainTimes: () => undefined,
      readClock: () => this.#nowMs,
      draw: () => draw,
      getLastRank: () => 0,
      log: { write: () => {} },
      loop: { lagMs: 0, runAfterPendingReads: (run) => run() },
      receiveCallerReport: () => {},
      recordAttempt: () => {},
      recordCallDuration: () => {},
      crashes: knowledge,
      getCallerService: () => "front",
    });
    // The budget has slack from a full window after the start.
    this.#nowMs = NOW_MS;
  }

  start(change: Partial<EntryRequest> = {}): void {
    this.calls.start(
      createEntryRequest({ arrivedAtMs: NOW_MS, ...change }),
      SERVICE,
      (result) => this.results.push(result),
    );
  }

  listAddresses(): readonly string[] {
    return this.sent.map(([address]) => address);
  }

  /** Answers the last attempt completely. */
  answerLast(status: number): void {
    const [address, frame] = this.sent.at(-1)!;
    this.calls.receive(address, {
      type: "AnswerOpened",
      call: (frame as CallOpened).call,
      status,
      headers: [],
      load: LOAD,
      bodyBytes: 0,
      body: new Uint8Array(),
    });
  }

  /** Fails the last attempt: the backend server ended that ran it. */
  failLast(instance: string, wasAlone: boolean): void {
    const [address, frame] = this.sent.at(-1)!;
    this.calls.receive(address, {
      type: "CallFailed",
      call: (frame as CallOpened).call,
      kind: "unknown",
      reason: "backend_ended",
      retryAfterMs: 0,
      load: LOAD,
      ended: { instance, wasAlone, others: wasAlone ? 0 : 1 },
    });
  }
}

function createMember(ingress: string, backendInstance: string) {
  return { ...createAnnouncement(ingress), backendInstance };
}

function createKnowledge(): CrashKnowledge {
  return createCrashKnowledge({ readClock: () => NOW_MS });
}

/** Records ends at which a request of `target` ran alone. */
function recordEnds(knowledge: CrashKnowledge, ...instances: string[]): void {
  const request = {
    method: "GET",
    host: "",
    target: "/",
    body: new Uint8Array(),
    callerService: "front",
  };
  for (const instance of instances) {
    knowledge.recordEnd(SERVICE, instance, [{ request, isOnlySuspect: true }]);
  }
}

describe("a request that was alone at the ends of two backend servers", () => {
  it("is refused as not run, and told when it may come back", () => {
    const knowledge = createKnowledge();
    recordEnds(knowledge, "i-1", "i-2");
    const entry = new Entry(knowledge, 0);
    entry.start({ route: { ...ROUTE, isIdempotent: false } });
    expect(entry.sent).to.deep.equal([]);
    expect(entry.results).to.deep.equal([{
      type: "Failed",
      failure: { type: "Refused", retryAfterMs: QUARANTINE_MS },
    }]);
  });

  it("doesn't stand for requests that differ in anything", () => {
    const knowledge = createKnowledge();
    recordEnds(knowledge, "i-1", "i-2");
    const entry = new Entry(knowledge, 0);
    entry.start({ method: "POST" });
    entry.start({ target: "/other" });
    entry.start({ body: new Uint8Array([1]) });
    entry.start({ headers: ["Host", "b.example"] });
    expect(entry.sent).to.have.length(4);
  });

  // Guards against an answer that calls a request not run which has run.
  it("is never called refused if an attempt of it ran", () => {
    const entry = new Entry(createKnowledge(), 0);
    entry.start();
    entry.failLast("i-1", true);
    expect(entry.sent, "retried once").to.have.length(2);
    entry.failLast("i-2", true);
    expect(entry.sent).to.have.length(2);
    expect(entry.results)
      .to.deep.equal([{ type: "Failed", failure: { type: "Unknown" } }]);
  });
});

describe("a request that may have ended a backend server", () => {
  // Guards against copies that run at several backend servers at once.
  it("is sent to the same member by each entry", () => {
    const addresses = [0, 0.3, 0.6, 0.9].flatMap((draw) => {
      const knowledge = createKnowledge();
      recordEnds(knowledge, "i-1");
      const entry = new Entry(knowledge, draw);
      entry.start();
      return entry.listAddresses();
    });
    expect(new Set(addresses).size).to.equal(1);
  });

  it("carries the evidence to a gate that may not know it", () => {
    const knowledge = createKnowledge();
    recordEnds(knowledge, "i-1");
    const entry = new Entry(knowledge, 0);
    entry.start();
    const [, frame] = entry.sent[0]!;
    expect((frame as CallOpened).evidence).to.have.length(2);
  });

  it("is sent anywhere again once it was answered", () => {
    const knowledge = createKnowledge();
    recordEnds(knowledge, "i-1");
    const entry = new Entry(knowledge, 0);
    entry.start();
    entry.answerLast(200);
    entry.start();
    const [, second] = entry.sent.at(-1)!;
    expect((second as CallOpened).evidence).to.equal(undefined);
  });

  // Guards against an answer at the deadline that clears the request.
  it("stays suspect if its answer is an error", () => {
    const knowledge = createKnowledge();
    recordEnds(knowledge, "i-1");
    const entry = new Entry(knowledge, 0);
    entry.start({ route: { ...ROUTE, isIdempotent: false } });
    entry.answerLast(504);
    expect(knowledge.countByVerdict(SERVICE)).to.include({ Suspect: 2 });
  });

  it("is not sent elsewhere if too many wait with it", () => {
    const knowledge = createKnowledge();
    recordEnds(knowledge, "i-1");
    const entry = new Entry(knowledge, 0);
    entry.start();
    const [address, frame] = entry.sent[0]!;
    entry.calls.receive(address, {
      type: "CallFailed",
      call: (frame as CallOpened).call,
      kind: "refused",
      reason: "suspects_waiting",
      retryAfterMs: 1_000,
      load: LOAD,
    });
    expect(entry.sent).to.have.length(1);
    expect(entry.results).to.deep.equal([{
      type: "Failed",
      failure: { type: "Refused", retryAfterMs: 1_000 },
    }]);
  });
});

describe("a node that is lost with its backend server", () => {
  // Guards against an end that nobody holds against the request.
  it("has the end recorded once it announces another instance", () => {
    const knowledge = createKnowledge();
    const entry = new Entry(knowledge, 0);
    entry.start();
    const [address] = entry.listAddresses();
    entry.calls.handleLinkLoss(address!, "closed", true);
    entry.calls.tick();
    expect(knowledge.hasRecord(SERVICE)).to.equal(false);
    entry.members.put(createMember(address!, "i-2"));
    entry.calls.tick();
    expect(knowledge.countByVerdict(SERVICE))
      .to.include({ Suspect: 2, Quarantined: 0 });
  });

  it("has nothing recorded if the backend server lived on", () => {
    const knowledge = createKnowledge();
    const entry = new Entry(knowledge, 0);
    entry.start();
    const [address] = entry.listAddresses();
    entry.calls.handleLinkLoss(address!, "closed", true);
    entry.members.put(createMember(address!, "i-1"));
    entry.calls.tick();
    expect(knowledge.hasRecord(SERVICE)).to.equal(false);
  });
});
