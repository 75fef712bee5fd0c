/** Takes up leadership: opens the term with an empty entry. */
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

/** Becomes leader of the term that it won. */
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
    heartbeatAtMs: context.nowMs,
    sinceMs: context.nowMs,
    proposals: [],
    reads: [],
    transfer: undefined,
  };
  const opened = chainReduction(
    updateRole(state, role),
    (s) => writeEntry(s, encodeEmpty()),
  );
  return chainReduction(opened, (s) => sendHeartbeats(context, s));
}

/** Appends an entry of the leader's term and sends it on. */
export function appendAsLeader(
  context: StepContext,
  state: ConsensusState,
  payload: Uint8Array,
): ConsensusStep {
  return chainReduction(
    writeEntry(state, payload),
    (s) =>
      chainReduction(
        sendNewEntries(context, s),
        (sent) => advanceCommit(context, sent),
      ),
  );
}

/** Creates what a leader knows of a replica before it answered. */
export function createProgress(
  context: StepContext,
  nextIndex: number,
): ReplicaProgress {
  return {
    matchIndex: 0,
    nextIndex,
    isProbing: true,
    heardAtMs: context.nowMs,
    ackedRound: 0,
    isSilent: false,
    snapshotOffsetBytes: 0,
    snapshotIndex: 0,
  };
}

function writeEntry(
  state: ConsensusState,
  payload: Uint8Array,
): ConsensusStep {
  const index = locateLogEnd(state.log).lastIndex + 1;
  const entry = { index, term: state.term, payload };
  return writeLog(state, { entries: [entry] });
}
