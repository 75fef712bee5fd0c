/**
 * Departures of backend servers that control replicas hold. Guards against a
 * restarted node whose late heartbeat brings a backend server back that left.
 */
import { expect } from "chai";
import type { Announcement } from "../common/announcement.ts";
import {
  applyDepartures,
  DEPARTURE_RETENTION_MS,
  pruneDepartures,
  recordDeparture,
} from "../common/departures.ts";
import type { Departures } from "../common/departures.ts";
import { createAnnouncement, Replicas } from "./replicas.ts";

const NODE = "n1";
const LEFT: Partial<Announcement> = {
  isDraining: true,
  backendInstance: "i-1",
  departedInstance: "i-1",
};
/** Announcement of the node after its restart, on a late heartbeat. */
const LATE: Partial<Announcement> = { incarnation: 2, backendInstance: "i-1" };

describe("the departure of a backend server", () => {
  function announce(
    replicas: Replicas,
    at: string,
    change: Partial<Announcement>,
  ): void {
    replicas.dispatch(at, {
      type: "NodeAnnounced",
      announcement: { ...createAnnouncement(NODE), ...change },
      linkNumber: 1,
      tableVersion: 1,
    });
  }

  function getAnnouncement(replicas: Replicas, at: string): Announcement {
    return replicas.states.get(at)!.members.get(NODE)!.announcement;
  }

  it("is held while its node restarts, at every replica", () => {
    for (const linkedAgain of ["a", "b"]) {
      const replicas = new Replicas("a", "b", "c");
      replicas.advance(1_000);
      announce(replicas, "a", LEFT);
      announce(replicas, linkedAgain, { incarnation: 2, isDraining: true });
      announce(replicas, linkedAgain, { ...LATE, sequence: 1 });
      for (const at of ["a", "b", "c"]) {
        expect(getAnnouncement(replicas, at), at)
          .to.include({ isDraining: true, departedInstance: "i-1" });
      }
      announce(replicas, linkedAgain, {
        incarnation: 2,
        sequence: 2,
        backendInstance: "i-2",
      });
      for (const at of ["a", "b", "c"]) {
        expect(getAnnouncement(replicas, at).isDraining, at).to.equal(false);
      }
    }
  });

  it("is held after its node has left in order", () => {
    const replicas = new Replicas("a", "b");
    replicas.advance(1_000);
    announce(replicas, "a", LEFT);
    replicas.dispatch("a", { type: "NodeLeft", nodeId: NODE });
    expect(replicas.listNodes("b")).to.deep.equal([]);
    announce(replicas, "b", LATE);
    expect(getAnnouncement(replicas, "a").isDraining).to.equal(true);
    expect(getAnnouncement(replicas, "b").isDraining).to.equal(true);
  });

  it("reaches a replica that starts after the restart of the node", () => {
    const replicas = new Replicas("a", "b", "c");
    replicas.advance(1_000);
    announce(replicas, "a", LEFT);
    announce(replicas, "a", { incarnation: 2, isDraining: true });
    replicas.start("b");
    replicas.advance(2_000, [["a", NODE]]);
    announce(replicas, "b", { ...LATE, sequence: 1 });
    expect(getAnnouncement(replicas, "b").isDraining).to.equal(true);
  });

  it("is unknown where the node's build doesn't tell it", () => {
    const replicas = new Replicas("a", "b");
    replicas.advance(1_000);
    announce(replicas, "a", { isDraining: true, backendInstance: "i-1" });
    announce(replicas, "b", LATE);
    expect(getAnnouncement(replicas, "a"))
      .to.deep.equal({ ...createAnnouncement(NODE), ...LATE });
  });

  it("is forgotten once no heartbeat can be that late", () => {
    const replicas = new Replicas("a", "b");
    replicas.advance(1_000);
    announce(replicas, "a", LEFT);
    replicas.dispatch("a", { type: "NodeLeft", nodeId: NODE });
    replicas.advance(DEPARTURE_RETENTION_MS + 1_000);
    for (const at of ["a", "b"]) {
      expect(replicas.states.get(at)!.departures.size, at).to.equal(0);
    }
    announce(replicas, "a", LATE);
    expect(getAnnouncement(replicas, "a").isDraining).to.equal(false);
  });

  it("takes the place of the oldest where a node has too many", () => {
    let departures: Departures = new Map();
    for (let n = 1; n <= 20; n += 1) {
      departures = recordDeparture(departures, {
        ...createAnnouncement(NODE),
        departedInstance: `i-${n}`,
      }, n);
    }
    const isDraining = (backendInstance: string) =>
      applyDepartures(departures, {
        ...createAnnouncement(NODE),
        backendInstance,
      }).isDraining;
    expect(departures.get(NODE)!.length).to.be.below(20);
    expect(isDraining("i-20")).to.equal(true);
    expect(isDraining("i-1")).to.equal(false);
    expect(pruneDepartures(departures, 20)).to.equal(departures);
  });
});
