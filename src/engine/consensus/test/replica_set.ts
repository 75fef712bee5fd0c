/** A simulated replica set: reducers with fake network, disks and clocks. */
import type {
  ConsensusEffect,
  ConsensusEvent,
} from "../common/consensus_events.ts";
import type { ConsensusMessage } from "../common/consensus_messages.ts";
import type { ConsensusReducer } from "../common/consensus_reducer.ts";
import type {
  ConsensusOptions,
  ConsensusState,
  ConsensusStep,
} from "../common/consensus_types.ts";
import type { Configuration, Recovered } from "../common/log_types.ts";
import {
  createBootstrapSnapshot,
  EMPTY_DISK,
  restoreConsensus,
} from "../common/recovery.ts";
import { applyWrite } from "./fake_disk.ts";
import type { DiskWrite } from "./fake_disk.ts";
import { SafetyChecker, SafetyViolation } from "./safety_checker.ts";

/** Small limits, so that a short schedule reaches each of them. */
export const TEST_OPTIONS: ConsensusOptions = {
  heartbeatMs: 10,
  readGatherMs: 5,
  electionTimeoutMs: 50,
  firstElectionTimeoutMs: 5,
  silentAfterMs: 100,
  readTimeoutMs: 200,
  maxBatchEntries: 3,
  maxBatchBytes: 64,
  maxPendingProposals: 8,
  maxPendingReads: 8,
  maxPayloadBytes: 64,
  snapshotChunkBytes: 24,
  snapshotEveryEntries: 8,
  snapshotEveryBytes: 160,
  trailingEntries: 3,
  trailingBytes: 96,
  maxInFlightEntries: 6,
};

/** A message in transit. */
export interface Packet {
  readonly from: string;
  readonly to: string;
  readonly message: ConsensusMessage;
}

/** One replica with its disk, clock and state machine. */
export interface FakeReplica {
  state: ConsensusState;
  disk: Recovered;
  writes: DiskWrite[];
  /** Index and request id of each command. */
  machine: (readonly [number, string])[];
  appliedIndex: number;
  clockOffsetMs: number;
  isPaused: boolean;
}

/** Options of a simulated replica set. */
export interface ReplicaSetOptions {
  readonly reduce: ConsensusReducer;
  readonly configuration: Configuration;
  readonly maxBatchEntries: number;
  /** `electionTimeoutMs` of the test options by default. */
  readonly firstElectionTimeoutMs?: number;
  /** 0 by default: each read may start a heartbeat round. */
  readonly readGatherMs?: number;
}

const encoder = new TextEncoder();
const decoder = new TextDecoder();
const MAX_PACKETS = 300;

/** Runs replicas and their network; checks safety after every event. */
export class ReplicaSet {
  readonly #reduce: ConsensusReducer;
  readonly #options: ConsensusOptions;
  readonly checker: SafetyChecker;
  readonly replicas = new Map<string, FakeReplica>();
  /** Effects that the replicas reported to their owners, oldest first. */
  readonly reportedEffects: {
    readonly id: string;
    readonly effect: ConsensusEffect;
  }[] = [];
  /** Blocked directions of the network, as `from>to`. */
  readonly blockedLinks = new Set<string>();
  packets: Packet[] = [];
  nowMs = 1_000;
  #requestCount = 0;

