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
