/** The one reducer of a replica: Raft (Ongaro & Ousterhout, 2014). */
import type { Reduction } from "../../../base/common/reduction.ts";
import { createReduction } from "../../../base/common/reduction.ts";
import type { ConsensusEffect, ConsensusEvent } from "./consensus_events.ts";
import type { ConsensusState } from "./consensus_types.ts";

/** Steps a replica; `nowMs` should be monotonic, in milliseconds. */
export function reduceConsensus(
  state: ConsensusState,
  _event: ConsensusEvent,
  _nowMs: number,
): Reduction<ConsensusState, ConsensusEffect> {
  return createReduction(state);
}
