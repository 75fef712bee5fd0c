/** Watches a replica set and throws where a promise of Raft is broken. */
import type {
  CommittedCommand,
  ConsensusFailure,
} from "../common/consensus_events.ts";
import type { ConsensusState } from "../common/consensus_types.ts";
import { decodeEntry, isConfigurationEntry } from "../common/entry_payload.ts";
import type { Configuration, LogEntry } from "../common/log_types.ts";
import { lookupTerm } from "../common/replicated_log.ts";

/** A promise that was broken. */
export class Violation extends Error {}

const decoder = new TextDecoder();

/** Knows all that was ever committed, answered and read. */
export class SafetyChecker {
  readonly #leaders = new Map<number, string>();
  readonly #entries = new Map<string, string>();
  readonly #committedTerms = new Map<number, number>();
  readonly #commands = new Map<number, string>();
  readonly #refused = new Set<string>();
  readonly #reads = new Map<string, number>();
  #committedIndex = 0;
  #seenIndex = 0;
  #configuration: Configuration;

  constructor(configuration: Configuration) {
    this.#configuration = configuration;
  }

  /** Checks the state after any event. */
  checkState(before: ConsensusState, after: ConsensusState): void {
    if (after.role.type === "Leader") {
      this.#checkLeader(before, after);
    }
    if (after.commitIndex > before.commitIndex) {
      this.#checkCommitted(before.commitIndex, after);
    }
  }

  /** Checks entries that were handed to the disk: logs match. */
  checkEntries(state: ConsensusState, entries: readonly LogEntry[]): void {
    for (const { index, term, payload } of entries) {
      const key = `${index}:${term}`;
      const previousTerm = lookupTerm(state.log, index - 1);
      const text = `${previousTerm}:${decoder.decode(payload)}`;
      const known = this.#entries.get(key);
      if (known !== undefined && known !== text) {
        throw new Violation(`logs differ at ${key}`);
      }
      this.#entries.set(key, text);
    }
  }

  /** Checks commands handed to a state machine. */
  checkCommands(commands: readonly CommittedCommand[]): void {
    for (const { index, payload } of commands) {
      this.checkCommand(index, decoder.decode(payload));
    }
  }

  /** Checks one command of a state machine. */
  checkCommand(index: number, requestId: string): void {
    const known = this.#commands.get(index);
    if (known !== undefined && known !== requestId) {
      throw new Violation(`state machines differ at ${index}`);
    }
    if (this.#refused.has(requestId)) {
      throw new Violation(`refused proposal ${requestId} was committed`);
    }
    this.#commands.set(index, requestId);
  }

  /** Notes that a proposal was answered as committed. */
  noteCommitted(requestId: string, index: number): void {
    const known = this.#commands.get(index);
    if (known !== undefined && known !== requestId) {
      throw new Violation(`proposal ${requestId} is not what was committed`);
    }
    this.#seenIndex = Math.max(this.#seenIndex, index);
  }

  /** Notes that a proposal was answered as failed. */
  noteFailed(requestId: string, failure: ConsensusFailure): void {
    if (failure.type !== "OutcomeUnknown") {
      this.#refused.add(requestId);
    }
  }

  /** Notes what a read that starts now must at least see. */
  noteReadStarted(requestId: string): void {
    this.#reads.set(requestId, this.#seenIndex);
  }

  /** Checks that a read sees all that was answered before it started. */
  checkRead(requestId: string, appliedIndex: number): void {
    if (appliedIndex < (this.#reads.get(requestId) ?? 0)) {
      throw new Violation(`read ${requestId} is stale`);
    }
    this.#seenIndex = Math.max(this.#seenIndex, appliedIndex);
  }

  #checkLeader(before: ConsensusState, after: ConsensusState): void {
    const { term, replicaId } = after;
    const known = this.#leaders.get(term);
    if (known !== undefined && known !== replicaId) {
      throw new Violation(`two leaders in term ${term}`);
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
        throw new Violation(`leader of ${leader.term} lacks entry ${index}`);
      }
    }
  }

  #checkOverlap(next: Configuration): void {
    const before = this.#configuration.voters;
    const all = new Set([...before, ...next.voters]);
    const least = Math.floor(before.length / 2) + 1 +
      Math.floor(next.voters.length / 2) + 1;
    if (least <= all.size) {
      throw new Violation(`quorums of ${before} and ${next.voters} part`);
    }
  }

  #checkCommitted(from: number, state: ConsensusState): void {
    for (let index = from + 1; index <= state.commitIndex; index++) {
      const term = lookupTerm(state.log, index);
      const known = this.#committedTerms.get(index);
      if (term !== undefined && known !== undefined && term !== known) {
        throw new Violation(`committed entry ${index} changed`);
      }
      if (term !== undefined) {
        this.#committedTerms.set(index, term);
      }
      this.#noteConfiguration(state, index);
    }
  }

  #noteConfiguration(state: ConsensusState, index: number): void {
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
