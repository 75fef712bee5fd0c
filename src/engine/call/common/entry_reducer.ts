/** Entry calls from outside: members listed, answers ended. */
import {
  appendEffects,
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import { tryAttempt } from "./entry_attempts.ts";
import { closeEntry } from "./entry_state.ts";
import type { NodeState } from "./node_state.ts";
import type { NodeStep } from "./served_types.ts";

/** Members of `service` are known now: calls that waited for them go on. */
export function resumeEntries(
  state: NodeState,
  service: string,
  nowMs: number,
): NodeStep {
  const waiting = [...state.entries.values()].filter((call) =>
    call.attempt === undefined && call.row.service === service
  );
  return waiting.reduce<NodeStep>(
    (step, call) =>
      chainReduction(step, (s) => tryAttempt(s, call.exchangeId, nowMs)),
    createReduction(state),
  );
}

/** The relayed answer went through whole, or was cut. */
export function endEntry(
  state: NodeState,
  exchangeId: string,
  isWhole: boolean,
): NodeStep {
  const step = closeEntry(state, exchangeId);
  return isWhole
    ? step
    : appendEffects(step, { type: "DropExchange", exchangeId });
}
