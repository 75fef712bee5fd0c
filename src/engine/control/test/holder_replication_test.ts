/**
 * Holder sets at three control replicas: agreement, restarts, changes of
 * leader.
 */
import { expect } from "chai";
import {
  LEASE_MS,
  WARM_UP_MS,
} from "../../membership/common/membership_state.ts";
import { INITIAL_TABLE_STATE } from "../../table/common/table_reducer.ts";
import { listHolders } from "../common/holders.ts";
import type { HolderReport } from "../common/holders.ts";
import { decodeCommand, decodeReplicated } from "../common/replicated_codec.ts";
import { HolderNodes } from "./holder_nodes.ts";
import { Replicas } from "./replicas.ts";

const IDS = ["a", "b", "c"];
const NODES = ["n1", "n2", "n3", "n4", "n5"];

function startReplicas(): { replicas: Replicas; nodes: HolderNodes } {
  const replicas = new Replicas(IDS);
  const nodes = new HolderNodes(replicas);
  IDS.forEach((id) => replicas.start(id));
  replicas.runUntil(() => IDS.every((id) => replicas.isConfirmed(id)));
  return { replicas, nodes };
}

/** Starts nodes linked to the replicas in turn, and waits for three holders. */
function startSet(at: readonly string[] = IDS) {
  const { replicas, nodes } = startReplicas();
  NODES.forEach((id, i) => nodes.start(id, at[i % at.length]!));
  waitForCompleteSet(replicas, NODES);
  return { replicas, nodes };
}

function startWarmSet() {
  const started = startSet();
  started.replicas.runUntil(() => false, WARM_UP_MS);
  return started;
}

function listRunning(replicas: Replicas): readonly string[] {
  return IDS.filter((id) => replicas.isRunning(id));
}

function readHolders(replicas: Replicas, id: string): HolderReport | undefined {
  return listHolders(replicas.get(id).holders)[0];
}

/**
 * Waits until every running replica has the same complete set of live nodes.
 */
function waitForCompleteSet(
  replicas: Replicas,
  live: readonly string[],
  fromEpoch = 1,
): HolderReport {
  const isComplete = () => {
    const reports = listRunning(replicas)
      .map((id) => readHolders(replicas, id));
    const [first] = reports;
    return first !== undefined && !first.isChanging &&
      first.epoch >= fromEpoch && first.members.length === 3 &&
      first.members.every((member) => live.includes(member)) &&
      reports.every((one) => JSON.stringify(one) === JSON.stringify(first));
  };
  expect(replicas.runUntil(isComplete, 60_000), "complete and the same").to
    .equal(
      true,
    );
  return readHolders(replicas, listRunning(replicas)[0]!)!;
}

/** Asserts that no two sets were sent with the same epoch. */
function assertUnique(nodes: HolderNodes): void {
  for (const [epoch, sets] of nodes.publishedSets) {
    expect([...sets], `epoch ${epoch}`).to.have.lengthOf(1);
  }
}

