/**
 * Replicas that discover each other from seeds: bootstrap, growth, replacement.
 */
import { expect } from "chai";
import { createAnnouncement } from "../../membership/test/replicas.ts";
import { Replicas } from "./replicas.ts";

const IDS = ["a", "b", "c", "d", "e"];
const SEEDS = ["a", "b", "c"];
const DISCOVERY = {
  maxVoters: 5,
  replaceAfterMs: 6_000,
  confirmEveryMs: 300,
  confirmValidMs: 1_000,
};

function createSet(ids: readonly string[] = [...IDS, "f"]): Replicas {
  return new Replicas(ids, (self) => ({
    self,
    voters: self === "f" ? [] : SEEDS,
    peers: SEEDS.filter((seed) => seed !== self),
    discovery: DISCOVERY,
  }));
}

function listVoters(replicas: Replicas, id: string): readonly string[] {
  return replicas.get(id).consensus.configuration.voters
    .map((voter) => voter.split("~")[0]!).toSorted();
}

function startAll(): Replicas {
  const replicas = createSet();
  IDS.forEach((id) => replicas.start(id));
  const isGrown = () =>
    IDS.every((id) => listVoters(replicas, id).length === 5);
  expect(replicas.runUntil(isGrown), "all vote").to.equal(true);
  return replicas;
}

describe("replicas that find each other", () => {
  it("are bootstrapped by the seeds and joined by the others", () => {
    const replicas = startAll();
    expect(listVoters(replicas, "a")).to.deep.equal(IDS);
  });

  it("are bootstrapped in any order of starts", () => {
    const replicas = createSet();
    for (const id of ["e", "c", "b", "d"]) {
      replicas.start(id);
      replicas.runUntil(() => false, 1_000);
      expect(listVoters(replicas, id)).to.deep.equal([]);
    }
    replicas.start("a");
    const isGrown = () => listVoters(replicas, "d").length === 5;
    expect(replicas.runUntil(isGrown)).to.equal(true);
  });

  it("replace a lost replica by one at another address", () => {
    const replicas = startAll();
    const lost = replicas.leader === "b" ? "c" : "b";
    replicas.kill(lost);
    replicas.wipe(lost);
    replicas.start("f");
    const leader = () => replicas.leader ?? "a";
    const isReplaced = () => {
      const voters = listVoters(replicas, leader());
      return voters.includes("f") && !voters.includes(lost);
    };
    expect(replicas.runUntil(isReplaced)).to.equal(true);
    expect(listVoters(replicas, leader())).to.have.length(5);
  });

  it("take one back whose disk was wiped, as another replica", () => {
    const replicas = startAll();
    const wiped = replicas.leader === "d" ? "e" : "d";
    const before = replicas.get(wiped).consensus.replicaId;
    replicas.kill(wiped);
    replicas.wipe(wiped);
    replicas.start(wiped);
    const after = replicas.get(wiped).consensus.replicaId;
    const votes = (id: string) =>
      replicas.get(replicas.leader ?? "a").consensus.configuration.voters
        .includes(id);
    expect(replicas.runUntil(() => votes(after) && !votes(before))).to.equal(
      true,
    );
  });

  it("tell their nodes at once that they are behind a cut", () => {
    const replicas = startAll();
    const partitioned = replicas.leader === "d" ? "e" : "d";
    const announcement = createAnnouncement("n");
    const linkNumber = 1;
    const tableVersion = 0;
    replicas.receiveNodeMessage(partitioned, 7, {
      type: "Announce",
      announcement,
      linkNumber,
      tableVersion,
    });
    let isConfirmed: boolean | undefined;
    replicas.onLink = (id, _linkId, message) => {
      if (id === partitioned && message.type === "HeartbeatAnswer") {
        isConfirmed = message.isConfirmed;
      }
    };
    replicas.partition(partitioned);
    expect(replicas.runUntil(() => isConfirmed === false, 1_500)).to.equal(
      true,
    );
  });

  it("keep silent voters while no replica can replace them", () => {
    const replicas = startAll();
    replicas.kill("d");
    replicas.runUntil(() => false, 20_000);
    expect(listVoters(replicas, replicas.leader ?? "a")).to.deep.equal(IDS);
  });

  // A replaced voter that stays among few voters raises their quorum, so that
  // the loss of one more stops all edits.
  it("remove a replaced voter, and accept edits after another loss", () => {
    const replicas = createSet();
    SEEDS.forEach((id) => replicas.start(id));
    const isFounded = () =>
      SEEDS.every((id) => listVoters(replicas, id).length === 3);
    expect(replicas.runUntil(isFounded), "all vote").to.equal(true);
    replicas.kill("b");
    replicas.wipe("b");
    replicas.start("f");
    const isReplaced = () =>
      listVoters(replicas, replicas.leader ?? "a").join("") === "acf";
    expect(replicas.runUntil(isReplaced), "replaced").to.equal(true);
    replicas.kill("c");
    const requestId = replicas.edit("a", "edit-1", {
      type: "RemoveRow",
      kind: "none",
      fromVersion: 1,
    });
    const isAnswered = () =>
      replicas.results.get(requestId)?.type === "EditAnswered";
    expect(replicas.runUntil(isAnswered), "answered").to.equal(true);
  });

  it("keep two lost voters of five, whose removal one by one gains nothing", () => {
    const replicas = startAll();
    replicas.kill("d");
    replicas.kill("e");
    replicas.runUntil(() => false, 20_000);
    expect(listVoters(replicas, replicas.leader ?? "a")).to.deep.equal(IDS);
  });
});
