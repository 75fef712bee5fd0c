/** What the steps of served attempts share. */
import type { Reduction } from "../../../base/common/reduction.ts";
import type { OwnAnswer } from "./answers.ts";
import type { AttemptAnswer, NodeEffect } from "./call_events.ts";
import type { NodeState } from "./node_state.ts";

/** A step of the node. */
export type NodeStep = Reduction<NodeState, NodeEffect>;

/** What a served attempt came to, told to the entry call on this node. */
export type LocalResult =
  | { readonly type: "Refused"; readonly answer: OwnAnswer }
  | { readonly type: "Answered"; readonly answer: AttemptAnswer }
  | { readonly type: "Failed"; readonly answer: OwnAnswer };

/** Tells the entry call of a local attempt; passed in, to avoid a cycle. */
export type SettleLocal = (
  state: NodeState,
  attemptId: string,
  result: LocalResult,
  nowMs: number,
) => NodeStep;

/** Cancels the calls that a served attempt made; passed in, as above. */
export type CancelChildren = (
  state: NodeState,
  parentId: string,
  deps: ServedDeps,
) => NodeStep;

/** What the steps of served attempts need besides the state. */
export interface ServedDeps {
  readonly nowMs: number;
  readonly settleLocal: SettleLocal;
  readonly cancelChildren: CancelChildren;
}
