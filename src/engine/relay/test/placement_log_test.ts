/** Log lines on where calls were placed. */
import { expect } from "chai";
import { updateMember } from "../common/member.ts";
import type { Member } from "../common/member.ts";
import { PlacementLog } from "../common/placement_log.ts";
import { createAnnouncement, SERVICE, SLOTS } from "./announcements.ts";

function createMember(
  address: string,
  dataCentre: string,
  figures?: { readonly serviceMs: number; readonly slowdown?: number },
): Member {
  const member = updateMember(
    undefined,
    createAnnouncement(address, dataCentre),
  );
  const load = { running: 4, queued: 1, limit: SLOTS, pressure: 0 };
  member.load = figures && { ...load, ...figures };
  return member;
}

describe("the log of placements", () => {
  const near = createMember("near:1", "a", { serviceMs: 50, slowdown: 1 });
  const far = createMember("far:1", "b", { serviceMs: 80, slowdown: 2.5 });
  const untried = createMember("new:1", "a");

  // Guards against a placement that can't be explained afterwards.
  it("has a line every 5 s with the calls and figures of each member", () => {
    const log = new PlacementLog("a");
    const lines = [near, near, far, untried].map((member, index) =>
      log.record(SERVICE, member, index * 1_000)
    );
    expect(lines).to.deep.equal([undefined, undefined, undefined, undefined]);
    const line = log.record(SERVICE, near, 5_000);
    expect(line).to.include({ service: SERVICE, crossed: 1, untried: 1 });
    expect(line?.["members"]).to.deep.equal([
      {
        address: "near:1",
        calls: 3,
        inUse: 5,
        limit: SLOTS,
        serviceMs: 50,
        slowdown: 1,
      },
      {
        address: "far:1",
        calls: 1,
        inUse: 5,
        limit: SLOTS,
        serviceMs: 80,
        slowdown: 2.5,
      },
      {
        address: "new:1",
        calls: 1,
        inUse: undefined,
        limit: undefined,
        serviceMs: undefined,
        slowdown: undefined,
      },
    ]);
    expect(log.record(SERVICE, near, 6_000)).to.equal(undefined);
  });

  // Guards against new lines in deployments that report no slowdown.
  it("has no line for a service without a slowdown", () => {
    const log = new PlacementLog("a");
    const plain = createMember("near:1", "a", { serviceMs: 50 });
    for (let nowMs = 0; nowMs <= 20_000; nowMs += 1_000) {
      expect(log.record(SERVICE, plain, nowMs)).to.equal(undefined);
    }
  });
});
