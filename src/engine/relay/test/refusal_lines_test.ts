/** What the log tells of refusals while some members are held to be failing. */
import { Snapshots } from "../../../base/test/snapshot.ts";
import { recordResult } from "../common/member.ts";
import { MemberTable } from "../common/member_table.ts";
import { ReliabilityLog } from "../common/reliability_log.ts";
import { createAnnouncement, SERVICE, SLOTS } from "./announcements.ts";

const snapshots = new Snapshots(import.meta.url);
const LOAD = {
  running: 0,
  queued: 0,
  limit: SLOTS,
  pressure: 0,
  serviceMs: 20,
};

/** Creates a service with a member that has no slot idle, and an idle one. */
function createTable(): MemberTable {
  const table = new MemberTable();
  table.replace(SERVICE, [
    createAnnouncement("full:1"),
    createAnnouncement("idle:1"),
  ]);
  const full = { ...LOAD, running: SLOTS, queued: 30, pressure: 0.8 };
  table.recordLoad("full:1", full, 950);
  table.recordLoad("idle:1", LOAD, 980);
  return table;
}

describe("the lines on members that fail calls", () => {
  // Guards against refusals beside idle slots that no line explains.
  it("say since when and by which share a member is left out", () => {
    const table = createTable();
    const member = table.get(SERVICE, "idle:1")!;
    const log = new ReliabilityLog();
    const lines = [];
    for (let n = 0; n < 40; n += 1) {
      recordResult(member, n < 8, 1_000 + n * 100);
      const members = table.list(SERVICE);
      lines.push(...log.update(SERVICE, members, 1_000 + n * 100));
    }
    snapshots.match("lines", lines);
  });
});

describe("the inputs of a refusal by pressure", () => {
  // Guards against a pressure of which no line tells the gate it came from.
  it("name the member that reports it, its age and the idle slots", () => {
    const table = createTable();
    snapshots.match("own", table.describePressure(SERVICE, "lookup", 1_000));
    table.recordDownstreamPressure("idle:1", [["lookup", 0.9, 40]], 1_000);
    table.recordDownstreamPressure("full:1", [["lookup", 0.9, 60]], 1_000);
    snapshots.match(
      "downstream",
      table.describePressure(SERVICE, "lookup", 1_000),
    );
  });
});
