/**
 * A control process that was suspended must not confirm its table when it
 * resumes.
 */
import { expect } from "chai";
import { createControlReport } from "../common/control_report.ts";
import { createControl } from "../common/control_state.ts";
import { reduceReplica } from "../common/replica_reducer.ts";
import type { ReplicaEvent } from "../common/replica_reducer.ts";
import { Replicas } from "./replicas.ts";

describe("frozen control process", () => {
  it("vouches for nothing from its first event on", () => {
    const replicas = new Replicas(["a"]);
    replicas.start("a");
    replicas.runUntil(() => replicas.isConfirmed("a"));
    const { nowMs } = replicas;
    const control = createControl("a", nowMs);
    const state = { control, replication: replicas.get("a") };
    const event: ReplicaEvent = {
      type: "NodeMessageReceived",
      linkId: 1,
      message: { type: "Heartbeat", tableVersion: 0 },
    };
    const readAnswers = (atMs: number, from = state) => {
      const step = reduceReplica(from, event, atMs);
      const answers = step.effects.flatMap((effect) =>
        effect.type === "SendToLink" &&
          effect.message.type === "HeartbeatAnswer"
          ? [effect.message.isConfirmed]
          : []
      );
      return { answers, state: step.state };
    };
    const before = readAnswers(nowMs);
    expect(before.answers).to.deep.equal([true]);
    const after = readAnswers(nowMs + 3_600_000, before.state);
    expect(after.answers).to.deep.equal([false]);
  });

  it("reports no confirmation before its first event", () => {
    const replicas = new Replicas(["a"]);
    replicas.start("a");
    replicas.runUntil(() => replicas.isConfirmed("a"));
    const { nowMs } = replicas;
    const { state } = reduceReplica(
      {
        control: createControl("a", nowMs),
        replication: replicas.get("a"),
      },
      { type: "ReplicationTicked" },
      nowMs,
    );
    const readings = [nowMs, nowMs + 3_600_000]
      .map((atMs) => createControlReport(state, atMs).isTableConfirmed);
    expect(readings).to.deep.equal([true, false]);
  });
});
