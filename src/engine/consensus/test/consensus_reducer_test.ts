/**
 * Tests of single features of the consensus reducer, each by a fixed scenario.
 */
import { assert } from "chai";
import type { ConsensusEffect } from "../common/consensus_events.ts";
import { reduceConsensus } from "../common/consensus_reducer.ts";
import { EMPTY_DISK } from "../common/recovery.ts";
import { ReplicaSet, TEST_OPTIONS } from "./replica_set.ts";

const VOTERS = ["a", "b", "c"];

/** Creates a replica set with `a` as leader. */
function createSetWithLeader(
  learners: readonly string[] = [],
  readGatherMs = 0,
): ReplicaSet {
  const set = new ReplicaSet({
    reduce: reduceConsensus,
    configuration: { voters: VOTERS, learners },
    maxBatchEntries: 3,
    readGatherMs,
  });
  set.startCampaign("a");
  runRounds(set, 2);
  return set;
}

function runRounds(set: ReplicaSet, rounds: number, without?: string): void {
  const ids = [...set.replicas.keys()].filter((id) => id !== without);
  for (let round = 0; round < rounds; round++) {
    set.nowMs += TEST_OPTIONS.heartbeatMs;
    ids.forEach((id) => set.push(id, { type: "Ticked" }));
    for (let count = 0; set.packets.length > 0 && count < 50; count++) {
      set.exchange(ids);
    }
  }
}

function listReportedEffects(
  set: ReplicaSet,
  id: string,
): readonly ConsensusEffect[] {
  return set.reportedEffects.filter((reported) => reported.id === id).map((
    { effect },
  ) => effect);
}

function listFailures(set: ReplicaSet): readonly string[] {
  return set.reportedEffects.flatMap(({ effect }) =>
    effect.type === "ProposalFailed" || effect.type === "ReadFailed"
      ? [`${effect.requestId} ${effect.failure.type}`]
      : []
  );
}

