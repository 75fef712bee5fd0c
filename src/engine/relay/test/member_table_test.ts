/** Whom a call is sent to. */
import { expect } from "chai";
import type { Announcement } from "../../membership/common/announcement.ts";
import { createAnnouncement, SERVICE, SLOTS } from "./announcements.ts";
import { MemberTable } from "../common/member_table.ts";

function createTable(...announcements: readonly Announcement[]): MemberTable {
  const table = new MemberTable();
  table.replace(SERVICE, announcements);
  return table;
}

function choose(table: MemberTable): string | undefined {
  return table.choose(SERVICE, {
    dataCentre: "a",
    tried: new Set(),
    nowMs: 0,
    draw: 0,
    isSilent: () => false,
  })?.announcement.ingress;
}

/** Sends calls without answers, and counts them by address. */
function fill(table: MemberTable, calls: number): Record<string, number> {
  const counts: Record<string, number> = {};
  for (let n = 0; n < calls; n += 1) {
    const address = choose(table)!;
    table.get(SERVICE, address)!.outstanding += 1;
    counts[address] = (counts[address] ?? 0) + 1;
  }
  return counts;
}

describe("the choice of a member", () => {
  const near = createAnnouncement("near:1");
  const other = createAnnouncement("other:1");

  it("spreads calls evenly over members that are alike", () => {
    expect(fill(createTable(near, other), 10))
      .to.deep.equal({ "near:1": 5, "other:1": 5 });
  });

  it("stays in the data centre while there is room", () => {
    const far = createAnnouncement("far:1", "b");
    expect(fill(createTable(near, far), 2)).to.deep.equal({ "near:1": 2 });
    expect(fill(createTable(near, far), 14)["far:1"]).to.be.within(5, 7);
  });

  it("passes over one whose link was lost until it is heard", () => {
    const table = createTable(near, other);
    table.suspect("near:1", 0);
    expect(fill(table, 4)).to.deep.equal({ "other:1": 4 });
    expect(table.takeDueProbes(100)).to.deep.equal([]);
    expect(table.takeDueProbes(400)).to.deep.equal(["near:1"]);
    const load = { running: 0, queued: 0, limit: SLOTS, pressure: 0 };
    table.noteLoad("near:1", load, 0);
    expect(fill(table, 4)).to.deep.equal({ "near:1": 4 });
  });

  it("probes no address that has left", () => {
    const table = createTable(near, other);
    table.suspect("near:1", 0);
    table.remove(SERVICE, "near:1");
    expect(table.takeDueProbes(400)).to.deep.equal([]);
  });
});

describe("pressure on the way of a route", () => {
  const load = { running: 0, queued: 0, limit: SLOTS, pressure: 0.2 };

  it("is that of the narrowest service, here or below", () => {
    const table = createTable(createAnnouncement("a:1"));
    table.noteLoad("a:1", load, 1_000);
    table.noteBelow("a:1", [["lookup", 0.6, 100]], 1_000);
    const way = table.computeWayPressure(SERVICE, "lookup", 1_000);
    expect(way).to.deep.equal({ pressure: 0.6, saidAtMs: 900 });
    expect(table.computeWayPressure(SERVICE, "view", 1_000).pressure)
      .to.equal(0.2);
  });

  it("ends with its source, however often nodes pass it in a circle", () => {
    const tables = ["a:1", "b:1"].map((at) =>
      createTable(createAnnouncement(at))
    );
    const calm = { ...load, pressure: 0 };
    tables[0]!.noteLoad("a:1", calm, 0);
    tables[0]!.noteBelow("a:1", [["lookup", 0.9, 0]], 0);
    let last = 1;
    for (let nowMs = 0; nowMs <= 3_000; nowMs += 100) {
      const [from, to] = nowMs % 200 === 0 ? [0, 1] : [1, 0];
      const address = to === 0 ? "a:1" : "b:1";
      const way = tables[from]!.computeWayPressure(SERVICE, "lookup", nowMs);
      last = way.pressure;
      tables[to]!.noteLoad(address, calm, nowMs);
      const ageMs = nowMs - way.saidAtMs;
      tables[to]!.noteBelow(address, [["lookup", last, ageMs]], nowMs);
    }
    expect(last).to.equal(0);
  });
});
