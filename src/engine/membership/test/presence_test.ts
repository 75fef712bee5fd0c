/**
 * Presence exchanged among replicas: moves, losses, partitions and restarts.
 */
import { expect } from "chai";
import fc from "fast-check";
import { LEASE_MS, listReports } from "../common/membership_state.ts";
import { Replicas } from "./replicas.ts";

const LONG_MS = 3 * LEASE_MS;

describe("presence among replicas", () => {
  it("publishes a node to every replica at once", () => {
    const replicas = new Replicas("a", "b", "c");
    replicas.advance(1_000);
    replicas.announce("a", "n1");
    expect(replicas.listNodes("b")).to.deep.equal(["n1"]);
    expect(replicas.listNodes("c")).to.deep.equal(["n1"]);
  });

  it("publishes a drain to every replica at once", () => {
    const replicas = new Replicas("a", "b");
    replicas.advance(1_000);
    replicas.announce("a", "n1");
    replicas.announce("a", "n1", 1, 1);
    expect(replicas.published.at(-1)).to.deep.equal({
      at: "b",
      notification: "n1/1",
    });
  });

  it("keeps a node while the replica it is linked to is alive", () => {
    const replicas = new Replicas("a", "b");
    replicas.announce("a", "n1");
    replicas.advance(LONG_MS, [["a", "n1"]]);
    expect(replicas.listNodes("b")).to.deep.equal(["n1"]);
  });

  it("removes a node everywhere when its lease expires", () => {
    const replicas = new Replicas("a", "b");
    replicas.advance(1_000);
    replicas.announce("a", "n1");
    replicas.advance(LONG_MS);
    expect(replicas.listNodes("a")).to.deep.equal([]);
    expect(replicas.listNodes("b")).to.deep.equal([]);
  });

  it("keeps a node that moved after its lease at the first replica expires", () => {
    const replicas = new Replicas("a", "b", "c");
    replicas.advance(1_000);
    replicas.announce("a", "n1", 1);
    replicas.disconnect("a", "b");
    replicas.announce("b", "n1", 2);
    replicas.advance(LONG_MS, [["b", "n1"]]);
    for (const id of ["a", "b", "c"]) {
      expect(replicas.listNodes(id), id).to.deep.equal(["n1"]);
    }
    expect(
      replicas.published.filter(({ notification }) =>
        notification.startsWith("lost")
      ),
    )
      .to.deep.equal([]);
  });

  it("keeps a node that its former replica removes", () => {
    const replicas = new Replicas("a", "b");
    replicas.advance(1_000);
    replicas.announce("a", "n1", 1);
    replicas.brokenLinks.add("b>a");
    replicas.announce("b", "n1", 2);
    replicas.advance(LONG_MS, [["b", "n1"]]);
    expect(replicas.listNodes("a")).to.deep.equal([]);
    expect(replicas.listNodes("b")).to.deep.equal(["n1"]);
    expect(replicas.published).to.not.deep.include({
      at: "b",
      notification: "lost n1",
    });
  });

  it("ignores a late announcement of an older link", () => {
    const replicas = new Replicas("a", "b");
    replicas.advance(1_000);
    replicas.announce("a", "n1", 2, 1);
    replicas.announce("b", "n1", 1, 0);
    const [report] = listReports(replicas.states.get("b")!, replicas.nowMs);
    expect(report?.announcement.sequence).to.equal(1);
    expect(report?.owner).to.match(/^a@/);
  });

  it("fetches changes that a broken link lost", () => {
    const replicas = new Replicas("a", "b");
    replicas.advance(1_000);
    replicas.disconnect("a", "b");
    replicas.announce("a", "n1");
    expect(replicas.listNodes("b")).to.deep.equal([]);
    replicas.brokenLinks.clear();
    replicas.advance(2_000, [["a", "n1"]]);
    expect(replicas.listNodes("b")).to.deep.equal(["n1"]);
  });

  it("fetches a change that was lost before the next one", () => {
    const replicas = new Replicas("a", "b");
    replicas.announce("a", "n1");
    replicas.advance(1_000);
    replicas.disconnect("a", "b");
    replicas.announce("a", "n2");
    replicas.brokenLinks.clear();
    replicas.announce("a", "n3");
    replicas.advance(1_000);
    expect(replicas.listNodes("b")).to.deep.equal(["n1", "n2", "n3"]);
  });

  it("receives the heartbeats of a replica through a third one", () => {
    const replicas = new Replicas("a", "b", "c");
    replicas.disconnect("a", "b");
    replicas.announce("a", "n1");
    replicas.advance(LONG_MS, [["a", "n1"]]);
    expect(replicas.listNodes("b")).to.deep.equal(["n1"]);
  });

  it("moves the nodes of a stopped replica without publishing a loss", () => {
    const replicas = new Replicas("a", "b", "c");
    replicas.advance(1_000);
    replicas.announce("a", "n1", 1);
    replicas.announce("a", "n2", 1);
    replicas.stopped.add("a");
    replicas.advance(4_000);
    replicas.announce("b", "n1", 2);
    replicas.advance(LONG_MS, [["b", "n1"]]);
    expect(replicas.listNodes("c")).to.deep.equal(["n1"]);
    const lost = replicas.published.filter(({ notification }) =>
      notification === "lost n1"
    );
    expect(lost).to.deep.equal([]);
  });

  it("keeps the nodes of a replica that restarts within the lease", () => {
    const replicas = new Replicas("a", "b", "c");
    replicas.advance(1_000);
    replicas.announce("a", "n1", 1);
    replicas.advance(1_000);
    replicas.start("a");
    replicas.advance(3_000);
    expect(replicas.listNodes("b")).to.deep.equal(["n1"]);
    replicas.announce("a", "n2", 1);
    expect(replicas.listNodes("b")).to.deep.equal(["n1", "n2"]);
    replicas.announce("a", "n1", 2);
    replicas.advance(LONG_MS, [["a", "n1"], ["a", "n2"]]);
    expect(replicas.listNodes("b")).to.deep.equal(["n1", "n2"]);
    const lost = replicas.published.filter(({ notification }) =>
      notification === "lost n1"
    );
    expect(lost).to.deep.equal([]);
  });

  it("removes no node while partitioned from most replicas", () => {
    const replicas = new Replicas("a", "b", "c");
    replicas.advance(1_000);
    replicas.announce("b", "n1");
    replicas.disconnect("a", "b");
    replicas.disconnect("a", "c");
    replicas.advance(LONG_MS, [["b", "n1"]]);
    expect(replicas.listNodes("a")).to.deep.equal(["n1"]);
  });

  it("removes no node because it was suspended itself", () => {
    const replicas = new Replicas("a", "b", "c");
    replicas.advance(1_000);
    replicas.announce("a", "n1");
    replicas.announce("b", "n2");
    replicas.nowMs += 60_000;
    replicas.advance(1_000);
    expect(replicas.listNodes("a")).to.deep.equal(["n1", "n2"]);
  });

  it("reports the versions confirmed by nodes of other replicas", () => {
    const replicas = new Replicas("a", "b");
    replicas.announce("a", "n1");
    replicas.announce("a", "n2");
    replicas.receiveHeartbeat("a", "n2", 0);
    replicas.advance(1_000);
    const reports = listReports(replicas.states.get("b")!, replicas.nowMs);
    const versions = reports.map((report) => report.tableVersion);
    expect(versions).to.deep.equal([1, 0]);
  });

  it("converges after any announcements, moves, losses and partitions", () => {
    const ids = ["a", "b", "c"];
    const action = fc.record({
      replica: fc.constantFrom(...ids),
      node: fc.constantFrom("n1", "n2", "n3"),
      type: fc.constantFrom(
        "announce",
        "leave",
        "disconnect",
        "heal",
        "advance",
      ),
    });
    fc.assert(
      fc.property(fc.array(action, { maxLength: 40 }), (actions) => {
        const replicas = new Replicas(...ids);
        const replicaByNode = new Map<string, string>();
        let linkNumber = 0;
        for (const { replica, node, type } of actions) {
          const other = ids[(ids.indexOf(replica) + 1) % ids.length]!;
          switch (type) {
            case "announce":
              replicaByNode.set(node, replica);
              replicas.announce(replica, node, ++linkNumber);
              break;
            case "leave":
              if (replicaByNode.get(node) === replica) {
                replicaByNode.delete(node);
                replicas.dispatch(replica, { type: "NodeLeft", nodeId: node });
              }
              break;
            case "disconnect":
              replicas.disconnect(replica, other);
              break;
            case "heal":
              replicas.brokenLinks.clear();
              break;
            case "advance":
              replicas.advance(
                1_500,
                [...replicaByNode].map(([n, r]) => [r, n] as const),
              );
          }
        }
        replicas.brokenLinks.clear();
        replicas.advance(
          LONG_MS,
          [...replicaByNode].map(([n, r]) => [r, n] as const),
        );
        const expected = [...replicaByNode.keys()].toSorted();
        for (const id of ids) {
          expect(replicas.listNodes(id), id).to.deep.equal(expected);
        }
      }),
      { numRuns: 200, seed: 5 },
    );
  });
});