describe("consensus reducer", () => {
  it("sends a vote only once it is synced", () => {
    const set = createSetWithLeader();
    set.nowMs += TEST_OPTIONS.electionTimeoutMs;
    const message = {
      type: "VoteRequest",
      term: 9,
      lastIndex: 9,
      lastTerm: 9,
      isTransfer: false,
    } as const;
    set.push("b", { type: "MessageReceived", from: "c", message });
    assert.isEmpty(set.packets);
    set.sync("b");
    assert.deepEqual(set.packets.map((packet) => packet.message), [
      { type: "VoteResponse", term: 9, isGranted: true },
    ]);
    assert.deepEqual(set.replicas.get("b")!.disk.hardState, {
      term: 9,
      votedFor: "c",
    });
  });

  it("reports a silent replica, and reports when it answers again", () => {
    const set = createSetWithLeader();
    runRounds(set, 15, "c");
    const silent = listReportedEffects(set, "a").filter((e) =>
      e.type === "ReplicaSilent"
    );
    assert.deepEqual(silent.map((e) => e.replicaId), ["c"]);
    runRounds(set, 2);
    const answering = listReportedEffects(set, "a").filter((e) =>
      e.type === "ReplicaHeard"
    );
    assert.deepEqual(answering.map((e) => e.replicaId), ["c"]);
  });

  it("steps down without a quorum, and reports the outcome as unknown", () => {
    const set = createSetWithLeader();
    const requestId = set.startProposal("a");
    set.packets = [];
    for (let round = 0; round < 8; round++) {
      set.nowMs += TEST_OPTIONS.heartbeatMs;
      set.push("a", { type: "Ticked" });
    }
    assert.isEmpty(set.listLeaders());
    assert.deepEqual(listFailures(set), [`${requestId} OutcomeUnknown`]);
  });

  it("doesn't let a replica that was isolated disturb the leader", () => {
    const set = createSetWithLeader();
    runRounds(set, 40, "c");
    const { term } = set.replicas.get("a")!.state;
    runRounds(set, 5);
    assert.deepEqual(set.listLeaders(), ["a"]);
    assert.equal(set.replicas.get("c")!.state.term, term);
  });

  it("elects without the full wait after all replicas were started again", () => {
    const set = new ReplicaSet({
      reduce: reduceConsensus,
      configuration: { voters: VOTERS, learners: [] },
      maxBatchEntries: 3,
      firstElectionTimeoutMs: TEST_OPTIONS.firstElectionTimeoutMs,
    });
    VOTERS.forEach((id) => set.restart(id, 0));
    set.packets = [];
    const startMs = set.nowMs;
    while (set.listLeaders().length === 0) {
      runRounds(set, 1);
      assert.isBelow(set.nowMs - startMs, TEST_OPTIONS.electionTimeoutMs);
    }
  });

  it("doesn't let a replica that was started again depose a leader", () => {
    const set = createSetWithLeader();
    const { term } = set.replicas.get("a")!.state;
    set.restart("c", 0);
    // Only its link from the leader is blocked: the other voter still receives
    // the leader's messages, so it refuses the pre-vote.
    set.blockedLinks.add("a>c");
    runRounds(set, 40);
    assert.deepEqual(set.listLeaders(), ["a"]);
    assert.equal(set.replicas.get("a")!.state.term, term);
  });

  it("combines reads that arrive one after the other in one heartbeat round", () => {
    const set = createSetWithLeader([], TEST_OPTIONS.readGatherMs);
    const countRounds = () => {
      const { role } = set.replicas.get("a")!.state;
      return role.type === "Leader" ? role.round : -1;
    };
    const before = countRounds();
    const requestIds: string[] = [];
    for (let count = 0; count < 6; count++) {
      set.nowMs += 1;
      requestIds.push(set.read("a"));
      set.exchange(VOTERS);
      set.exchange(VOTERS);
    }
    assert.isAtMost(countRounds() - before, 2);
    runRounds(set, 2);
    const ready = listReportedEffects(set, "a").filter((e) =>
      e.type === "ReadReady"
    );
    assert.deepEqual(ready.map((e) => e.requestId), requestIds);
  });

  it("transfers leadership before a planned stop", () => {
    const set = createSetWithLeader();
    const targetId = "b";
    set.push("a", { type: "LeadershipTransferRequested", targetId });
    const refused = set.startProposal("a");
    assert.deepEqual(listFailures(set), [`${refused} Transferring`]);
    set.packets.forEach((packet) => set.deliver(packet));
    runRounds(set, 2);
    assert.deepEqual(set.listLeaders(), ["b"]);
  });

  it("sends an empty replica a snapshot in chunks, then promotes it to voter", () => {
    const set = createSetWithLeader();
    for (let count = 0; count < 30; count++) {
      set.startProposal("a");
      runRounds(set, 1);
    }
    set.replicas.delete("c");
    set.start("n", EMPTY_DISK);
    set.updateReplicas("a", "c", "n");
    set.updateReplicas("a", "c", "n");
    assert.notInclude(set.replicas.get("a")!.state.configuration.voters, "n");
    runRounds(set, 20);
    assert.isDefined(set.replicas.get("n")!.disk.snapshot);
    set.updateReplicas("a", "c", "n");
    runRounds(set, 2);
    set.updateReplicas("a", "c", "n");
    runRounds(set, 2);
    const { machine, state } = set.replicas.get("n")!;
    assert.deepEqual(machine, set.replicas.get("a")!.machine);
    assert.deepEqual(state.configuration, {
      voters: ["a", "b", "n"],
      learners: [],
    });
  });

  it("refuses proposals beyond its limits, and at a replica that is not the leader", () => {
    const set = createSetWithLeader();
    for (let count = 0; count < TEST_OPTIONS.maxPendingProposals; count++) {
      set.startProposal("a");
    }
    const excess = set.startProposal("a");
    const atFollower = set.startProposal("b");
    assert.deepEqual(listFailures(set), [
      `${excess} Overloaded`,
      `${atFollower} NotLeader`,
    ]);
  });

  it("answers reads at a learner once the leader confirmed the index", () => {
    const set = createSetWithLeader(["x"]);
    set.startProposal("a");
    runRounds(set, 2);
    const requestId = set.read("x");
    assert.isEmpty(
      listReportedEffects(set, "x").filter((e) => e.type === "ReadReady"),
    );
    runRounds(set, 2);
    const ready = listReportedEffects(set, "x").filter((e) =>
      e.type === "ReadReady"
    );
    assert.deepEqual(ready, [{ type: "ReadReady", requestId, readIndex: 2 }]);
  });
});
