/** The follower's side of log replication (Raft, 5.3). */
import {
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import { commitUpTo } from "./commit.ts";
import type { AppendRequest, AppendResponse } from "./consensus_messages.ts";
import type {
  ConsensusState,
  ConsensusStep,
  StepContext,
} from "./consensus_types.ts";
import { updateConfiguration } from "./configuration.ts";
import { sendOnceSynced, writeLog } from "./persistence.ts";
import { findFirstOfTerm, locateLogEnd, lookupTerm } from "./replicated_log.ts";
import { startFollowing } from "./term.ts";

/** An append request and its sender. */
export interface ReceivedAppend {
  readonly from: string;
  readonly message: AppendRequest;
}

/** Accepts entries from the leader, or reports where the logs diverge. */
export function acceptAppend(
  context: StepContext,
  state: ConsensusState,
  append: ReceivedAppend,
): ConsensusStep {
  const { message } = append;
  if (message.term < state.term) {
    return refuseAppend(context, state, append);
  }
  return chainReduction(
    acceptLeader(context, state, append),
    (s) =>
      hasPredecessor(context, s, message)
        ? acceptEntries(context, s, append)
        : refuseAppend(context, s, append),
  );
}

/**
 * Follows the sender of an append or a snapshot chunk, whose term must not be
 * older than this replica's, and restarts the election timeout.
 */
export function acceptLeader(
  context: StepContext,
  state: ConsensusState,
  sender: {
    readonly from: string;
    readonly message: { readonly term: number };
  },
): ConsensusStep {
  const { from: leaderId, message } = sender;
  const { role, term } = state;
  const isFollowing = term === message.term && role.type === "Follower" &&
    role.leaderId === leaderId;
  const step: ConsensusStep = isFollowing
    ? createReduction(state)
    : startFollowing(context, state, { term: message.term, leaderId });
  return chainReduction(
    step,
    (s) =>
      createReduction({
        ...s,
        electionDeadlineMs: context.nowMs + s.drawnElectionTimeoutMs,
        lastLeaderMessageAtMs: context.nowMs,
      }),
  );
}

function hasPredecessor(
  context: StepContext,
  state: ConsensusState,
  message: AppendRequest,
): boolean {
  const { previousIndex, previousTerm } = message;
  // Entries up to the base index are committed, so they cannot differ.
  return previousIndex < state.log.baseIndex ||
    context.rules.isPredecessorEqual(
      lookupTerm(state.log, previousIndex),
      previousTerm,
    );
}

function acceptEntries(
  context: StepContext,
  state: ConsensusState,
  append: ReceivedAppend,
): ConsensusStep {
  const { from, message } = append;
  const matchIndex = message.previousIndex + message.entries.length;
  return chainReduction(
    chainReduction(
      writeNewEntries(state, message),
      (s) => commitUpTo(context, s, Math.min(message.commitIndex, matchIndex)),
    ),
    (s) =>
      sendOnceSynced(context, s, {
        to: from,
        message: {
          type: "AppendResponse",
          term: s.term,
          round: message.round,
          isAccepted: true,
          matchIndex,
          conflictIndex: 0,
          conflictTerm: undefined,
        },
      }),
  );
}

function writeNewEntries(
  state: ConsensusState,
  message: AppendRequest,
): ConsensusStep {
  const firstNew = message.entries.findIndex((entry) =>
    entry.index > state.log.baseIndex &&
    lookupTerm(state.log, entry.index) !== entry.term
  );
  if (firstNew < 0) {
    return createReduction(state);
  }
  const entries = message.entries.slice(firstNew);
  const from = entries[0]!.index;
  if (from <= state.commitIndex) {
    throw new Error(`Append request would overwrite committed entry ${from}`);
  }
  const { lastIndex } = locateLogEnd(state.log);
  const change = from > lastIndex ? { entries } : {
    truncateFrom: from,
    entries,
  };
  return chainReduction(
    writeLog(state, change),
    (s) => createReduction(updateConfiguration(s, from)),
  );
}

function refuseAppend(
  context: StepContext,
  state: ConsensusState,
  append: ReceivedAppend,
): ConsensusStep {
  const { from, message } = append;
  const { lastIndex } = locateLogEnd(state.log);
  const { previousIndex, round } = message;
  const conflictTerm = lookupTerm(state.log, previousIndex);
  const conflictIndex = conflictTerm === undefined
    ? lastIndex + 1
    : findFirstOfTerm(state.log, previousIndex);
  const answer: AppendResponse = {
    type: "AppendResponse",
    term: state.term,
    round,
    isAccepted: false,
    matchIndex: 0,
    conflictIndex,
    conflictTerm,
  };
  return sendOnceSynced(context, state, { to: from, message: answer });
}