describe("replicated holder sets", () => {
  it("are the same at every replica, whatever the leader", () => {
    const { replicas, nodes } = startWarmSet();
    let live = NODES;
    let { epoch, members } = waitForCompleteSet(replicas, live);
    for (let round = 0; round < 3; round++) {
      const leader = replicas.leader!;
      replicas.kill(leader);
      const lost = members[round]!;
      nodes.kill(lost);
      const other = IDS.find((id) => id !== leader)!;
      live.filter((id) => id !== lost).forEach((id) => nodes.relink(id, other));
      nodes.start(`new-${round}`, other);
      live = [...live.filter((id) => id !== lost), `new-${round}`];
      const next = waitForCompleteSet(replicas, live, epoch + 1);
      expect(next.epoch).to.be.greaterThan(epoch);
      ({ epoch, members } = next);
      replicas.start(leader);
      replicas.runUntil(() => replicas.isConfirmed(leader));
      replicas.runUntil(() => false, WARM_UP_MS);
      expect(waitForCompleteSet(replicas, live)).to.deep.equal(next);
    }
    assertUnique(nodes);
  });

  it("continue from their epochs after all replicas restart", () => {
    const { replicas, nodes } = startWarmSet();
    const before = waitForCompleteSet(replicas, NODES);
    const change = { type: "RemoveRow", kind: "none", fromVersion: 0 } as const;
    for (let i = 0; i < 1_100; i++) {
      replicas.edit(replicas.leader!, `edit-${i}`, change);
    }
    nodes.kill(before.members[0]!);
    const live = NODES.filter((id) => id !== before.members[0]);
    const changed = waitForCompleteSet(replicas, live, before.epoch + 1);
    const { snapshot, commitIndex } = replicas.get("a").consensus;
    expect(snapshot!.lastIndex).to.be.within(1_000, commitIndex - 1);
    IDS.forEach((id) => replicas.kill(id));
    IDS.forEach((id) => replicas.start(id));
    live.forEach((id, i) => nodes.relink(id, IDS[i % IDS.length]!));
    expect(waitForCompleteSet(replicas, live)).to.deep.equal(changed);
    replicas.runUntil(() => false, WARM_UP_MS);
    expect(waitForCompleteSet(replicas, live)).to.deep.equal(changed);
    nodes.start(changed.members[0]!, "b");
    const again = waitForCompleteSet(replicas, live, changed.epoch + 1);
    expect(again.epoch).to.be.greaterThan(changed.epoch);
    assertUnique(nodes);
  });

  it("keep a holder that a new leader doesn't know yet", () => {
    const { replicas, nodes } = startWarmSet();
    const before = waitForCompleteSet(replicas, NODES);
    IDS.forEach((id) => replicas.kill(id));
    IDS.forEach((id) => replicas.start(id));
    const late = before.members[0]!;
    const others = NODES.filter((id) => id !== late);
    others.forEach((id) => nodes.relink(id, "b"));
    replicas.runUntil(() => false, WARM_UP_MS - 1_000);
    expect(replicas.leader).to.be.a("string");
    nodes.relink(late, "c");
    replicas.runUntil(() => false, WARM_UP_MS);
    expect(waitForCompleteSet(replicas, NODES)).to.deep.equal(before);
  });

  it("replace a lost holder once its lease has expired, and not before", () => {
    const { replicas, nodes } = startWarmSet();
    const { epoch, members } = waitForCompleteSet(replicas, NODES);
    const lost = members.find((id) =>
      IDS[NODES.indexOf(id) % IDS.length] !== replicas.leader
    )!;
    const plans: string[] = [];
    replicas.isLost = (message, from) => {
      if (message.type === "HolderForward") {
        plans.push(`${from}: ${message.command.type}`);
      }
      return false;
    };
    nodes.kill(lost);
    replicas.runUntil(() => false, LEASE_MS - 1_000);
    expect(readHolders(replicas, "a")).to.include({ epoch, isChanging: false });
    const live = NODES.filter((id) => id !== lost);
    expect(waitForCompleteSet(replicas, live).epoch).to.equal(epoch + 1);
    expect(plans.join(), "the leader alone plans")
      .to.not.contain("HolderSetProposed");
  });

  it("change by reports that followers receive", () => {
    const { replicas, nodes } = startReplicas();
    const follower = IDS.find((id) => id !== replicas.leader)!;
    nodes.start("n1", follower);
    replicas.runUntil(() =>
      readHolders(replicas, follower)?.members.length === 1
    );
    nodes.start("n2", follower);
    nodes.start("n3", follower);
    const { epoch } = waitForCompleteSet(replicas, ["n1", "n2", "n3"]);
    expect(epoch).to.equal(2);
    expect(replicas.leader).to.not.equal(follower);
  });

  it("are proposed once, and not again before the proposal is committed", () => {
    const { replicas, nodes } = startWarmSet();
    const { members } = waitForCompleteSet(replicas, NODES);
    const leader = replicas.leader!;
    const count = () => replicas.get(leader).consensus.log.entries.length;
    const before = count();
    replicas.runUntil(() => false, 20_000);
    expect(count(), "nothing to change").to.equal(before);
    replicas.isLost = ({ type }, _from, to) =>
      type === "ConsensusRelay" && to === leader;
    nodes.start(members[0]!, leader);
    replicas.runUntil(() => false, 750);
    expect(replicas.leader).to.equal(leader);
    expect(count(), "one proposal").to.equal(before + 1);
  });

  it("never go back at a node that an outdated replica sends older ones", () => {
    const { replicas, nodes } = startWarmSet();
    const { epoch, members } = waitForCompleteSet(replicas, NODES);
    const outdated = IDS.find((id) => id !== replicas.leader)!;
    const [lost, node] = members;
    NODES.forEach((id) => nodes.relink(id, replicas.leader!));
    replicas.partition(outdated);
    nodes.kill(lost!);
    replicas.runUntil(() => nodes.getEpoch(node!) === epoch + 1);
    nodes.relink(node!, outdated);
    expect(readHolders(replicas, outdated)?.epoch).to.equal(epoch);
    expect(nodes.getEpoch(node!)).to.equal(epoch + 1);
  });
});

describe("replicated payloads", () => {
  it("in the first format are read as the table only", () => {
    const encode = (value: unknown) =>
      new TextEncoder().encode(JSON.stringify(value));
    const edit = {
      editId: "e",
      operator: "amal",
      atMs: 1,
      change: { type: "RemoveRow", kind: "none", fromVersion: 1 },
    } as const;
    expect(decodeCommand(encode(edit)))
      .to.deep.equal({ type: "TableEdited", edit });
    const outcome = { type: "EditUnchanged", version: 3 } as const;
    const old = { ...INITIAL_TABLE_STATE, answers: [["e", outcome]] };
    const answers = new Map([["e", outcome]]);
    expect(decodeReplicated(encode(old))).to.deep.equal({
      tableState: { ...INITIAL_TABLE_STATE, answers },
      holders: new Map(),
      crashes: new Map(),
    });
  });
});
