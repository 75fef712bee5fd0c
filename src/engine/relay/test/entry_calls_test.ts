/** Calls at the entry, over links whose other end may go silent. */
import { expect } from "chai";
import { MEMORY } from "./gate_fakes.ts";
import type { CallOpened, MeshFrame } from "../../mesh/common/frames.ts";
import { computeDrainTimes } from "../common/drain_decision.ts";
import type { DrainTimes } from "../common/drain_decision.ts";
import type { EntryRequest, EntryResult } from "../common/entry_types.ts";
import { MemberTable } from "../common/member_table.ts";
import { EntryCalls } from "../node/entry_calls.ts";
import { createAnnouncement } from "./announcements.ts";
import { createEntryRequest, ROUTE } from "./requests.ts";
import { createCrashKnowledge } from "./crash_fakes.ts";

const LOAD = { running: 0, queued: 0, limit: 10, pressure: 0, serviceMs: 0 };

/** An entry whose clock and links a test controls. */
class Entry {
  nowMs = 0;
  /** Whether links are open, and whether they are being opened. */
  isOpen = true;
  isOpening = false;
  drainTimes: DrainTimes | undefined;
  readonly sent: (readonly [string, MeshFrame])[] = [];
  readonly probed: string[] = [];
  readonly results: EntryResult[] = [];
  readonly lastReceivedAtMs = new Map<string, number>();
  readonly calls: EntryCalls;
  readonly members = new MemberTable();
  readonly loop = {
    lagMs: 0,
    runAfterPendingReads: (run: () => void) => run(),
  };

  constructor(...addresses: readonly string[]) {
    const { members } = this;
    members.replace("warehouse", addresses.map((at) => createAnnouncement(at)));
    this.calls = new EntryCalls({
      memory: MEMORY,
      dataCentre: "a",
      members,
      budget: { ratio: 0.2, slack: 1_000, windowS: 10 },
      links: {
        send: (address, frame) => {
          this.lastReceivedAtMs.set(
            address,
            this.lastReceivedAtMs.get(address) ?? this.nowMs,
          );
          this.sent.push([address, frame]);
        },
        withdraw: (address, call) =>
          this.sent.push([address, { type: "CallCancelled", call }]),
        recall: (address, call) =>
          this.sent.push([
            address,
            { type: "CallCancelled", call, isRecall: true },
          ]),
        isOpen: () => this.isOpen,
        isOpening: () => this.isOpening,
        getLastReceivedAtMs: (address) => this.lastReceivedAtMs.get(address),
        probe: (address) => this.probed.push(address),
        drop: (address, reason) => {
          this.lastReceivedAtMs.delete(address);
          this.calls.handleLinkLoss(address, reason, true);
        },
      },
      getDrainTimes: () => this.drainTimes,
      readClock: () => this.nowMs,
      draw: () => 0,
      getLastRank: () => 0,
      log: { write: () => {} },
      loop: this.loop,
      receiveCallerReport: () => {},
      recordAttempt: () => {},
      recordCallDuration: () => {},
      crashes: createCrashKnowledge(),
      getCallerService: () => "front",
    });
    // A full window of the budget after the start: there is slack from then on.
    this.nowMs = 10_000;
  }

  start(change: Partial<EntryRequest> = {}): () => void {
    return this.calls.start(
      createEntryRequest({ arrivedAtMs: this.nowMs, ...change }),
      "warehouse",
      (result) => this.results.push(result),
    );
  }

  /** Advances the clock in ticks; the nodes at `reporting` keep reporting. */
  pass(lengthMs: number, ...reporting: readonly string[]): void {
    const endMs = this.nowMs + lengthMs;
    while (this.nowMs < endMs) {
      this.nowMs += 20;
      reporting.forEach((address) => this.receiveReport(address));
      this.calls.tick();
    }
  }

  /** Ticks after a suspension, before anything has been read. */
  suspend(lengthMs: number): void {
    this.nowMs += lengthMs;
    this.loop.lagMs = lengthMs - 20;
    this.calls.tick();
  }

  receiveReport(address: string): void {
    this.lastReceivedAtMs.set(address, this.nowMs);
    const report = {
      type: "LoadReported",
      load: LOAD,
      below: [],
      callers: [],
    } as const;
    this.calls.receive(address, report);
  }

  /** Reports of all members that they make no downstream calls. */
  receiveAllReports(): void {
    this.members.list("warehouse")
      .forEach(({ announcement }) => this.receiveReport(announcement.ingress));
  }

  listOpenings(): readonly string[] {
    return this.sent.filter(([, { type }]) => type === "CallOpened")
      .map(([address]) => address);
  }

  getFirstOpening(): CallOpened {
    return this.sent[0]![1] as CallOpened;
  }
}

