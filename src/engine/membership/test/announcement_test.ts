/** Which of two announcements of a node is newer. */
import { expect } from "chai";
import {
  isNewerAnnouncement,
  renewIncarnation,
} from "../common/announcement.ts";
import type { Announcement } from "../common/announcement.ts";

const OWN: Announcement = {
  nodeId: "node-1",
  incarnation: 7_000,
  sequence: 3,
  service: "custody",
  dataCentre: "a",
  region: "r",
  vm: "vm-1",
  ingress: "127.0.0.1:1",
  operator: "127.0.0.1:2",
  slots: 4,
  connections: 16,
  isDraining: false,
};

describe("a node that was restarted after its clock was set back", () => {
  it("switches to an incarnation above the one known to others", () => {
    const before = { ...OWN, incarnation: 9_000, sequence: 40 };
    const other = { ...OWN, nodeId: "node-2", incarnation: 20_000 };
    const incarnation = renewIncarnation(OWN, [other, before]);
    expect(incarnation).to.equal(9_001);
    expect(isNewerAnnouncement(OWN, before)).to.equal(false);
    expect(isNewerAnnouncement({ ...OWN, incarnation: 9_001 }, before))
      .to.equal(true);
  });

  it("keeps its own incarnation if that is the newest", () => {
    const before = { ...OWN, incarnation: 6_000 };
    expect(renewIncarnation(OWN, [before, OWN])).to.equal(undefined);
    expect(renewIncarnation(OWN, [])).to.equal(undefined);
  });
});
