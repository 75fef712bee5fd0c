/** The safety rules of Raft, each a function, so that tests can replace one. */
import type { Configuration, HardState } from "./log_types.ts";

/** The position of a log's last entry. */
export interface LogEnd {
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** The voters in favour, out of all voters. */
export interface QuorumCount {
  readonly votersFor: number;
  readonly voters: number;
}

/** The rules that safety depends on. */
export interface ConsensusRules {
  /** Whether a vote may be granted: at most one candidate per term. */
  canVote(votedFor: string | undefined, candidateId: string): boolean;
  /** Whether the candidate's log is at least as complete (Raft, 5.4.1). */
  isUpToDate(candidate: LogEnd, own: LogEnd): boolean;
  /**
   * Whether a quorum of copies commits an entry: only one of this term (5.4.2).
   */
  canCommitByCount(entryTerm: number, term: number): boolean;
  /** Whether answers wait until earlier writes are synced. */
  isPersistAwaited(): boolean;
  /** Whether the entry before the appended ones matches in term (5.3). */
  isPredecessorEqual(ownTerm: number | undefined, term: number): boolean;
  /**
   * Whether a quorum has confirmed the leader, so that a read may be answered.
   */
  isReadConfirmed(count: QuorumCount): boolean;
  /** Whether a change may start: one at a time (Ongaro 2014, 4.1). */
  canChangeConfiguration(isEarlierCommitted: boolean): boolean;
  /** Whether a replica counts toward a quorum: only voters do. */
  isCounted(configuration: Configuration, replicaId: string): boolean;
  /** Selects the term and vote to write to disk; undefined writes nothing. */
  selectHardState(hardState: HardState): HardState | undefined;
  /**
   * Whether a learner has all committed entries, so that it may become a voter.
   */
  isCaughtUp(matchIndex: number, commitIndex: number): boolean;
  /** Whether reads may start: once an entry of this term is committed (6.4). */
  canReadAt(commitIndex: number, firstIndex: number): boolean;
}

/** Returns whether the count is a majority of the voters. */
export function isQuorum(count: QuorumCount): boolean {
  return count.votersFor * 2 > count.voters;
}

/** The rules as published (Ongaro 2014). */
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
