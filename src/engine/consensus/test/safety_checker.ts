/** Checks the safety properties of Raft over all replicas of a set. */
import type {
  CommittedCommand,
  ConsensusFailure,
} from "../common/consensus_events.ts";
import type { ConsensusState } from "../common/consensus_types.ts";
import { decodeEntry, isConfigurationEntry } from "../common/entry_payload.ts";
import type { Configuration, LogEntry } from "../common/log_types.ts";
import { lookupTerm } from "../common/replicated_log.ts";

/** Thrown when a safety property is violated. */
export class SafetyViolation extends Error {}

const decoder = new TextDecoder();

/**
 * Records everything committed, answered and read, and throws on a violation.
 */
export class SafetyChecker {
  readonly #leaders = new Map<number, string>();
  readonly #entries = new Map<string, string>();
  readonly #committedTerms = new Map<number, number>();
  readonly #commands = new Map<number, string>();
  readonly #refused = new Set<string>();
  readonly #reads = new Map<string, number>();
  #committedIndex = 0;
  #observedIndex = 0;
  #configuration: Configuration;

  constructor(configuration: Configuration) {
    this.#configuration = configuration;
  }

  /** Checks the state of a replica after an event. */
  checkState(before: ConsensusState, after: ConsensusState): void {
    if (after.role.type === "Leader") {
      this.#checkLeader(before, after);
    }
    if (after.commitIndex > before.commitIndex) {
      this.#checkCommitted(before.commitIndex, after);
    }
  }

  /** Checks entries written to a disk: same index and term, same content. */
  checkEntries(state: ConsensusState, entries: readonly LogEntry[]): void {
    for (const { index, term, payload } of entries) {
      const key = `${index}:${term}`;
      const previousTerm = lookupTerm(state.log, index - 1);
      const text = `${previousTerm}:${decoder.decode(payload)}`;
      const known = this.#entries.get(key);
      if (known !== undefined && known !== text) {
        throw new SafetyViolation(`logs differ at ${key}`);
      }
      this.#entries.set(key, text);
    }
  }

  /** Checks commands applied to a state machine. */
  checkCommands(commands: readonly CommittedCommand[]): void {
    for (const { index, payload } of commands) {
      this.checkCommand(index, decoder.decode(payload));
    }
  }

  /** Checks one command of a state machine. */
  checkCommand(index: number, requestId: string): void {
    const known = this.#commands.get(index);
    if (known !== undefined && known !== requestId) {
      throw new SafetyViolation(`state machines differ at ${index}`);
    }
    if (this.#refused.has(requestId)) {
      throw new SafetyViolation(`refused proposal ${requestId} was committed`);
    }
    this.#commands.set(index, requestId);
  }

  /** Records that a proposal was answered as committed. */
  recordCommitted(requestId: string, index: number): void {
    const known = this.#commands.get(index);
    if (known !== undefined && known !== requestId) {
      throw new SafetyViolation(
        `proposal ${requestId} is not what was committed`,
      );
    }
    this.#observedIndex = Math.max(this.#observedIndex, index);
  }

  /** Records that a proposal was answered as failed. */
  recordFailed(requestId: string, failure: ConsensusFailure): void {
    if (failure.type !== "OutcomeUnknown") {
      this.#refused.add(requestId);
    }
  }

  /** Records the lowest index that a read starting now must observe. */
  recordReadStarted(requestId: string): void {
    this.#reads.set(requestId, this.#observedIndex);
  }

  /** Checks that a read observes everything answered before it started. */
  checkRead(requestId: string, appliedIndex: number): void {
    if (appliedIndex < (this.#reads.get(requestId) ?? 0)) {
      throw new SafetyViolation(`read ${requestId} is stale`);
    }
    this.#observedIndex = Math.max(this.#observedIndex, appliedIndex);
  }

  #checkLeader(before: ConsensusState, after: ConsensusState): void {
    const { term, replicaId } = after;
    const known = this.#leaders.get(term);
    if (known !== undefined && known !== replicaId) {
      throw new SafetyViolation(`two leaders in term ${term}`);
    }
    this.#leaders.set(term, replicaId);
    if (known === undefined) {
      this.#checkComplete(after);
    }
    if (before.configuration !== after.configuration) {
      this.#checkOverlap(after.configuration);
    }
  }

  #checkComplete(leader: ConsensusState): void {
    for (const [index, term] of this.#committedTerms) {
      const isLost = index > leader.log.baseIndex &&
        lookupTerm(leader.log, index) !== term;
      if (isLost) {
        throw new SafetyViolation(
          `leader of ${leader.term} lacks entry ${index}`,
        );
      }
    }
  }

  #checkOverlap(next: Configuration): void {
    const before = this.#configuration.voters;
    const all = new Set([...before, ...next.voters]);
    const combinedQuorums = Math.floor(before.length / 2) + 1 +
      Math.floor(next.voters.length / 2) + 1;
    if (combinedQuorums <= all.size) {
      throw new SafetyViolation(
        `quorums of ${before} and ${next.voters} may not overlap`,
      );
    }
  }

  #checkCommitted(from: number, state: ConsensusState): void {
    for (let index = from + 1; index <= state.commitIndex; index++) {
      const term = lookupTerm(state.log, index);
      const known = this.#committedTerms.get(index);
      if (term !== undefined && known !== undefined && term !== known) {
        throw new SafetyViolation(`committed entry ${index} changed`);
      }
      if (term !== undefined) {
        this.#committedTerms.set(index, term);
      }
      this.#recordConfiguration(state, index);
    }
  }

  #recordConfiguration(state: ConsensusState, index: number): void {
    const entry = state.log.entries[index - state.log.baseIndex - 1];
    if (entry === undefined || index <= this.#committedIndex) {
      return;
    }
    this.#committedIndex = index;
    if (!isConfigurationEntry(entry)) {
      return;
    }
    const content = decodeEntry(entry);
    if (content.type === "Configuration") {
      this.#configuration = content.configuration;
    }
  }
}
