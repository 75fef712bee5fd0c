/** Time spent waiting for downstream calls must not lower a server's limit. */
import { expect } from "chai";
import { computeCapacity } from "../../admission/common/admission_capacity.ts";
import { encodeContext } from "../common/call_context.ts";
import type { NodeEffect, NodeEvent } from "../common/call_events.ts";
import { reduceNode } from "../common/node_reducer.ts";
import type { NodeState } from "../common/node_state.ts";
import { createMember, createNode, ROW } from "./node_network.ts";
import type { SendAttempt } from "./node_network.ts";

const SLOTS = 8;
const OWN_TIME_MS = 20;
const DOWNSTREAM_TIME_MS = 20;
const ANSWER = { status: 200, tokens: 0, isDraining: false };
const SELF = { ...createMember(0, "head"), slots: SLOTS };
const ROWS = [
  { ...ROW, kind: "head", service: "head", path: "/head" },
  { ...ROW, kind: "below", service: "s", path: "/below" },
];

/** A node whose backend server makes two downstream calls for each request. */
class ParentNode {
  state: NodeState = createNode(SELF, ROW, [createMember(1)]);
  nowMs = 10_000;
  #count = 0;

  constructor() {
    const table = { version: 2, rows: ROWS };
    this.#step({ type: "TableReceived", table, isConfirmed: true });
  }

  /** Concurrency limit of the backend server. */
  get capacity(): number {
    return computeCapacity(this.state.admission, this.nowMs);
  }

  /**
   * Serves requests one after the other. Each runs for `ownMs`, then waits
   * `downstreamMs` for two concurrent calls.
   */
  serve(
    count: number,
    durations: { ownMs: number; downstreamMs: number },
  ): void {
    for (let n = 0; n < count; n += 1) {
      const parent = this.#call("ingress", "/head", this.#createContext());
      this.#advanceClock(durations.ownMs);
      const header = encodeContext(parent.context);
      const children = [1, 2].map(() => this.#call("egress", "/below", header));
      this.#advanceClock(durations.downstreamMs);
      [...children, parent].forEach(({ attemptId }) =>
        this.#completeAttempt(attemptId)
      );
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

  #completeAttempt(attemptId: string): void {
    const answer = { ...ANSWER, outcome: "ran", level: undefined } as const;
    this.#step({ type: "AttemptAnswered", attemptId, answer });
    this.#step({ type: "AttemptEnded", attemptId });
  }

  #advanceClock(ms: number): void {
    this.nowMs += ms;
  }

  #step(event: NodeEvent): readonly NodeEffect[] {
    const { state, effects } = reduceNode(this.state, event, this.nowMs);
    this.state = state;
    return effects;
  }
}

describe("the limit of a backend server that makes downstream calls", () => {
  it("is unchanged if only the downstream calls are slow", () => {
    const node = new ParentNode();
    node.serve(300, { ownMs: OWN_TIME_MS, downstreamMs: DOWNSTREAM_TIME_MS });
    expect(node.capacity).to.equal(SLOTS);
    node.serve(40, {
      ownMs: OWN_TIME_MS,
      downstreamMs: 30 * DOWNSTREAM_TIME_MS,
    });
    expect(node.capacity).to.equal(SLOTS);
  });

  it("falls if the backend server itself is slow", () => {
    const node = new ParentNode();
    node.serve(300, { ownMs: OWN_TIME_MS, downstreamMs: DOWNSTREAM_TIME_MS });
    node.serve(40, {
      ownMs: 30 * OWN_TIME_MS,
      downstreamMs: DOWNSTREAM_TIME_MS,
    });
    expect(node.capacity).to.be.at.most(SLOTS / 2);
  });
});
