/** Types that the steps of served attempts share. */
import type { Reduction } from "../../../base/common/reduction.ts";
import type { OwnAnswer } from "./answers.ts";
import type { AttemptAnswer, NodeEffect } from "./call_events.ts";
import type { NodeState } from "./node_state.ts";

/** Next state of a node, with the effects to perform. */
export type NodeStep = Reduction<NodeState, NodeEffect>;

/** Result of a served attempt whose entry call is on this node too. */
export type LocalResult =
  | { readonly type: "Refused"; readonly answer: OwnAnswer }
  | { readonly type: "Answered"; readonly answer: AttemptAnswer }
  | { readonly type: "Failed"; readonly answer: OwnAnswer };

/** Applies the result of a local attempt; injected to avoid an import cycle. */
export type SettleLocal = (
  state: NodeState,
  attemptId: string,
  result: LocalResult,
  nowMs: number,
) => NodeStep;

/** Cancels the calls of a served attempt; injected to avoid an import cycle. */
export type CancelChildren = (
  state: NodeState,
  parentId: string,
  deps: ServedDeps,
) => NodeStep;

/** Dependencies of the steps of served attempts, besides the state. */
export interface ServedDeps {
  /** Steady clock in milliseconds. */
  readonly nowMs: number;
  readonly settleLocal: SettleLocal;
  readonly cancelChildren: CancelChildren;
}
