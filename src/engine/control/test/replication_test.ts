/**
 * Bootstrap, edits, reads and repair of the replica set, tested on its reducer.
 */
import { expect } from "chai";
import type { TableChange } from "../../table/common/table_reducer.ts";
import { parseRow } from "../../table/common/table_schema.ts";
import { Replicas } from "./replicas.ts";

const CELLS = {
  service: "catalog",
  method: "GET",
  path: "/**",
  weight: "1",
  importance: "5",
  concurrency: "10",
  rate: "100",
  queue: "10",
  timeout_ms: "1000",
  retries: "1",
  idempotent: "yes",
  key: "none",
  max_body_bytes: "0",
};

function putRow(queue: number, fromVersion: number): TableChange {
  const cells = { ...CELLS, kind: "lookup", queue: String(queue) };
  const draft = parseRow({ ...cells, version: String(fromVersion) }, 1);
  return { type: "PutRow", ...draft._unsafeUnwrap() };
}

function startSet(ids = ["a", "b", "c"]): Replicas {
  const replicas = new Replicas(ids);
  ids.forEach((id) => replicas.start(id));
  const isUp = () => ids.every((id) => replicas.isConfirmed(id));
  expect(replicas.runUntil(isUp), "the set serves").to.equal(true);
  return replicas;
}

/** Makes an edit and returns its result as a short text. */
function editRow(
  replicas: Replicas,
  at: string,
  queue: number,
  fromVersion: number,
  editId = `edit-${queue}`,
): string {
  const request = replicas.edit(at, editId, putRow(queue, fromVersion));
  replicas.runUntil(() => replicas.results.has(request));
  const result = replicas.results.get(request);
  return result?.type === "EditAnswered"
    ? `${result.outcome.type} ${
      "version" in result.outcome ? result.outcome.version : "-"
    }`
    : `${result?.type} ${result?.isUnknown ? "unknown" : "not accepted"}`;
}

function readVersion(replicas: Replicas, id: string): number {
  return replicas.get(id).tableState.table.version;
}

/** Waits until a replica has a version of the table. */
function waitForVersion(replicas: Replicas, id: string, version: number): void {
  replicas.runUntil(() => readVersion(replicas, id) === version);
  expect(readVersion(replicas, id), id).to.equal(version);
}

function listVoters(replicas: Replicas, id: string): readonly string[] {
  return replicas.get(id).consensus.configuration.voters.toSorted();
}

