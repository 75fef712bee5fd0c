/** Tests of when the log is replaced by a snapshot. */
import { assert } from "chai";
import type {
  ConsensusEffect,
  ConsensusEvent,
} from "../common/consensus_events.ts";
import { DEFAULT_CONSENSUS_OPTIONS } from "../common/consensus_options.ts";
import { reduceConsensus } from "../common/consensus_reducer.ts";
import type { ConsensusState } from "../common/consensus_types.ts";
import {
  createBootstrapSnapshot,
  EMPTY_DISK,
  restoreConsensus,
} from "../common/recovery.ts";

const COMMAND_BYTES = 1_000_000;
const COMMAND_COUNT = 60;
const SNAPSHOT = new Uint8Array(1);

/** Drives a replica that is the only voter, with a disk that never waits. */
class LoneReplica {
  nowMs = 1_000;
  snapshotCount = 0;
  #state: ConsensusState;

  constructor() {
    const configuration = { voters: ["a"], learners: [] };
    const snapshot = createBootstrapSnapshot(configuration, SNAPSHOT);
    this.#state = restoreConsensus({
      replicaId: "a",
      options: DEFAULT_CONSENSUS_OPTIONS,
      recovered: { ...EMPTY_DISK, snapshot },
      nowMs: this.nowMs,
    }).state;
  }

  get state(): ConsensusState {
    return this.#state;
  }

  /** Payload of the log in memory. */
  get logBytes(): number {
    return this.#state.log.entries
      .reduce((sum, { payload }) => sum + payload.length, 0);
  }

  push(event: ConsensusEvent): void {
    const step = reduceConsensus(this.#state, event, this.nowMs);
    this.#state = step.state;
    step.effects.forEach((effect) => this.#perform(effect));
  }

  #perform(effect: ConsensusEffect): void {
    switch (effect.type) {
      case "PersistLog":
      case "PersistSnapshot":
        this.push({ type: "PersistCompleted", persistId: effect.persistId });
        return;
      case "SendMessage":
        this.push({
          type: "MessageReceived",
          from: "a",
          message: effect.message,
        });
        return;
      case "TakeSnapshot": {
        const { lastIndex } = effect;
        this.snapshotCount += 1;
        this.push({ type: "SnapshotTaken", lastIndex, payload: SNAPSHOT });
      }
    }
  }
}

function startLeader(): LoneReplica {
  const replica = new LoneReplica();
  for (let i = 0; i < 100 && replica.state.role.type !== "Leader"; i++) {
    replica.nowMs += DEFAULT_CONSENSUS_OPTIONS.heartbeatMs;
    replica.push({ type: "Ticked" });
  }
  assert.equal(replica.state.role.type, "Leader");
  return replica;
}

describe("log compaction", () => {
  // A log of large commands would exceed the memory of a replica long before
  // the number of entries at which a snapshot is taken.
  it("bounds the memory of a log of large commands", () => {
    const replica = startLeader();
    const { snapshotEveryBytes, trailingBytes } = DEFAULT_CONSENSUS_OPTIONS;
    let maxLogBytes = 0;
    for (let i = 0; i < COMMAND_COUNT; i++) {
      const payload = new Uint8Array(COMMAND_BYTES);
      replica.push({ type: "PayloadProposed", requestId: `r${i}`, payload });
      maxLogBytes = Math.max(maxLogBytes, replica.logBytes);
    }
    assert.isAtLeast(replica.state.commitIndex, COMMAND_COUNT);
    assert.isAtLeast(replica.snapshotCount, 1);
    assert.isAtMost(
      maxLogBytes,
      snapshotEveryBytes + trailingBytes + 2 * COMMAND_BYTES,
    );
  });

  it("takes no snapshot of a few small commands", () => {
    const replica = startLeader();
    for (let i = 0; i < COMMAND_COUNT; i++) {
      const payload = new Uint8Array(1);
      replica.push({ type: "PayloadProposed", requestId: `r${i}`, payload });
    }
    assert.isAtLeast(replica.state.commitIndex, COMMAND_COUNT);
    assert.equal(replica.snapshotCount, 0);
  });
});
