/** Start of leadership, and appends by the leader. */
import { chainReduction } from "../../../base/common/reduction.ts";
import { advanceCommit } from "./commit.ts";
import type {
  ConsensusState,
  ConsensusStep,
  LeaderRole,
  ReplicaProgress,
  StepContext,
} from "./consensus_types.ts";
import { encodeEmpty } from "./entry_payload.ts";
import { writeLog } from "./persistence.ts";
import { listPeers } from "./quorum.ts";
import { sendHeartbeats, sendNewEntries } from "./replication.ts";
import { locateLogEnd } from "./replicated_log.ts";
import { updateRole } from "./term.ts";

/**
 * Becomes leader after a won election. Appends an empty entry, since entries of
 * earlier terms are committed only together with one of this term.
 */
export function startLeadership(
  context: StepContext,
  state: ConsensusState,
): ConsensusStep {
  const { lastIndex } = locateLogEnd(state.log);
  const progress = new Map(
    listPeers(state).map((id) => [id, createProgress(context, lastIndex + 1)]),
  );
  const role: LeaderRole = {
    type: "Leader",
    progress,
    firstIndex: lastIndex + 1,
    round: 0,
    lastHeartbeatAtMs: context.nowMs,
    startedAtMs: context.nowMs,
    proposals: [],
    reads: [],
    transfer: undefined,
  };
  const started = chainReduction(
    updateRole(state, role),
    (s) => appendEntry(s, encodeEmpty()),
  );
  return chainReduction(started, (s) => sendHeartbeats(context, s));
}

/** Appends an entry in the leader's term and sends it to the peers. */
export function appendAsLeader(
  context: StepContext,
  state: ConsensusState,
  payload: Uint8Array,
): ConsensusStep {
  return chainReduction(
    appendEntry(state, payload),
    (s) =>
      chainReduction(
        sendNewEntries(context, s),
        (sent) => advanceCommit(context, sent),
      ),
  );
}

/** Creates the initial progress of a replica, before its first answer. */
export function createProgress(
  context: StepContext,
  nextIndex: number,
): ReplicaProgress {
  return {
    matchIndex: 0,
    nextIndex,
    isProbing: true,
    lastReceivedAtMs: context.nowMs,
    ackedRound: 0,
    isSilent: false,
    snapshotOffsetBytes: 0,
    snapshotIndex: 0,
  };
}

function appendEntry(
  state: ConsensusState,
  payload: Uint8Array,
): ConsensusStep {
  const index = locateLogEnd(state.log).lastIndex + 1;
  const entry = { index, term: state.term, payload };
  return writeLog(state, { entries: [entry] });
}