describe("replication", () => {
  it("is bootstrapped once all voters have started, and not before", () => {
    const replicas = new Replicas(["a", "b", "c"]);
    replicas.start("a");
    replicas.start("b");
    replicas.runUntil(() => false, 10_000);
    expect(listVoters(replicas, "a")).to.deep.equal([]);
    replicas.start("c");
    expect(replicas.runUntil(() => replicas.isConfirmed("c"))).to.equal(true);
    expect(listVoters(replicas, "c")).to.deep.equal(["a~1", "b~2", "c~3"]);
  });

  it("catches up a voter that was unreachable since the bootstrap", () => {
    const replicas = new Replicas(["a", "b", "c"]);
    replicas.isLost = ({ type }, _from, to) =>
      to === "c" && type === "ConsensusRelay";
    ["a", "b", "c"].forEach((id) => replicas.start(id));
    replicas.runUntil(() => replicas.isConfirmed("a"));
    expect(editRow(replicas, "b", 1, 0)).to.equal("EditAccepted 1");
    expect(listVoters(replicas, "c")).to.deep.equal([]);
    replicas.isLost = () => false;
    waitForVersion(replicas, "c", 1);
    expect(listVoters(replicas, "c")).to.deep.equal(["a~1", "b~2", "c~3"]);
  });

  it("is never bootstrapped again by a first voter whose disk was wiped", () => {
    const replicas = startSet();
    editRow(replicas, "a", 1, 0);
    waitForVersion(replicas, "b", 1);
    waitForVersion(replicas, "c", 1);
    ["a", "b", "c"].forEach((id) => replicas.kill(id));
    replicas.wipe("a");
    ["a", "b", "c"].forEach((id) => replicas.start(id));
    replicas.runUntil(() => listVoters(replicas, "a").includes("a~4"));
    const { snapshot } = replicas.get("a").consensus;
    expect(snapshot?.configuration.voters ?? []).to.not.include("a~4");
    waitForVersion(replicas, "a", 1);
  });

  it("accepts an edit at any replica, and gives a resent edit its first answer", () => {
    const replicas = startSet();
    expect(editRow(replicas, "a", 1, 0)).to.equal("EditAccepted 1");
    expect(editRow(replicas, "b", 2, 1)).to.equal("EditAccepted 2");
    expect(editRow(replicas, "c", 3, 2)).to.equal("EditAccepted 3");
    expect(editRow(replicas, "a", 2, 1)).to.equal("EditAccepted 2");
    expect(readVersion(replicas, replicas.leader!)).to.equal(3);
  });

  it("accepts exactly one of the edits made from one version", () => {
    const replicas = startSet();
    editRow(replicas, "a", 1, 0);
    const requests = ["a", "b", "c"].map((id, at) =>
      replicas.edit(id, `race-${id}`, putRow(10 + at, 1))
    );
    replicas.runUntil(() => requests.every((r) => replicas.results.has(r)));
    const outcomes = requests.map((request) => {
      const result = replicas.results.get(request)!;
      return result.type === "EditAnswered" ? result.outcome.type : "none";
    });
    expect(outcomes.toSorted())
      .to.deep.equal(["EditAccepted", "EditConflicted", "EditConflicted"]);
  });

  it("keeps answers over a leader that dies before its own", () => {
    const replicas = startSet();
    editRow(replicas, "a", 1, 0);
    const old = replicas.leader!;
    const other = ["a", "b", "c"].find((id) => id !== old)!;
    replicas.isLost = ({ type }) => type === "EditReply";
    const lost = replicas.edit(other, "edit-2", putRow(2, 1));
    replicas.runUntil(() => readVersion(replicas, other) === 2);
    replicas.kill(old);
    replicas.isLost = () => false;
    expect(editRow(replicas, other, 2, 1)).to.equal("EditAccepted 2");
    expect(editRow(replicas, other, 3, 2)).to.equal("EditAccepted 3");
    replicas.runUntil(() => replicas.results.has(lost));
    const outcome = { type: "EditAccepted", version: 2 };
    const { term } = replicas.get(replicas.leader!).consensus;
    const entry = { index: 5, term, isRepeat: true };
    expect(replicas.results.get(lost))
      .to.deep.equal({ type: "EditAnswered", outcome, entry });
  });

  it("refuses edits and reads without a quorum", () => {
    const replicas = startSet();
    editRow(replicas, "a", 1, 0);
    replicas.kill("b");
    replicas.kill("c");
    replicas.runUntil(() => !replicas.isConfirmed("a"));
    const first = editRow(replicas, "a", 2, 1);
    expect(first).to.match(/^EditRefused/);
    expect(editRow(replicas, "a", 3, 1)).to.equal("EditRefused not accepted");
    const read = replicas.read("a");
    replicas.runUntil(() => replicas.reads.has(read));
    expect(replicas.reads.get(read)).to.equal(false);
    expect(replicas.isConfirmed("a")).to.equal(false);
  });

  it("never vouches for a replica behind a cut, and names it", () => {
    const replicas = startSet();
    editRow(replicas, "a", 1, 0);
    waitForVersion(replicas, "b", 1);
    replicas.partition("b");
    replicas.runUntil(() => !replicas.isConfirmed("b"));
    replicas.runUntil(() => replicas.events.includes("a: ReplicaSilent b"));
    editRow(replicas, "a", 2, 1);
    replicas.runUntil(() => false, 600_000);
    expect(replicas.isConfirmed("b")).to.equal(false);
    expect(readVersion(replicas, "b")).to.equal(1);
    const { term } = replicas.get("a").consensus;
    replicas.partition("b", false);
    replicas.runUntil(() => replicas.isConfirmed("b"));
    expect(readVersion(replicas, "b")).to.equal(2);
    replicas.runUntil(() => replicas.events.includes("a: ReplicaHeard b"));
    expect(replicas.events).to.include("a: ReplicaHeard b");
    expect(replicas.get("a").consensus.term, "undisturbed").to.equal(term);
  });

  it("restores the table and the answers after all replicas restart", () => {
    const replicas = startSet();
    for (let version = 0; version < 1_200; version++) {
      const done = editRow(replicas, "a", version + 1, version);
      expect(done).to.equal(`EditAccepted ${version + 1}`);
    }
    const { snapshot } = replicas.get(replicas.leader!).consensus;
    expect(snapshot!.lastIndex).to.be.greaterThan(999);
    ["a", "b", "c"].forEach((id) => replicas.kill(id));
    ["a", "b", "c"].forEach((id) => replicas.start(id));
    replicas.runUntil(() => replicas.isConfirmed("b"));
    expect(readVersion(replicas, "b")).to.equal(1_200);
    expect(editRow(replicas, "c", 5, 4)).to.equal("EditAccepted 5");
  });

  it("replaces a wiped replica, and then loses another safely", () => {
    const replicas = startSet();
    for (let version = 0; version < 20; version++) {
      editRow(replicas, "a", version + 1, version);
    }
    const wiped = ["a", "b", "c"].find((id) => id !== replicas.leader)!;
    replicas.kill(wiped);
    replicas.wipe(wiped);
    expect(editRow(replicas, replicas.leader!, 21, 20))
      .to.equal("EditAccepted 21");
    replicas.start(wiped);
    const isRepaired = () => {
      const voters = listVoters(replicas, replicas.leader!);
      return voters.length === 3 && voters.includes(`${wiped}~4`);
    };
    expect(replicas.runUntil(isRepaired), "repaired").to.equal(true);
    replicas.kill(replicas.leader!);
    expect(editRow(replicas, wiped, 22, 21)).to.equal("EditAccepted 22");
    waitForVersion(replicas, wiped, 22);
  });

  it("refuses edits rather than losing some if two replicas are wiped at once", () => {
    const replicas = startSet();
    editRow(replicas, "a", 1, 0);
    waitForVersion(replicas, "c", 1);
    for (const id of ["a", "b"]) {
      replicas.kill(id);
      replicas.wipe(id);
    }
    replicas.start("a");
    replicas.start("b");
    replicas.runUntil(() => false, 60_000);
    expect(replicas.leader).to.equal(undefined);
    expect(editRow(replicas, "a", 2, 0)).to.equal("EditRefused not accepted");
    expect(readVersion(replicas, "c")).to.equal(1);
  });

  it("transfers leadership on a planned stop", () => {
    const replicas = startSet();
    const old = replicas.leader!;
    replicas.dispatch(old, { type: "StopPlanned" });
    expect(replicas.runUntil(() => replicas.leader !== old, 500)).to.equal(
      true,
    );
  });
});
