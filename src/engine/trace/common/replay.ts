/** Replays a recording through the reducer, and compares its outcome. */
import type { NodeEffect } from "../../call/common/call_events.ts";
import type { ReplicaEffect } from "../../control/common/replica_reducer.ts";
import { replayControl } from "./replay_control.ts";
import { compareControlOutcomes } from "./replay_control.ts";
import { compareNodeOutcomes, replayNode } from "./replay_node.ts";
import type { Trace, TraceOutcome } from "./trace_format.ts";

/** One event of a replay, with the effects that it caused. */
export interface ReplayStep<E = NodeEffect | ReplicaEffect> {
  readonly atMs: number;
  readonly eventType: string;
  readonly effects: readonly E[];
}

/** The result of a replay. */
export interface Replay {
  readonly steps: readonly ReplayStep[];
  readonly outcome: TraceOutcome;
}

/** Replays a trace from the state at the recorded process's start. */
export function replayTrace(trace: Trace): Replay {
  return trace.role === "node" ? replayNode(trace) : replayControl(trace);
}

/** Describes the differences between two outcomes; empty if they are equal. */
export function compareOutcomes(
  expected: TraceOutcome,
  actual: TraceOutcome,
): readonly string[] {
  if ("answers" in expected && "answers" in actual) {
    return compareNodeOutcomes(expected, actual);
  }
  if ("edits" in expected && "edits" in actual) {
    return compareControlOutcomes(expected, actual);
  }
  return ["roles differ"];
}
