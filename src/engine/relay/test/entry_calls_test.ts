/** Calls at their entry, over links whose other end may fall silent. */
import { expect } from "chai";
import type { CallOpened, MeshFrame } from "../../mesh/common/frames.ts";
import type { EntryRequest, EntryResult } from "../common/entry_types.ts";
import { MemberTable } from "../common/member_table.ts";
import { EntryCalls } from "../node/entry_calls.ts";
import { createAnnouncement } from "./announcements.ts";
import { createEntryRequest, ROUTE } from "./requests.ts";

const LOAD = { running: 0, queued: 0, limit: 10, pressure: 0, serviceMs: 0 };

/** An entry whose clock and links the test moves. */
class Entry {
  nowMs = 0;
  readonly sent: (readonly [string, MeshFrame])[] = [];
  readonly probed: string[] = [];
  readonly results: EntryResult[] = [];
  readonly heardAtMs = new Map<string, number>();
  readonly calls: EntryCalls;
  readonly members = new MemberTable();

  constructor(...addresses: readonly string[]) {
    const { members } = this;
    members.replace("warehouse", addresses.map((at) => createAnnouncement(at)));
    this.calls = new EntryCalls({
      dataCentre: "a",
      members,
      budget: { ratio: 0.2, slack: 1_000, windowS: 10 },
      path: {
        send: (address, frame) => {
          this.heardAtMs.set(
            address,
            this.heardAtMs.get(address) ?? this.nowMs,
          );
          this.sent.push([address, frame]);
        },
        withdraw: (address, call) =>
          this.sent.push([address, { type: "CallCancelled", call }]),
        isOpen: () => true,
        getHeardAtMs: (address) => this.heardAtMs.get(address),
        probe: (address) => this.probed.push(address),
        drop: (address, reason) => {
          this.heardAtMs.delete(address);
          this.calls.loseLink(address, reason, true);
        },
      },
      readClock: () => this.nowMs,
      draw: () => 0,
      getLastRank: () => 0,
      log: { write: () => {} },
      loop: { lagMs: 0, runOnceRead: (run) => run() },
      hearCallers: () => {},
      noteAttempt: () => {},
      noteEnded: () => {},
    });
    // Whole windows of the budget after the start.
    this.nowMs = 10_000;
  }

  start(change: Partial<EntryRequest> = {}): () => void {
    return this.calls.start(
      createEntryRequest({ arrivedAtMs: this.nowMs, ...change }),
      "warehouse",
      (result) => this.results.push(result),
    );
  }

  /** Lets time pass in ticks; the nodes named go on reporting. */
  pass(lengthMs: number, ...talking: readonly string[]): void {
    const endMs = this.nowMs + lengthMs;
    while (this.nowMs < endMs) {
      this.nowMs += 20;
      talking.forEach((address) => this.hear(address));
      this.calls.tick();
    }
  }

  hear(address: string): void {
    this.heardAtMs.set(address, this.nowMs);
    const report = {
      type: "LoadReported",
      load: LOAD,
      below: [],
      callers: [],
    } as const;
    this.calls.receive(address, report);
  }

  /** All members say that they call nobody. */
  hearAll(): void {
    this.members.list("warehouse")
      .forEach(({ announcement }) => this.hear(announcement.ingress));
  }

  listOpenings(): readonly string[] {
    return this.sent.filter(([, { type }]) => type === "CallOpened")
      .map(([address]) => address);
  }

  getFirstOpening(): CallOpened {
    return this.sent[0]![1] as CallOpened;
  }
}

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

  it("still gets calls where there is no other", () => {
    const entry = new Entry("a:1");
    entry.start();
    entry.pass(400);
    entry.start();
    expect(entry.listOpenings()).to.deep.equal(["a:1", "a:1"]);
  });

  it("loses calls that may be repeated to another in time", () => {
    const entry = new Entry("a:1", "b:1");
    entry.start();
    const [silent] = entry.listOpenings();
    entry.pass(540);
    expect(entry.listOpenings()).to.have.length(2);
    expect(entry.listOpenings()[1]).not.to.equal(silent);
    expect(entry.results).to.deep.equal([]);
  });

  it("keeps calls that may not be repeated until its link is given up", () => {
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

  it("is probed without a call, and gets calls once it is heard", () => {
    const entry = new Entry("a:1", "b:1");
    entry.calls.loseLink("a:1", "closed", true);
    entry.start();
    expect(entry.listOpenings()).to.deep.equal(["b:1"]);
    entry.pass(400, "b:1");
    expect(entry.probed).to.deep.equal(["a:1"]);
    entry.hear("a:1");
    for (let n = 0; n < 4; n += 1) {
      entry.start();
    }
    expect(entry.listOpenings()).to.include("a:1");
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

  it("of a service that calls no other is tried at another one, once", () => {
    const entry = new Entry("a:1", "b:1");
    entry.hearAll();
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

  // Guards services below against repeats before it is known that they exist.
  it("is passed on while no member has said what it calls", () => {
    const entry = new Entry("a:1", "b:1");
    entry.start();
    const [first] = entry.listOpenings();
    entry.calls.receive(first!, answer(entry.getFirstOpening().call, 500));
    expect(entry.listOpenings()).to.have.length(1);
    expect(entry.results).to.have.length(1);
  });

  it("of a service that calls others is passed on: below, it would recur", () => {
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

  it("is passed on where the call may have changed something", () => {
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
  it("waits for the first one while not all are told", () => {
    const entry = new Entry();
    entry.start();
    entry.pass(100);
    expect(entry.results).to.deep.equal([]);
    entry.members.put(createAnnouncement("a:1"));
    entry.pass(20);
    expect(entry.listOpenings()).to.deep.equal(["a:1"]);
  });

  it("is refused at once where all were told", () => {
    const entry = new Entry();
    entry.members.markComplete("warehouse");
    entry.start();
    expect(entry.results.map(({ type }) => type)).to.deep.equal(["Failed"]);
  });

  it("is refused where none comes in time", () => {
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
  it("fails its calls as refused: they go elsewhere, even transfers", () => {
    const entry = new Entry("a:1", "b:1");
    entry.start({ route: { ...ROUTE, isIdempotent: false } });
    const [first] = entry.listOpenings();
    entry.calls.loseLink(first!, "connect timeout", false);
    expect(entry.listOpenings()).to.have.length(2);
    expect(entry.results).to.deep.equal([]);
  });
});
