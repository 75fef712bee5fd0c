/** Presence exchanged among replicas: moves, losses, cuts and restarts. */
import { expect } from "chai";
import fc from "fast-check";
import { LEASE_MS, listReports } from "../common/membership_state.ts";
import { Replicas } from "./replicas.ts";

const LONG_MS = 3 * LEASE_MS;

describe("presence among replicas", () => {
  it("tells every replica of a node at once", () => {
    const replicas = new Replicas("a", "b", "c");
    replicas.pass(1_000);
    replicas.announce("a", "n1");
    expect(replicas.list("b")).to.deep.equal(["n1"]);
    expect(replicas.list("c")).to.deep.equal(["n1"]);
  });

  it("tells every replica of a drain at once", () => {
    const replicas = new Replicas("a", "b");
    replicas.pass(1_000);
    replicas.announce("a", "n1");
    replicas.announce("a", "n1", 1, 1);
    expect(replicas.published.at(-1)).to.deep.equal({ at: "b", told: "n1/1" });
  });

  it("keeps a node while the replica that hears it lives", () => {
    const replicas = new Replicas("a", "b");
    replicas.announce("a", "n1");
    replicas.pass(LONG_MS, [["a", "n1"]]);
    expect(replicas.list("b")).to.deep.equal(["n1"]);
  });

  it("removes a node everywhere when its lease ends", () => {
    const replicas = new Replicas("a", "b");
    replicas.pass(1_000);
    replicas.announce("a", "n1");
    replicas.pass(LONG_MS);
    expect(replicas.list("a")).to.deep.equal([]);
    expect(replicas.list("b")).to.deep.equal([]);
  });

  it("keeps a node that moved, though the first replica's lease ends", () => {
    const replicas = new Replicas("a", "b", "c");
    replicas.pass(1_000);
    replicas.announce("a", "n1", 1);
    replicas.cut("a", "b");
    replicas.announce("b", "n1", 2);
    replicas.pass(LONG_MS, [["b", "n1"]]);
    for (const id of ["a", "b", "c"]) {
      expect(replicas.list(id), id).to.deep.equal(["n1"]);
    }
    expect(replicas.published.filter(({ told }) => told.startsWith("lost")))
      .to.deep.equal([]);
  });

  it("keeps a node that another replica, no longer hearing it, removes", () => {
    const replicas = new Replicas("a", "b");
    replicas.pass(1_000);
    replicas.announce("a", "n1", 1);
    replicas.cuts.add("b>a");
    replicas.announce("b", "n1", 2);
    replicas.pass(LONG_MS, [["b", "n1"]]);
    expect(replicas.list("a")).to.deep.equal([]);
    expect(replicas.list("b")).to.deep.equal(["n1"]);
    expect(replicas.published).to.not.deep.include({
      at: "b",
      told: "lost n1",
    });
  });

  it("takes no late word of an older link", () => {
    const replicas = new Replicas("a", "b");
    replicas.pass(1_000);
    replicas.announce("a", "n1", 2, 1);
    replicas.announce("b", "n1", 1, 0);
    const [report] = listReports(replicas.states.get("b")!, replicas.nowMs);
    expect(report?.announcement.sequence).to.equal(1);
    expect(report?.owner).to.match(/^a@/);
  });

  it("fetches what a cut link lost", () => {
    const replicas = new Replicas("a", "b");
    replicas.pass(1_000);
    replicas.cut("a", "b");
    replicas.announce("a", "n1");
    expect(replicas.list("b")).to.deep.equal([]);
    replicas.cuts.clear();
    replicas.pass(2_000, [["a", "n1"]]);
    expect(replicas.list("b")).to.deep.equal(["n1"]);
  });

  it("fetches a change that was lost before the next one", () => {
    const replicas = new Replicas("a", "b");
    replicas.announce("a", "n1");
    replicas.pass(1_000);
    replicas.cut("a", "b");
    replicas.announce("a", "n2");
    replicas.cuts.clear();
    replicas.announce("a", "n3");
    replicas.pass(1_000);
    expect(replicas.list("b")).to.deep.equal(["n1", "n2", "n3"]);
  });

  it("hears of a replica through a third one", () => {
    const replicas = new Replicas("a", "b", "c");
    replicas.cut("a", "b");
    replicas.announce("a", "n1");
    replicas.pass(LONG_MS, [["a", "n1"]]);
    expect(replicas.list("b")).to.deep.equal(["n1"]);
  });

  it("moves a dead replica's nodes without a loss being told", () => {
    const replicas = new Replicas("a", "b", "c");
    replicas.pass(1_000);
    replicas.announce("a", "n1", 1);
    replicas.announce("a", "n2", 1);
    replicas.stopped.add("a");
    replicas.pass(4_000);
    replicas.announce("b", "n1", 2);
    replicas.pass(LONG_MS, [["b", "n1"]]);
    expect(replicas.list("c")).to.deep.equal(["n1"]);
    const lost = replicas.published.filter(({ told }) => told === "lost n1");
    expect(lost).to.deep.equal([]);
  });

  it("keeps the nodes of a replica that restarts within the lease", () => {
    const replicas = new Replicas("a", "b", "c");
    replicas.pass(1_000);
    replicas.announce("a", "n1", 1);
    replicas.pass(1_000);
    replicas.start("a");
    replicas.pass(3_000);
    expect(replicas.list("b")).to.deep.equal(["n1"]);
    replicas.announce("a", "n2", 1);
    expect(replicas.list("b")).to.deep.equal(["n1", "n2"]);
    replicas.announce("a", "n1", 2);
    replicas.pass(LONG_MS, [["a", "n1"], ["a", "n2"]]);
    expect(replicas.list("b")).to.deep.equal(["n1", "n2"]);
    const lost = replicas.published.filter(({ told }) => told === "lost n1");
    expect(lost).to.deep.equal([]);
  });

  it("removes nobody while cut off from most replicas", () => {
    const replicas = new Replicas("a", "b", "c");
    replicas.pass(1_000);
    replicas.announce("b", "n1");
    replicas.cut("a", "b");
    replicas.cut("a", "c");
    replicas.pass(LONG_MS, [["b", "n1"]]);
    expect(replicas.list("a")).to.deep.equal(["n1"]);
  });

  it("takes its own long pause for nobody's silence", () => {
    const replicas = new Replicas("a", "b", "c");
    replicas.pass(1_000);
    replicas.announce("a", "n1");
    replicas.announce("b", "n2");
    replicas.nowMs += 60_000;
    replicas.pass(1_000);
    expect(replicas.list("a")).to.deep.equal(["n1", "n2"]);
  });

  it("reports versions that nodes of other replicas confirmed", () => {
    const replicas = new Replicas("a", "b");
    replicas.announce("a", "n1");
    replicas.announce("a", "n2");
    replicas.hear("a", "n2", 0);
    replicas.pass(1_000);
    const reports = listReports(replicas.states.get("b")!, replicas.nowMs);
    const versions = reports.map((report) => report.tableVersion);
    expect(versions).to.deep.equal([1, 0]);
  });

  it("agrees after any announcements, moves, losses and cuts", () => {
    const ids = ["a", "b", "c"];
    const step = fc.record({
      replica: fc.constantFrom(...ids),
      node: fc.constantFrom("n1", "n2", "n3"),
      act: fc.constantFrom("announce", "leave", "cut", "heal", "pass"),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
        const replicas = new Replicas(...ids);
        const heard = new Map<string, string>();
        let linkNumber = 0;
        for (const { replica, node, act } of steps) {
          const other = ids[(ids.indexOf(replica) + 1) % ids.length]!;
          switch (act) {
            case "announce":
              heard.set(node, replica);
              replicas.announce(replica, node, ++linkNumber);
              break;
            case "leave":
              if (heard.get(node) === replica) {
                heard.delete(node);
                replicas.dispatch(replica, { type: "NodeLeft", nodeId: node });
              }
              break;
            case "cut":
              replicas.cut(replica, other);
              break;
            case "heal":
              replicas.cuts.clear();
              break;
            case "pass":
              replicas.pass(
                1_500,
                [...heard].map(([n, r]) => [r, n] as const),
              );
          }
        }
        replicas.cuts.clear();
        replicas.pass(LONG_MS, [...heard].map(([n, r]) => [r, n] as const));
        const expected = [...heard.keys()].toSorted();
        for (const id of ids) {
          expect(replicas.list(id), id).to.deep.equal(expected);
        }
      }),
      { numRuns: 200, seed: 5 },
    );
  });
});