describe("a node with a call in progress", () => {
  // Its link must not be closed as idle, however long the call takes.
  it("is listed until the call ends", () => {
    const entry = new Entry("a:1");
    expect([...entry.calls.listCalledAddresses()]).to.deep.equal([]);
    entry.start();
    expect([...entry.calls.listCalledAddresses()]).to.deep.equal(["a:1"]);
    entry.calls.receive("a:1", {
      type: "AnswerOpened",
      call: entry.getFirstOpening().call,
      status: 200,
      headers: [],
      load: LOAD,
      bodyBytes: 2,
      body: new Uint8Array(1),
    });
    expect([...entry.calls.listCalledAddresses()]).to.deep.equal(["a:1"]);
    entry.calls.receive("a:1", {
      type: "BodyPart",
      call: entry.getFirstOpening().call,
      bytes: new Uint8Array(1),
    });
    expect([...entry.calls.listCalledAddresses()]).to.deep.equal([]);
    expect(entry.results).to.have.length(1);
  });
});

describe("a node that falls silent", () => {
  it("gets no more calls where another can take them", () => {
    const entry = new Entry("a:1", "b:1");
    entry.start({ route: { ...ROUTE, isIdempotent: false } });
    const [silent] = entry.listOpenings();
    const other = silent === "a:1" ? "b:1" : "a:1";
    entry.pass(400, other);
    for (let n = 0; n < 8; n += 1) {
      entry.start();
    }
    expect(entry.listOpenings().slice(1)).to.deep.equal(Array(8).fill(other));
  });

  it("still gets calls if there is no other", () => {
    const entry = new Entry("a:1");
    entry.start();
    entry.pass(400);
    entry.start();
    expect(entry.listOpenings()).to.deep.equal(["a:1", "a:1"]);
  });

  it("has its idempotent calls retried at another in time", () => {
    const entry = new Entry("a:1", "b:1");
    entry.start();
    const [silent] = entry.listOpenings();
    entry.pass(540);
    expect(entry.listOpenings()).to.have.length(2);
    expect(entry.listOpenings()[1]).not.to.equal(silent);
    expect(entry.results).to.deep.equal([]);
  });

  it("keeps non-idempotent calls until its link is dropped", () => {
    const entry = new Entry("a:1", "b:1");
    entry.start({ route: { ...ROUTE, isIdempotent: false } });
    entry.pass(1_100);
    expect(entry.results).to.deep.equal([]);
    entry.pass(200);
    expect(entry.results).to.deep.equal([
      { type: "Failed", failure: { type: "Unknown" } },
    ]);
    expect(entry.listOpenings()).to.have.length(1);
  });

  it("is probed without a call, and gets calls once it reports", () => {
    const entry = new Entry("a:1", "b:1");
    entry.calls.handleLinkLoss("a:1", "closed", true);
    entry.start();
    expect(entry.listOpenings()).to.deep.equal(["b:1"]);
    entry.pass(400, "b:1");
    expect(entry.probed).to.deep.equal(["a:1"]);
    entry.receiveReport("a:1");
    for (let n = 0; n < 4; n += 1) {
      entry.start();
    }
    expect(entry.listOpenings()).to.include("a:1");
  });
});

// Guards against calls that are repeated or failed, while their answers wait to
// be read, because this node was suspended and so heard nothing.
describe("a node that was suspended itself", () => {
  it("neither repeats nor fails calls, and prefers no other node", () => {
    const entry = new Entry("a:1", "b:1");
    entry.start();
    entry.start({ route: { ...ROUTE, isIdempotent: false } });
    entry.suspend(1_300);
    expect(entry.listOpenings()).to.deep.equal(["a:1", "b:1"]);
    expect(entry.results).to.deep.equal([]);
    // What one of them sent is read first.
    entry.receiveReport("b:1");
    for (let n = 0; n < 4; n += 1) {
      entry.start();
    }
    expect(entry.listOpenings().slice(2)).to.include("a:1");
  });

  it("repeats calls at once if nothing had arrived meanwhile either", () => {
    const entry = new Entry("a:1", "b:1");
    entry.start();
    entry.suspend(700);
    entry.loop.lagMs = 0;
    entry.pass(20);
    expect(entry.listOpenings()).to.have.length(2);
  });
});

