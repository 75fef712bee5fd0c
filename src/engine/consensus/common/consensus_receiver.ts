/** Dispatches received messages by type. */
import {
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import type {
  AppendResponse,
  ConsensusMessage,
  SnapshotChunkResponse,
} from "./consensus_messages.ts";
import type {
  ConsensusState,
  ConsensusStep,
  StepContext,
} from "./consensus_types.ts";
import {
  answerPreVote,
  answerVote,
  receivePreVote,
  receiveVote,
  startElection,
} from "./election.ts";
import { sendElectionOrder } from "./leadership_transfer.ts";
import { acceptAppend } from "./log_acceptance.ts";
import { isVoter } from "./quorum.ts";
import { receiveReadIndex, settleReads, startRead } from "./read_index.ts";
import { recordContact } from "./replica_contact.ts";
import { receiveAppendResponse } from "./replication.ts";
import { acceptChunk, receiveChunkResponse } from "./snapshot_transfer.ts";
import { startFollowing } from "./term.ts";

/** A message and its sender. */
export interface ReceivedMessage {
  readonly from: string;
  readonly message: ConsensusMessage;
}

/** Handles a message from another replica, or this replica's own vote. */
export function receiveMessage(
  context: StepContext,
  state: ConsensusState,
  received: ReceivedMessage,
): ConsensusStep {
  const { from, message } = received;
  switch (message.type) {
    case "PreVoteRequest":
      return answerPreVote(context, state, { from, message });
    case "PreVoteResponse":
      return receivePreVote(context, state, { from, message });
    case "VoteRequest":
      return answerVote(context, state, { from, message });
    case "VoteResponse":
      return receiveVote(context, state, { from, message });
    case "AppendRequest":
      return acceptAppend(context, state, { from, message });
    case "SnapshotChunk":
      return acceptChunk(context, state, { from, message });
    case "AppendResponse":
    case "SnapshotChunkResponse":
      return receiveProgress(context, state, { from, message });
    case "ElectionOrder":
      return message.term === state.term && isVoter(state) &&
          state.role.type !== "Leader"
        ? startElection(context, state, true)
        : createReduction(state);
    case "ReadIndexRequest": {
      const { requestId } = message;
      return startRead(context, state, { requestId, from });
    }
    case "ReadIndexResponse":
      return receiveReadIndex(state, message);
  }
}

function receiveProgress(
  context: StepContext,
  state: ConsensusState,
  received: {
    readonly from: string;
    readonly message: AppendResponse | SnapshotChunkResponse;
  },
): ConsensusStep {
  const { from, message } = received;
  const { term, round } = message;
  if (term > state.term) {
    return startFollowing(context, state, { term, leaderId: undefined });
  }
  if (term < state.term || state.role.type !== "Leader") {
    return createReduction(state);
  }
  const recorded = recordContact(context, state, { from, round });
  const matched = chainReduction(
    recorded,
    (s) =>
      message.type === "AppendResponse"
        ? receiveAppendResponse(context, s, { from, message })
        : receiveChunkResponse(s, from, message),
  );
  return chainReduction(
    chainReduction(matched, (s) => settleReads(context, s)),
    sendElectionOrder,
  );
}
