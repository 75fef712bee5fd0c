/** Behaviour of a node while another node, or the node itself, is draining. */
import { expect } from "chai";
import { createMember } from "../../routing/test/fakes.ts";
import { createRow } from "../../table/test/table_rows.ts";
import type {
  AttemptAnswer,
  CallReceived,
  NodeEffect,
  NodeEvent,
} from "../common/call_events.ts";
import { MAX_REROUTES } from "../common/entry_reroute.ts";
import { reduceNode } from "../common/node_reducer.ts";
import { createNodeState } from "../common/node_state.ts";
import type { NodeState } from "../common/node_state.ts";

const IDS = ["m-1", "m-2", "m-3", "m-4", "m-5"];
const ROW = createRow({
  service: "provenance",
  retries: 0,
  idempotent: false,
});
const CALL: CallReceived = {
  type: "CallReceived",
  exchangeId: "x",
  listener: "edge",
  method: "GET",
  path: "/prices/1",
  contextHeader: undefined,
  bodyBytes: 0,
  isReplayable: true,
};
/** The refusal of a draining node. */
const DRAINING_REFUSAL: AttemptAnswer = {
  status: 503,
  outcome: "not-run",
  tokens: 0,
  isDraining: true,
};

/** A node that has received one call; keeps the effects of the last step. */
class CallingNode {
  state: NodeState;
  effects: readonly NodeEffect[] = [];

  constructor(selfId = "client", call: Partial<CallReceived> = {}) {
    this.state = createNodeState(createMember(selfId), "127.0.0.1:9");
    const table = { version: 1, rows: [{ ...ROW, version: 1 }] };
    this.apply({ type: "TableReceived", table, isConfirmed: true });
    this.apply({
      type: "MembersListed",
      service: "provenance",
      members: IDS.map((id) => createMember(id)),
    });
    this.apply({ ...CALL, ...call });
  }

  apply(event: NodeEvent): void {
    const step = reduceNode(this.state, event, 1_000);
    this.state = step.state;
    this.effects = step.effects;
  }

  /** The attempt that the last step sent; undefined if it sent none. */
  get sentAttempt() {
    return this.effects.find((effect) => effect.type === "SendAttempt");
  }

  /** The answer that the last step sent; undefined if it sent none. */
  get answer() {
    return this.effects.find((effect) =>
      effect.type === "AnswerCall" || effect.type === "RelayAnswer"
    );
  }
}

describe("drain at the calling node", () => {
  it("goes elsewhere without a token, a bounded number of times", () => {
    const node = new CallingNode();
    const addresses = new Set<string>();
    for (let i = 0; i <= MAX_REROUTES; i++) {
      const { attemptId, address } = node.sentAttempt!;
      addresses.add(address);
      node.apply({
        type: "AttemptAnswered",
        attemptId,
        answer: DRAINING_REFUSAL,
      });
    }
    expect(addresses.size).to.equal(MAX_REROUTES + 1);
    expect(node.sentAttempt).to.equal(undefined);
    expect(node.answer).to.deep.include({
      headers: { "basilpin-outcome": "not-run" },
    });
  });

  it("goes elsewhere where the connection is refused", () => {
    const node = new CallingNode();
    const first = node.sentAttempt!;
    const { attemptId } = first;
    const reason = "refused";
    node.apply({ type: "AttemptFailed", attemptId, isSent: false, reason });
    expect(node.sentAttempt!.address).not.to.equal(first.address);
  });

  it("does not if it may have run, was refused under load, or can't be resent", () => {
    const lost = new CallingNode();
    lost.apply({
      type: "AttemptFailed",
      attemptId: lost.sentAttempt!.attemptId,
      isSent: true,
      reason: "cut",
    });
    expect(lost.sentAttempt).to.equal(undefined);
    const busy = new CallingNode();
    const answer = { ...DRAINING_REFUSAL, isDraining: false };
    const { attemptId } = busy.sentAttempt!;
    busy.apply({ type: "AttemptAnswered", attemptId, answer });
    expect(busy.sentAttempt).to.equal(undefined);
    const streamed = new CallingNode("client", { isReplayable: false });
    streamed.apply({
      type: "AttemptAnswered",
      attemptId: streamed.sentAttempt!.attemptId,
      answer: DRAINING_REFUSAL,
    });
    expect(streamed.sentAttempt).to.equal(undefined);
  });
});

describe("drain at the draining node", () => {
  it("routes its own new calls to other nodes immediately", () => {
    const node = new CallingNode("m-1");
    node.apply({ type: "DrainRequested" });
    for (let i = 0; i < 50; i++) {
      node.apply({ ...CALL, exchangeId: `own-${i}` });
      expect(node.sentAttempt, `call ${i}`).not.to.equal(undefined);
      expect(node.state.served.has(`own-${i}.1`)).to.equal(false);
    }
  });

  it("refuses new calls and reports draining, also on answers to earlier calls", () => {
    const node = new CallingNode("m-1");
    const contextHeader = (id: string) =>
      `root="r", attempt="${id}", importance=4, hash=1, depth=0, ` +
      `remaining=900, tokens=0`;
    const ingress = { ...CALL, listener: "ingress" } as const;
    node.apply({
      ...ingress,
      exchangeId: "early",
      contextHeader: contextHeader("early"),
    });
    node.apply({ type: "DrainRequested" });
    node.apply({
      ...ingress,
      exchangeId: "late",
      contextHeader: contextHeader("late"),
    });
    expect(node.answer).to.deep.include({
      status: 503,
      headers: {
        "basilpin-outcome": "not-run",
        "basilpin-tokens": "0",
        "basilpin-draining": "1",
        // One second, spread by a hash of the attempt id.
        "retry-after": "2",
      },
    });
    const answer = {
      ...DRAINING_REFUSAL,
      status: 200,
      outcome: "ran",
    } as const;
    node.apply({ type: "AttemptAnswered", attemptId: "early", answer });
    expect(node.answer).to.deep.include({
      type: "RelayAnswer",
      headers: {
        "basilpin-outcome": "ran",
        "basilpin-tokens": "0",
        "basilpin-draining": "1",
      },
    });
  });
});