describe("an error of a backend server", () => {
  const answer = (call: number, status: number) => ({
    type: "AnswerOpened" as const,
    call,
    status,
    headers: [],
    load: LOAD,
    bodyBytes: 0,
    body: new Uint8Array(),
  });

  it("of a service that calls no other is retried at another one, once", () => {
    const entry = new Entry("a:1", "b:1");
    entry.receiveAllReports();
    entry.start();
    const [first] = entry.listOpenings();
    const { call } = entry.getFirstOpening();
    entry.calls.receive(first!, answer(call, 500));
    const second = entry.listOpenings()[1]!;
    expect(second).not.to.equal(first);
    entry.calls.receive(second, answer(call, 500));
    expect(entry.listOpenings()).to.have.length(2);
    expect(entry.results.map((result) => "status" in result && result.status))
      .to.deep.equal([500]);
  });

  // Guards downstream services against retries before they are known.
  it("is passed on while no member has said what it calls", () => {
    const entry = new Entry("a:1", "b:1");
    entry.start();
    const [first] = entry.listOpenings();
    entry.calls.receive(first!, answer(entry.getFirstOpening().call, 500));
    expect(entry.listOpenings()).to.have.length(1);
    expect(entry.results).to.have.length(1);
  });

  it("of a service that calls others is passed on: downstream, it would recur", () => {
    const entry = new Entry("a:1", "b:1");
    const report = {
      type: "LoadReported",
      load: LOAD,
      below: [["lookup", 0, 0]],
      callers: [],
    } as const;
    entry.calls.receive("a:1", report);
    entry.start();
    const [first] = entry.listOpenings();
    entry.calls.receive(first!, answer(entry.getFirstOpening().call, 500));
    expect(entry.listOpenings()).to.have.length(1);
    expect(entry.results).to.have.length(1);
  });

  it("is passed on if the call is not idempotent", () => {
    const entry = new Entry("a:1", "b:1");
    entry.start({ route: { ...ROUTE, isIdempotent: false } });
    const [first] = entry.listOpenings();
    entry.calls.receive(first!, answer(entry.getFirstOpening().call, 500));
    expect(entry.listOpenings()).to.have.length(1);
    expect(entry.results).to.have.length(1);
  });
});

describe("a call of a backend server", () => {
  it("goes on with the rank of its root, not of its own route", () => {
    const entry = new Entry("a:1");
    entry.start({ isNested: true, rank: 3 });
    expect(entry.getFirstOpening().rank).to.equal(3);
    expect(entry.getFirstOpening().isNested).to.equal(true);
  });
});

describe("a call of a service without members", () => {
  it("waits for the first one until all members are known", () => {
    const entry = new Entry();
    entry.start();
    entry.pass(100);
    expect(entry.results).to.deep.equal([]);
    entry.members.put(createAnnouncement("a:1"));
    entry.pass(20);
    expect(entry.listOpenings()).to.deep.equal(["a:1"]);
  });

  it("is refused at once if all members are known", () => {
    const entry = new Entry();
    entry.members.markComplete("warehouse");
    entry.start();
    expect(entry.results.map(({ type }) => type)).to.deep.equal(["Failed"]);
  });

  it("is refused if none comes in time", () => {
    const entry = new Entry();
    entry.start();
    entry.pass(600);
    expect(entry.results.map(({ type }) => type)).to.deep.equal(["Failed"]);
    expect(entry.calls.openCount).to.equal(0);
  });

  it("is sent nowhere once its caller has left", () => {
    const entry = new Entry();
    const withdraw = entry.start();
    withdraw();
    entry.members.put(createAnnouncement("a:1"));
    entry.pass(100);
    expect(entry.listOpenings()).to.deep.equal([]);
  });
});

describe("a link that never opened", () => {
  it("fails its calls as refused: even transfers are sent elsewhere", () => {
    const entry = new Entry("a:1", "b:1");
    entry.start({ route: { ...ROUTE, isIdempotent: false } });
    const [first] = entry.listOpenings();
    entry.calls.handleLinkLoss(first!, "connect timeout", false);
    expect(entry.listOpenings()).to.have.length(2);
    expect(entry.results).to.deep.equal([]);
  });
});

