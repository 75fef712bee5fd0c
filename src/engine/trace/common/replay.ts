/** Runs the reducer over a recording and says what came of it. */
import type { NodeEffect } from "../../call/common/call_events.ts";
import type { ReplicaEffect } from "../../control/common/replica_reducer.ts";
import { replayControl } from "./replay_control.ts";
import { compareControlOutcomes } from "./replay_control.ts";
import { compareNodeOutcomes, replayNode } from "./replay_node.ts";
import type { Trace, TraceOutcome } from "./trace_format.ts";

/** One step of a replay. */
export interface ReplayStep<E = NodeEffect | ReplicaEffect> {
  readonly atMs: number;
  readonly eventType: string;
  readonly effects: readonly E[];
}

/** What a replay gives. */
export interface Replay {
  readonly steps: readonly ReplayStep[];
  readonly outcome: TraceOutcome;
}

/** Replays a trace from a freshly started process. */
export function replayTrace(trace: Trace): Replay {
  return trace.role === "node" ? replayNode(trace) : replayControl(trace);
}

/** Names the parts in which two outcomes differ; empty where they agree. */
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
