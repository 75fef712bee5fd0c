/** The scenario of figure 8 of the Raft paper, step by step. */
import type { ConsensusReducer } from "../common/consensus_reducer.ts";
import { locateLogEnd } from "../common/replicated_log.ts";
import { ReplicaSet } from "./replica_set.ts";

const MAX_EXCHANGES = 12;

/**
 * Runs the scenario; throws if an entry of an older term is committed by
 * counting copies and then lost.
 */
export function runFigureEight(reduce: ConsensusReducer): void {
  const configuration = { voters: ["a", "b", "c", "d", "e"], learners: [] };
  const set = new ReplicaSet({ reduce, configuration, maxBatchEntries: 1 });
  runElection(set, "a", ["a", "b", "c", "d", "e"]);
  exchangeUntil(
    set,
    ["a", "b", "c", "d", "e"],
    () => [...set.replicas.values()].every((r) => r.state.commitIndex === 1),
  );
  // Entry 2 of the first term reaches only b.
  set.startProposal("a");
  set.exchange(["a", "b"]);
  // Another leader appends its own entry 2, and is isolated before sending it.
  runElection(set, "e", ["c", "d", "e"]);
  set.packets = [];
  set.sync("e");
  // The first leader returns and replicates its old entry 2 to a majority.
  runElection(set, "a", ["a", "c", "d"]);
  exchangeUntil(
    set,
    ["a", "c", "d"],
    () => hasEntry(set, "c", 2) && hasEntry(set, "d", 2),
  );
  set.packets = set.packets.filter(({ to }) => to === "a");
  set.exchange(["a", "c", "d"]);
  // The other leader returns: its log is newer than that of c and d.
  runElection(set, "e", ["c", "d", "e"]);
  exchangeUntil(set, ["c", "d", "e"], () => hasCommitted(set, "e", 2));
}

function runElection(
  set: ReplicaSet,
  id: string,
  ids: readonly string[],
): void {
  set.packets = [];
  const before = set.replicas.get(id)!.state.term;
  for (let attempt = 0; attempt < 2 * MAX_EXCHANGES; attempt++) {
    const { role, term } = set.replicas.get(id)!.state;
    if (role.type === "Leader" && term > before) {
      return;
    }
    if (attempt % 6 === 0) {
      set.startCampaign(id);
    }
    set.exchange(ids);
  }
  throw new Error(`${id} was not elected`);
}

function exchangeUntil(
  set: ReplicaSet,
  ids: readonly string[],
  isDone: () => boolean,
): void {
  for (let round = 0; round < MAX_EXCHANGES; round++) {
    if (isDone()) {
      return;
    }
    if (set.packets.length === 0) {
      set.nowMs += 10;
      ids.forEach((id) => set.push(id, { type: "Ticked" }));
    }
    set.exchange(ids);
  }
  throw new Error("The scenario did not reach the expected state");
}

function hasEntry(set: ReplicaSet, id: string, index: number): boolean {
  return locateLogEnd(set.replicas.get(id)!.state.log).lastIndex >= index;
}

function hasCommitted(set: ReplicaSet, id: string, index: number): boolean {
  return set.replicas.get(id)!.state.commitIndex >= index;
}
