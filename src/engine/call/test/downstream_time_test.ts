/** Slow services below don't count as slowness of the server that calls. */
import { expect } from "chai";
import { computeCapacity } from "../../admission/common/admission_capacity.ts";
import { encodeContext } from "../common/call_context.ts";
import type { NodeEffect, NodeEvent } from "../common/call_events.ts";
import { reduceNode } from "../common/node_reducer.ts";
import type { NodeState } from "../common/node_state.ts";
import { createMember, createNode, ROW } from "./node_network.ts";
import type { SendAttempt } from "./node_network.ts";

const SLOTS = 8;
const OWN_MS = 20;
const BELOW_MS = 20;
const HEAD = { status: 200, tokens: 0, isDraining: false };
const SELF = { ...createMember(0, "head"), slots: SLOTS };
const ROWS = [
  { ...ROW, kind: "head", service: "head", path: "/head" },
  { ...ROW, kind: "below", service: "s", path: "/below" },
];

/** A node whose backend server calls two others for each request. */
class Head {
  state: NodeState = createNode(SELF, ROW, [createMember(1)]);
  nowMs = 10_000;
  #count = 0;

  constructor() {
    const table = { version: 2, rows: ROWS };
    this.#step({ type: "TableReceived", table, isConfirmed: true });
  }

  get capacity(): number {
    return computeCapacity(this.state.admission, this.nowMs);
  }

  /** Serves one request after the other. */
  serve(times: number, parts: { ownMs: number; belowMs: number }): void {
    for (let n = 0; n < times; n += 1) {
      const context = this.#call("ingress", "/head", this.#createContext());
      this.#pass(parts.ownMs);
      const header = encodeContext(context.context);
      const below = [1, 2].map(() => this.#call("egress", "/below", header));
      this.#pass(parts.belowMs);
      [...below, context].forEach(({ attemptId }) => this.#end(attemptId));
      this.#step({ type: "Ticked" });
    }
  }

  #createContext(): string {
    this.#count += 1;
    return encodeContext({
      rootId: `root-${this.#count}`,
      attemptId: `attempt-${this.#count}`,
      importance: 9,
      admissionHash: 0,
      depth: 0,
      remainingMs: 5_000,
      retryTokens: 0,
    });
  }

  #call(
    listener: "ingress" | "egress",
    path: string,
    contextHeader: string,
  ): SendAttempt {
    this.#count += 1;
    const effects = this.#step({
      type: "CallReceived",
      exchangeId: `call-${this.#count}`,
      listener,
      method: "GET",
      path,
      contextHeader,
      bodyBytes: 0,
      isReplayable: true,
    });
    return effects.find((effect) => effect.type === "SendAttempt")!;
  }

  #end(attemptId: string): void {
    const answer = { ...HEAD, outcome: "ran", level: undefined } as const;
    this.#step({ type: "AttemptAnswered", attemptId, answer });
    this.#step({ type: "AttemptEnded", attemptId });
  }

  #pass(ms: number): void {
    this.nowMs += ms;
  }

  #step(event: NodeEvent): readonly NodeEffect[] {
    const { state, effects } = reduceNode(this.state, event, this.nowMs);
    this.state = state;
    return effects;
  }
}

describe("the limit of a server that calls others", () => {
  it("stays where only they are slow", () => {
    const head = new Head();
    head.serve(300, { ownMs: OWN_MS, belowMs: BELOW_MS });
    expect(head.capacity).to.equal(SLOTS);
    head.serve(40, { ownMs: OWN_MS, belowMs: 30 * BELOW_MS });
    expect(head.capacity).to.equal(SLOTS);
  });

  it("falls where it is slow itself", () => {
    const head = new Head();
    head.serve(300, { ownMs: OWN_MS, belowMs: BELOW_MS });
    head.serve(40, { ownMs: 30 * OWN_MS, belowMs: BELOW_MS });
    expect(head.capacity).to.be.at.most(SLOTS / 2);
  });
});
