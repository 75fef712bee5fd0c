/** The reducer of a replica: Raft (Ongaro & Ousterhout, 2014). */
import {
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import { advanceCommit } from "./commit.ts";
import { acceptSnapshot } from "./compaction.ts";
import { startChange } from "./configuration_change.ts";
import type { ConsensusEvent } from "./consensus_events.ts";
import { receiveMessage } from "./consensus_receiver.ts";
import { RAFT_RULES } from "./consensus_rules.ts";
import type { ConsensusRules } from "./consensus_rules.ts";
import type {
  ConsensusState,
  ConsensusStep,
  StepContext,
} from "./consensus_types.ts";
import { checkElectionTimeout } from "./election.ts";
import { expireTransfer, startTransfer } from "./leadership_transfer.ts";
import { completePersist, sendNow } from "./persistence.ts";
import { startProposal } from "./proposal.ts";
import {
  expireReads,
  hasWaitingReads,
  isReadRoundDue,
  startRead,
} from "./read_index.ts";
import { checkQuorumContact, reportSilence } from "./replica_contact.ts";
import { sendHeartbeats } from "./replication.ts";

/**
 * Steps a replica; `nowMs` is read from a clock that may jump back or forth.
 */
export type ConsensusReducer = (
  state: ConsensusState,
  event: ConsensusEvent,
  nowMs: number,
) => ConsensusStep;

/** Builds a reducer that follows `rules`. */
export function buildConsensusReducer(rules: ConsensusRules): ConsensusReducer {
  return (state, event, nowMs) => {
    const timed = advanceClock(state, nowMs);
    const context = { nowMs: timed.clock.elapsedMs, rules };
    return chainReduction(
      reduceEvent(context, timed, event),
      (s) => startReadRound(context, s),
    );
  };
}

/** Steps a replica by the published rules of Raft. */
export const reduceConsensus: ConsensusReducer = buildConsensusReducer(
  RAFT_RULES,
);

function advanceClock(state: ConsensusState, nowMs: number): ConsensusState {
  const { clock } = state;
  if (nowMs === clock.nowMs) {
    return state;
  }
  const stepMs = Math.max(0, nowMs - clock.nowMs);
  const elapsedMs = clock.elapsedMs + stepMs;
  return { ...state, clock: { nowMs, elapsedMs } };
}

function reduceEvent(
  context: StepContext,
  state: ConsensusState,
  event: ConsensusEvent,
): ConsensusStep {
  switch (event.type) {
    case "MessageReceived":
      return receiveMessage(context, state, event);
    case "Ticked":
      return reduceTick(context, state);
    case "PayloadProposed":
      return startProposal(context, state, event);
    case "PersistCompleted":
      return releaseDeferredMessages(context, state, event.persistId);
    case "SnapshotTaken":
      return acceptSnapshot(state, event);
    case "ReadRequested":
      return startRead(context, state, { ...event, from: undefined });
    case "ConfigurationChangeProposed":
      return startChange(context, state, event);
    case "LeadershipTransferRequested":
      return startTransfer(context, state, event.targetId);
  }
}

function reduceTick(
  context: StepContext,
  state: ConsensusState,
): ConsensusStep {
  const step = expireReads(context, state);
  if (state.role.type !== "Leader") {
    return chainReduction(step, (s) => checkElectionTimeout(context, s));
  }
  const checks = [
    checkQuorumContact,
    reportSilence,
    expireTransfer,
    sendDueHeartbeats,
  ];
  return checks.reduce(
    (done, check) => chainReduction(done, (s) => check(context, s)),
    step,
  );
}

function sendDueHeartbeats(
  context: StepContext,
  state: ConsensusState,
): ConsensusStep {
  const { role, options } = state;
  const isDue = role.type === "Leader" &&
    context.nowMs - role.lastHeartbeatAtMs >= options.heartbeatMs;
  return isDue
    ? sendHeartbeats(context, state)
    : startReadRound(context, state);
}

function startReadRound(
  context: StepContext,
  state: ConsensusState,
): ConsensusStep {
  return hasWaitingReads(state) && isReadRoundDue(context, state)
    ? sendHeartbeats(context, state)
    : createReduction(state);
}

function releaseDeferredMessages(
  context: StepContext,
  state: ConsensusState,
  persistId: number,
): ConsensusStep {
  const { state: next, due } = completePersist(state, persistId);
  const step = due.reduce(
    (sent, { to, message }) =>
      chainReduction(
        sent,
        (s) =>
          to === s.replicaId
            ? receiveMessage(context, s, { from: to, message })
            : sendNow(s, to, message),
      ),
    createReduction(next) as ConsensusStep,
  );
  return chainReduction(step, (s) => advanceCommit(context, s));
}
