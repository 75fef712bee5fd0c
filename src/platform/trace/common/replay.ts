/** Runs the reducer over a recording and says what came of it. */
import { OUTCOME_HEADER } from "../../call/common/call_context.ts";
import type { NodeEffect } from "../../call/common/call_events.ts";
import { reduceNode } from "../../call/common/node_reducer.ts";
import { createNodeState } from "../../call/common/node_state.ts";
import type { NodeState } from "../../call/common/node_state.ts";
import type { Trace, TracedAnswer, TraceOutcome } from "./trace_format.ts";

/** One step of a replay. */
export interface ReplayStep {
  readonly atMs: number;
  readonly eventType: string;
  readonly effects: readonly NodeEffect[];
}

/** What a replay gives. */
export interface Replay {
  readonly steps: readonly ReplayStep[];
  readonly outcome: TraceOutcome;
  readonly state: NodeState;
}

/** Replays a trace from a freshly started node. */
export function replayTrace(trace: Trace): Replay {
  const { self, backendAddress } = trace.header;
  let state = createNodeState(self, backendAddress);
  const steps: ReplayStep[] = [];
  const statuses = new Map<string, number>();
  for (const { atMs, event } of trace.events) {
    if (event.type === "AttemptAnswered") {
      statuses.set(event.attemptId, event.answer.status);
    }
    const step = reduceNode(state, event, atMs);
    state = step.state;
    steps.push({ atMs, eventType: event.type, effects: step.effects });
  }
  return { steps, state, outcome: computeOutcome(steps, statuses, state) };
}

/** Names the parts in which two outcomes differ; empty where they agree. */
export function compareOutcomes(
  expected: TraceOutcome,
  actual: TraceOutcome,
): readonly string[] {
  const names = ["sentToNodes", "sentToBackend", "open"] as const;
  const differing: string[] = names
    .filter((name) => expected[name] !== actual[name])
    .map((name) => `${name}: expected ${expected[name]}, got ${actual[name]}`);
  const length = Math.max(expected.answers.length, actual.answers.length);
  for (let i = 0; i < length; i++) {
    const wanted = describeAnswer(expected.answers[i]);
    const got = describeAnswer(actual.answers[i]);
    if (wanted !== got) {
      differing.push(`answer ${i + 1}: expected ${wanted}, got ${got}`);
    }
  }
  return differing;
}

function computeOutcome(
  steps: readonly ReplayStep[],
  statuses: ReadonlyMap<string, number>,
  state: NodeState,
): TraceOutcome {
  const effects = steps.flatMap((step) => step.effects);
  const sent = effects.filter((effect) => effect.type === "SendAttempt");
  const toNodes = sent.filter((effect) => effect.peer === "node").length;
  return {
    answers: effects.flatMap((effect) => readAnswer(effect, statuses)),
    sentToNodes: toNodes,
    sentToBackend: sent.length - toNodes,
    open: state.entries.size + state.served.size,
  };
}

function readAnswer(
  effect: NodeEffect,
  statuses: ReadonlyMap<string, number>,
): readonly TracedAnswer[] {
  switch (effect.type) {
    case "AnswerCall": {
      const { exchangeId, status, headers } = effect;
      const outcome = headers[OUTCOME_HEADER] ?? "";
      return [{ exchangeId, status, outcome }];
    }
    case "RelayAnswer": {
      const { exchangeId, attemptId, headers } = effect;
      const status = statuses.get(attemptId) ?? 0;
      return [{ exchangeId, status, outcome: headers[OUTCOME_HEADER] ?? "" }];
    }
    case "DropExchange":
      return [{ exchangeId: effect.exchangeId, status: 0, outcome: "dropped" }];
    default:
      return [];
  }
}

function describeAnswer(answer: TracedAnswer | undefined): string {
  return answer === undefined
    ? "none"
    : `${answer.exchangeId} ${answer.status} ${answer.outcome}`;
}
