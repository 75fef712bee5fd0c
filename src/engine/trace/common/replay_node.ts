/** Replay of a node's recording. */
import { OUTCOME_HEADER } from "../../call/common/call_context.ts";
import type { NodeEffect, NodeEvent } from "../../call/common/call_events.ts";
import { reduceNode } from "../../call/common/node_reducer.ts";
import { createNodeState } from "../../call/common/node_state.ts";
import type { NodeState } from "../../call/common/node_state.ts";
import { compareLists } from "./compare_lists.ts";
import type { ReplayStep } from "./replay.ts";
import type { NodeOutcome, NodeTrace, TracedAnswer } from "./trace_format.ts";

/** The result of replaying a node's trace. */
export interface NodeReplay {
  readonly steps: readonly ReplayStep<NodeEffect>[];
  readonly outcome: NodeOutcome;
  readonly state: NodeState;
}

/** Replays a trace from the initial state of the node. */
export function replayNode(trace: NodeTrace): NodeReplay {
  const { self, backendAddress } = trace.header;
  let state = createNodeState(self, backendAddress);
  const steps: ReplayStep<NodeEffect>[] = [];
  const answers: TracedAnswer[] = [];
  const statuses = new Map<string, number>();
  for (const { atMs, event } of trace.events) {
    recordStatus(statuses, event);
    const step = reduceNode(state, event, atMs);
    state = step.state;
    steps.push({ atMs, eventType: event.type, effects: step.effects });
    for (const effect of step.effects) {
      recordStatus(statuses, effect);
      answers.push(...listAnswers(effect, statuses));
    }
  }
  return { steps, state, outcome: buildOutcome(steps, answers, state) };
}

/** Describes the differences between two outcomes; empty if they are equal. */
export function compareNodeOutcomes(
  expected: NodeOutcome,
  actual: NodeOutcome,
): readonly string[] {
  const countNames = ["sentToNodes", "sentToBackend", "open"] as const;
  const countDifferences = countNames
    .filter((name) => expected[name] !== actual[name])
    .map((name) => `${name}: expected ${expected[name]}, got ${actual[name]}`);
  const answers = compareLists(
    "answer",
    expected.answers.map(describeAnswer),
    actual.answers.map(describeAnswer),
  );
  return [...countDifferences, ...answers];
}

function buildOutcome(
  steps: readonly ReplayStep<NodeEffect>[],
  answers: readonly TracedAnswer[],
  state: NodeState,
): NodeOutcome {
  const effects = steps.flatMap((step) => step.effects);
  const sent = effects.filter((effect) => effect.type === "SendAttempt");
  const nodeCount = sent.filter((effect) => effect.peer === "node").length;
  return {
    answers,
    sentToNodes: nodeCount,
    sentToBackend: sent.length - nodeCount,
    open: state.entries.size + state.served.size,
  };
}

/** Records the status of an answer, because `RelayAnswer` doesn't contain it. */
function recordStatus(
  statuses: Map<string, number>,
  item: NodeEvent | NodeEffect,
): void {
  switch (item.type) {
    case "AttemptAnswered":
    case "ProvideAnswer":
      statuses.set(item.attemptId, item.answer.status);
      return;
    case "AnswerCollected":
      statuses.set(item.attemptId, item.status);
      return;
    default:
      return;
  }
}

function listAnswers(
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

function describeAnswer(answer: TracedAnswer): string {
  return `${answer.exchangeId} ${answer.status} ${answer.outcome}`;
}
