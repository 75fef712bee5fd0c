/** The safety rules of Raft, each a function, so that tests can swap one. */
import type { Configuration, HardState } from "./log_types.ts";

/** The position of a log's last entry. */
export interface LogEnd {
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** What a quorum is counted from. */
export interface QuorumCount {
  readonly votersFor: number;
  readonly voters: number;
}

/** The rules that safety rests on. */
export interface ConsensusRules {
  /** One vote per term. */
  canVote(votedFor: string | undefined, candidateId: string): boolean;
  /** A vote only for a log at least as complete (Raft, 5.4.1). */
  isUpToDate(candidate: LogEnd, own: LogEnd): boolean;
  /** Counting replicas commits only entries of the own term (5.4.2). */
  canCommitByCount(entryTerm: number, term: number): boolean;
  /** Answers wait for the disk. */
  isPersistAwaited(): boolean;
  /** Entries are taken only after an equal predecessor (5.3). */
  isPredecessorEqual(ownTerm: number | undefined, term: number): boolean;
  /** A read is answered only once a quorum confirmed the leader. */
  isReadConfirmed(count: QuorumCount): boolean;
  /** One configuration change at a time (thesis, 4.1). */
  canChangeConfiguration(isEarlierCommitted: boolean): boolean;
  /** Only voters count. */
  isCounted(configuration: Configuration, replicaId: string): boolean;
  /** Term and vote are synced. */
  selectHardState(hardState: HardState): HardState | undefined;
  /** A learner has what is committed before it counts. */
  isCaughtUp(matchIndex: number, commitIndex: number): boolean;
  /** Reads wait until an entry of the own term is committed (thesis, 6.4). */
  canReadAt(commitIndex: number, firstIndex: number): boolean;
}

/** Tells whether the count is a majority of the voters. */
export function isQuorum(count: QuorumCount): boolean {
  return count.votersFor * 2 > count.voters;
}

/** The rules as published. */
export const RAFT_RULES: ConsensusRules = {
  canVote: (votedFor, candidateId) =>
    votedFor === undefined || votedFor === candidateId,
  isUpToDate: (candidate, own) =>
    candidate.lastTerm > own.lastTerm ||
    (candidate.lastTerm === own.lastTerm &&
      candidate.lastIndex >= own.lastIndex),
  canCommitByCount: (entryTerm, term) => entryTerm === term,
  isPersistAwaited: () => true,
  isPredecessorEqual: (ownTerm, term) => ownTerm === term,
  isReadConfirmed: isQuorum,
  canChangeConfiguration: (isEarlierCommitted) => isEarlierCommitted,
  isCounted: (configuration, replicaId) =>
    configuration.voters.includes(replicaId),
  selectHardState: (hardState) => hardState,
  isCaughtUp: (matchIndex, commitIndex) => matchIndex >= commitIndex,
  canReadAt: (commitIndex, firstIndex) => commitIndex >= firstIndex,
};