  constructor(options: ReplicaSetOptions) {
    this.#reduce = options.reduce;
    const {
      maxBatchEntries,
      firstElectionTimeoutMs = TEST_OPTIONS.electionTimeoutMs,
      readGatherMs = 0,
    } = options;
    this.#options = {
      ...TEST_OPTIONS,
      maxBatchEntries,
      firstElectionTimeoutMs,
      readGatherMs,
    };
    this.checker = new SafetyChecker(options.configuration);
    const snapshot = createBootstrapSnapshot(
      options.configuration,
      encoder.encode("[]"),
    );
    const { voters, learners } = options.configuration;
    for (const id of [...voters, ...learners]) {
      this.start(id, { ...EMPTY_DISK, snapshot });
    }
  }

  /** Starts a replica from a disk. */
  start(id: string, disk: Recovered, clockOffsetMs = 0): void {
    const nowMs = this.nowMs + clockOffsetMs;
    const step = restoreConsensus({
      replicaId: id,
      options: this.#options,
      recovered: disk,
      nowMs,
    });
    this.replicas.set(id, {
      state: step.state,
      disk,
      writes: [],
      machine: [],
      appliedIndex: 0,
      clockOffsetMs,
      isPaused: false,
    });
    this.#perform(id, step.effects);
  }

  /**
   * Restarts a replica; its first `keptWrites` unsynced writes are on the disk.
   */
  restart(id: string, keptWrites: number): void {
    const replica = this.replicas.get(id)!;
    const disk = replica.writes.slice(0, keptWrites).reduce(
      applyWrite,
      replica.disk,
    );
    this.start(id, disk, replica.clockOffsetMs);
  }

  /** Steps one replica. */
  push(id: string, event: ConsensusEvent): void {
    const replica = this.replicas.get(id);
    if (replica === undefined || replica.isPaused) {
      return;
    }
    const before = replica.state;
    const nowMs = this.nowMs + replica.clockOffsetMs;
    const step = this.#step(before, event, nowMs);
    replica.state = step.state;
    this.checker.checkState(before, step.state);
    this.#perform(id, step.effects);
  }

  /** Syncs the writes of a replica. */
  sync(id: string): void {
    const replica = this.replicas.get(id);
    const last = replica?.writes.at(-1);
    if (replica === undefined || replica.isPaused || last === undefined) {
      return;
    }
    replica.disk = replica.writes.reduce(applyWrite, replica.disk);
    replica.writes = [];
    this.push(id, { type: "PersistCompleted", persistId: last.persistId });
  }

  /** Delivers a packet unless its link is blocked. */
  deliver({ from, to, message }: Packet): void {
    if (!this.blockedLinks.has(`${from}>${to}`)) {
      this.push(to, { type: "MessageReceived", from, message });
    }
  }

  /** Delivers the packets between `ids` and drops all others. */
  exchange(ids: readonly string[]): void {
    ids.forEach((id) => this.sync(id));
    const { packets } = this;
    this.packets = [];
    packets.filter(({ from, to }) => ids.includes(from) && ids.includes(to))
      .forEach((packet) => this.deliver(packet));
    ids.forEach((id) => this.sync(id));
  }

  /**
   * Advances time until no leader counts as active; starts an election at `id`.
   */
  startCampaign(id: string): void {
    this.nowMs += this.#options.electionTimeoutMs;
    const replica = this.replicas.get(id)!;
    replica.clockOffsetMs += 2 * this.#options.electionTimeoutMs;
    this.push(id, { type: "Ticked" });
  }

  /** Proposes a command whose payload is its request id. */
  startProposal(id: string): string {
    const requestId = this.#createRequestId("p");
    const payload = encoder.encode(requestId);
    this.push(id, { type: "PayloadProposed", requestId, payload });
    return requestId;
  }

  /** Starts a read. */
  read(id: string): string {
    const requestId = this.#createRequestId("r");
    this.checker.recordReadStarted(requestId);
    this.push(id, { type: "ReadRequested", requestId });
    return requestId;
  }

  /**
   * Proposes the next step of replacing `oldId` by `newId` to the leader `id`.
   */
  updateReplicas(id: string, oldId: string, newId: string): void {
    const before = this.replicas.get(id)!.state;
    const { voters, learners } = before.configuration;
    const type = learners.includes(newId)
      ? "PromoteLearner"
      : !voters.includes(newId)
      ? "AddLearner"
      : "RemoveReplica";
    const replicaId = type === "RemoveReplica" ? oldId : newId;
    this.push(id, {
      type: "ConfigurationChangeProposed",
      requestId: this.#createRequestId("c"),
      change: { type, replicaId },
    });
    const after = this.replicas.get(id)!.state;
    if (
      type === "PromoteLearner" && after.configuration.voters.includes(newId)
    ) {
      this.#checkCaughtUp(newId, before.commitIndex);
    }
  }

  /** Lists the replicas in the leader role, deposed ones included. */
  listLeaders(): readonly string[] {
    return [...this.replicas.keys()]
      .filter((id) => this.replicas.get(id)!.state.role.type === "Leader");
  }

  #step(
    state: ConsensusState,
    event: ConsensusEvent,
    nowMs: number,
  ): ConsensusStep {
    try {
      return this.#reduce(state, event, nowMs);
    } catch (error) {
      throw new SafetyViolation(`replica ${state.replicaId} stopped: ${error}`);
    }
  }

  #checkCaughtUp(id: string, commitIndex: number): void {
    const { disk } = this.replicas.get(id)!;
    const last = disk.entries.at(-1)?.index ?? disk.snapshot?.lastIndex ?? 0;
    if (last < commitIndex) {
      throw new SafetyViolation(
        `${id} counts before it has entry ${commitIndex}`,
      );
    }
  }

  #createRequestId(kind: string): string {
    this.#requestCount++;
    return `${kind}${this.#requestCount}`;
  }

  #perform(id: string, effects: readonly ConsensusEffect[]): void {
    const replica = this.replicas.get(id)!;
    for (const effect of effects) {
      this.#performOne(id, replica, effect);
    }
  }

  #performOne(
    id: string,
    replica: FakeReplica,
    effect: ConsensusEffect,
  ): void {
    const { checker } = this;
    switch (effect.type) {
      case "SendMessage":
        this.packets.push({ from: id, ...effect });
        if (this.packets.length > MAX_PACKETS) {
          this.packets.shift();
        }
        return;
      case "PersistLog":
        checker.checkEntries(replica.state, effect.entries);
        replica.writes.push(effect);
        return;
      case "PersistSnapshot":
        replica.writes.push(effect);
        return;
      case "ApplyEntries":
        checker.checkCommands(effect.commands);
        replica.appliedIndex = effect.lastIndex;
        effect.commands.forEach(({ index, payload }) =>
          replica.machine.push([index, decoder.decode(payload)])
        );
        return;
      case "InstallSnapshot":
        replica.machine = JSON.parse(decoder.decode(effect.snapshot.payload));
        replica.appliedIndex = effect.snapshot.lastIndex;
        replica.machine.forEach(([index, requestId]) =>
          checker.checkCommand(index, requestId)
        );
        return;
      case "TakeSnapshot":
        return this.push(id, {
          type: "SnapshotTaken",
          lastIndex: effect.lastIndex,
          payload: encoder.encode(JSON.stringify(replica.machine)),
        });
      case "ReadReady":
        checker.checkRead(effect.requestId, replica.appliedIndex);
        break;
      case "ProposalCommitted":
        checker.recordCommitted(effect.requestId, effect.index);
        break;
      case "ProposalFailed":
        checker.recordFailed(effect.requestId, effect.failure);
        break;
      default:
    }
    this.reportedEffects.push({ id, effect });
  }
}