describe("a call in a drain of its entry", () => {
  const DRAIN_MS = 4_000;
  const REFUSED_LATE: EntryResult = {
    type: "Failed",
    failure: { type: "Refused", retryAfterMs: 1_000 },
  };

  /** Creates an entry that has drained for all but the last second. */
  function createDraining(...addresses: readonly string[]): Entry {
    const entry = new Entry(...addresses);
    entry.drainTimes = computeDrainTimes(entry.nowMs, DRAIN_MS);
    entry.nowMs += DRAIN_MS - 1_000;
    return entry;
  }

  // Guards against a run that the end of the process cuts.
  it("is refused if its time limit is later than the end of the node", () => {
    const entry = createDraining("a:1");
    entry.start();
    expect(entry.listOpenings()).to.deep.equal([]);
    expect(entry.results).to.deep.equal([REFUSED_LATE]);
  });

  it("is sent if its time limit is earlier", () => {
    const entry = createDraining("a:1");
    entry.start({ deadlineMs: entry.nowMs + 500 });
    expect(entry.listOpenings()).to.deep.equal(["a:1"]);
  });

  // Guards against a retry that the end of the process cuts.
  it("is not retried late, and refused only if it ran nowhere", () => {
    for (const kind of ["refused", "unknown"] as const) {
      const entry = new Entry("a:1", "b:1");
      entry.receiveAllReports();
      entry.start();
      entry.drainTimes = computeDrainTimes(entry.nowMs, DRAIN_MS);
      entry.nowMs += DRAIN_MS - 1_000;
      const failed = { type: "CallFailed", kind, reason: "", load: LOAD };
      const { call } = entry.getFirstOpening();
      const [address] = entry.listOpenings();
      const frame = { ...failed, call, retryAfterMs: 50 } as const;
      entry.calls.receive(address!, frame as MeshFrame);
      expect(entry.listOpenings()).to.have.length(1);
      expect(
        entry.results.map((result) =>
          "failure" in result && result.failure.type
        ),
      )
        .to.deep.equal([kind === "refused" ? "Refused" : "Unknown"]);
    }
  });

  // Guards against calls that are cut with the process while they wait.
  it("is recalled from its gate, or refused if it was not sent", () => {
    const entry = new Entry("a:1");
    entry.start();
    entry.calls.recallAll();
    expect(entry.sent.at(-1)).to.deep.equal([
      "a:1",
      { type: "CallCancelled", call: 1, isRecall: true },
    ]);
    expect(entry.results).to.deep.equal([]);
    // A link that closes may have carried the call.
    entry.isOpen = false;
    entry.calls.recallAll();
    expect(entry.results).to.deep.equal([]);
    entry.isOpening = true;
    entry.calls.recallAll();
    expect(
      entry.results.map((result) => "failure" in result && result.failure.type),
    )
      .to.deep.equal(["Refused"]);
  });
});

describe("root requests whose path has a bottleneck", () => {
  const DEMAND = 2_000;
  const SHORT = ["lookup", 0, 0, 0.5, 300, "narrow"] as const;

  /** Starts root requests and returns how many were sent on. */
  function countSent(entry: Entry, rank: number): number {
    const before = entry.sent.length;
    for (let at = 0; at < DEMAND; at += 1) {
      const arrivedAtMs = entry.nowMs;
      const target = `/${rank}/${at}`;
      const route = { ...ROUTE, rank };
      const request = { arrivedAtMs, target, rank, route };
      entry.calls.start(createEntryRequest(request), "warehouse", () => {});
    }
    return entry.sent.length - before;
  }

  function createEntryWithReport(isShort: boolean): Entry {
    const entry = new Entry("a:1");
    entry.members.recordLoad("a:1", { ...LOAD, spare: 4 }, entry.nowMs);
    entry.members.recordDownstreamPressure(
      "a:1",
      isShort ? [SHORT] : [],
      entry.nowMs,
    );
    return entry;
  }

  // Guards against work that is begun and fails below, and against idle slots.
  it("are admitted as far as its capacity goes", () => {
    const sent = countSent(createEntryWithReport(true), 0);
    expect(sent / DEMAND).to.be.within(0.46, 0.54);
    expect(countSent(createEntryWithReport(false), 0)).to.equal(DEMAND);
  });

  it("are refused at once, with a time to come back", () => {
    const entry = createEntryWithReport(true);
    const results: EntryResult[] = [];
    for (let at = 0; at < 100; at += 1) {
      const request = createEntryRequest({
        arrivedAtMs: entry.nowMs,
        target: `/${at}`,
      });
      entry.calls.start(request, "warehouse", (one) => results.push(one));
    }
    expect(results.length).to.be.above(30);
    results.forEach((result) =>
      expect(result).to.deep.equal({
        type: "Failed",
        failure: { type: "Refused", retryAfterMs: 700 },
      })
    );
  });
});

describe("calls of backend servers to a service with a failing member", () => {
  function listChosen(change: Partial<EntryRequest>): readonly string[] {
    const entry = new Entry("a:1", "b:1");
    entry.receiveAllReports();
    const failing = entry.members.get("warehouse", "a:1")!;
    failing.failures = { share: 0.8, sampledAtMs: entry.nowMs };
    entry.start({ isNested: true, ...change });
    entry.start({ isNested: true, ...change });
    return entry.listOpenings();
  }

  // Guards against a member that is never probed, as only backend servers call
  // its service.
  it("probe it, if they would be sent elsewhere", () => {
    expect(listChosen({})).to.deep.equal(["a:1", "b:1"]);
    const once = { ...ROUTE, maxAttempts: 1 };
    expect(listChosen({ route: once })).to.deep.equal(["b:1", "b:1"]);
    const transfer = { ...ROUTE, isIdempotent: false };
    expect(listChosen({ route: transfer })).to.deep.equal(["b:1", "b:1"]);
  });
});
