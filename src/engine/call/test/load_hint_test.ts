/** Load hints: from a backend server's endpoints to the views of its callers. */
import { expect } from "chai";
import {
  computeLoadHint,
  decodeLoadHint,
} from "../../routing/common/load_hint.ts";
import type { HintReceived } from "../../routing/common/load_hint.ts";
import { encodeContext, LOAD_HEADER } from "../common/call_context.ts";
import type { NodeEffect, NodeEvent } from "../common/call_events.ts";
import { reduceNode } from "../common/node_reducer.ts";
import type { NodeState } from "../common/node_state.ts";
import { createMember, createNode, ROW } from "./node_network.ts";

const MEMBER = createMember(1);
const START_MS = 1_000_000;

class TestNode {
  state: NodeState;
  #callCount = 0;

  constructor(number: number) {
    this.state = createNode(createMember(number), ROW, [MEMBER]);
  }

  apply(event: NodeEvent): readonly NodeEffect[] {
    const { state, effects } = reduceNode(this.state, event, START_MS);
    this.state = state;
    return effects;
  }

  /** Receives a call; returns the attempt that it sends. */
  receive(
    listener: "edge" | "ingress",
    contextHeader?: string,
  ): Extract<NodeEffect, { type: "SendAttempt" }> {
    const effects = this.apply({
      type: "CallReceived",
      exchangeId: `x${this.#callCount++}`,
      listener,
      method: "GET",
      path: "/any",
      contextHeader,
      bodyBytes: 0,
      isReplayable: true,
    });
    return effects.find((effect) => effect.type === "SendAttempt")!;
  }
}

/** Has `served` answer one call of `caller`; returns the load header. */
function completeCall(caller: TestNode, served: TestNode): string | undefined {
  const { context } = caller.receive("edge");
  const { attemptId } = served.receive("ingress", encodeContext(context));
  const head = { status: 200, outcome: "ran", tokens: 0 } as const;
  const effects = served.apply({
    type: "AttemptAnswered",
    attemptId,
    answer: { ...head, isDraining: false },
  });
  served.apply({ type: "AttemptEnded", attemptId });
  const relay = effects.find((effect) => effect.type === "RelayAnswer")!;
  const header = relay.headers[LOAD_HEADER];
  const hintedLoad = decodeLoadHint(header ?? "");
  const answer = { ...head, isDraining: false, hintedLoad };
  caller.apply({ type: "AttemptAnswered", attemptId, answer });
  caller.apply({ type: "AttemptEnded", attemptId });
  return header;
}

/** Returns the caller's view of the called member. */
function getView(caller: TestNode) {
  return caller.state.routing.services.get(ROW.service)!.views[0]!;
}

describe("load hints", () => {
  const hints: readonly (readonly [
    Pick<HintReceived, "isHealthy" | "load">,
    number | undefined,
  ])[] = [
    [{ isHealthy: true, load: 0.304 }, 30],
    [{ isHealthy: undefined, load: 7 }, 100],
    [{ isHealthy: false, load: 0 }, 100],
    [{ isHealthy: true, load: undefined }, undefined],
    [{ isHealthy: true, load: -1 }, undefined],
    [{ isHealthy: true, load: NaN }, undefined],
  ];
  for (const [hint, load] of hints) {
    it(`are ${load} if isHealthy is ${hint.isHealthy}, load ${hint.load}`, () => {
      const type = "HintReceived";
      expect(computeLoadHint({ type, ...hint })).to.equal(load);
    });
  }

  it("are accepted from headers only as whole per cent", () => {
    const texts = ["", "0", "100", "101", "-1", "5.5", "1e2", "many"];
    expect(texts.map(decodeLoadHint)).to.deep.equal(
      [undefined, 0, 100, ...Array(5).fill(undefined)],
    );
  });

  it("reach callers' views with answers, and are removed there", () => {
    const caller = new TestNode(0);
    const served = new TestNode(1);
    expect(completeCall(caller, served)).to.equal(undefined);
    served.apply({ type: "HintReceived", isHealthy: true, load: 0.3 });
    expect(completeCall(caller, served)).to.equal("30");
    expect(getView(caller).hintedLoad).to.equal(30);
    served.apply({ type: "HintReceived", isHealthy: true, load: undefined });
    completeCall(caller, served);
    expect(getView(caller).hintedLoad).to.equal(undefined);
  });

  it("never eject a backend server, however unhealthy it is reported", () => {
    const caller = new TestNode(0);
    const served = new TestNode(1);
    served.apply({ type: "HintReceived", isHealthy: false, load: undefined });
    for (let n = 0; n < 50; n += 1) {
      expect(completeCall(caller, served)).to.equal("100");
    }
    const { ejection, failures, refusals } = getView(caller);
    expect(ejection).to.equal(undefined);
    expect([failures, refusals]).to.deep.equal([0, 0]);
  });
});
