/** Resumes entry calls once members are known; ends them with their answer. */
import {
  appendEffects,
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import { tryAttempt } from "./entry_attempts.ts";
import { closeEntry } from "./entry_state.ts";
import type { NodeState } from "./node_state.ts";
import type { NodeStep } from "./served_types.ts";

/** Resumes the calls that waited for the members of `service`. */
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

/** Ends a call whose relayed answer is complete, or was cut. */
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
