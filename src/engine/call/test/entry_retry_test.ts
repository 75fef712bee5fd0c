/** Retries, status requests and outcomes of calls on one node. */
import { expect } from "chai";
import type { FoundAttempt } from "../../peer/common/peer_messages.ts";
import { BUDGET_FLOOR, BUDGET_SHARE } from "../../retry/common/retry_budget.ts";
import type { VersionedRow } from "../../table/common/table_row.ts";
import { encodeContext } from "../common/call_context.ts";
import type { CallOutcome } from "../common/call_context.ts";
import type { NodeEffect, NodeEvent } from "../common/call_events.ts";
import { reduceNode } from "../common/node_reducer.ts";
import type { NodeState } from "../common/node_state.ts";
import { createMember, createNode, ROW } from "./node_network.ts";
import type { SendAttempt } from "./node_network.ts";

const TRANSFER: VersionedRow = { ...ROW, idempotent: false, retries: 3 };
const REFUSED = { status: 503, outcome: "not-run", tokens: 8 } as const;

/** One node; keeps the effects of its last step. */
class TestNode {
  state: NodeState;
  effects: readonly NodeEffect[] = [];
  nowMs = 1_000;

  constructor(row: VersionedRow, memberNumbers: readonly number[] = [1, 2, 3]) {
    const members = memberNumbers.map((number) => createMember(number));
    this.state = createNode(createMember(0), row, members);
  }

  /** Applies an event, `afterMs` after the last one. */
  step(event: NodeEvent, afterMs = 0): void {
    this.nowMs += afterMs;
    const step = reduceNode(this.state, event, this.nowMs);
    this.state = step.state;
    this.effects = step.effects;
  }

  /** Returns the first effect of this type in the last step. */
  findEffect<T extends NodeEffect["type"]>(
    type: T,
  ): Extract<NodeEffect, { type: T }> | undefined {
    return this.effects.find((effect) => effect.type === type) as
      | Extract<NodeEffect, { type: T }>
      | undefined;
  }

  /** Receives a call; returns the attempt that it sends, if any. */
  call(exchangeId: string, change: Partial<NodeEvent> = {}): SendAttempt {
    this.step(
      {
        type: "CallReceived",
        exchangeId,
        listener: "edge",
        method: "POST",
        path: "/t",
        contextHeader: undefined,
        bodyBytes: 0,
        isReplayable: true,
        ...change,
      } as NodeEvent,
    );
    return this.findEffect("SendAttempt")!;
  }

  failAttempt(attemptId: string, isSent: boolean): void {
    this.step({ type: "AttemptFailed", attemptId, isSent, reason: "fault" });
  }

  refuseAttempt(attemptId: string): void {
    const answer = { ...REFUSED, isDraining: false };
    this.step({ type: "AttemptAnswered", attemptId, answer });
  }

  /** Replies to a status request; undefined if no reply was received. */
  replyToStatusRequest(
    attemptId: string,
    found: FoundAttempt | undefined,
  ): void {
    const requestId = `attempts:${attemptId}`;
    const reply = found === undefined
      ? undefined
      : { type: "AttemptsFound", found: [found] } as const;
    this.step({ type: "PeerReplied", requestId, reply });
  }

  /** The outcome that the last step sent to the caller. */
  get outcome(): CallOutcome | undefined {
    const headers = this.findEffect("AnswerCall")?.headers ??
      this.findEffect("RelayAnswer")?.headers;
    return headers?.["basilpin-outcome"] as CallOutcome | undefined;
  }
}

const FENCED: FoundAttempt = { type: "AttemptFenced" };
const FORGOTTEN: FoundAttempt = { type: "AttemptForgotten" };
const RUNNING: FoundAttempt = { type: "AttemptKnown", phase: "running" };
const ENDED: FoundAttempt = { type: "AttemptKnown", phase: "ended" };

describe("a non-idempotent attempt that failed after it was sent", () => {
  it("has its status requested on a new connection, and is retried once fenced", () => {
    const node = new TestNode(TRANSFER);
    const first = node.call("x");
    node.failAttempt(first.attemptId, true);
    const statusRequest = node.findEffect("AskPeer")!;
    expect(statusRequest.isFresh).to.equal(true);
    expect(statusRequest.address).to.equal(first.address);
    expect(statusRequest.message).to.deep.equal({
      type: "FenceAttempts",
      incarnation: 1,
      attempts: [{ attemptId: first.attemptId, ageMs: 0 }],
    });
    expect(node.findEffect("SendAttempt")).to.equal(undefined);
    node.replyToStatusRequest(first.attemptId, FENCED);
    expect(node.findEffect("SendAttempt")!.address).to.not.equal(first.address);
  });

  for (const reply of [ENDED, RUNNING, FORGOTTEN, undefined]) {
    it(`is unknown after ${JSON.stringify(reply) ?? "no reply"}`, () => {
      const node = new TestNode(TRANSFER);
      const { attemptId } = node.call("x");
      node.failAttempt(attemptId, true);
      node.replyToStatusRequest(attemptId, reply);
      expect(node.findEffect("SendAttempt")).to.equal(undefined);
      expect(node.outcome).to.equal("unknown");
      expect(node.state.entries.size).to.equal(0);
    });
  }

  it("is retried without a status request if no byte was written", () => {
    const node = new TestNode(TRANSFER);
    const first = node.call("x");
    node.failAttempt(first.attemptId, false);
    expect(node.findEffect("AskPeer")).to.equal(undefined);
    expect(node.findEffect("SendAttempt")!.address).to.not.equal(first.address);
  });
});

describe("the outcome of a call", () => {
  it("is not-run, with Retry-After, only if every attempt was", () => {
    const node = new TestNode(TRANSFER);
    for (const _ of [1, 2, 3]) {
      const { attemptId } = node.state.entries.get("x")?.attempt ??
        node.call("x");
      node.refuseAttempt(attemptId);
    }
    expect(node.outcome).to.equal("not-run");
    expect(node.findEffect("AnswerCall")!.headers["retry-after"]).to.equal("1");
  });

  it("stays unknown if a refusal follows a lost attempt", () => {
    const node = new TestNode({ ...ROW, retries: 2 });
    const first = node.call("x");
    node.failAttempt(first.attemptId, true);
    const second = node.findEffect("SendAttempt")!;
    expect(second.attemptId).to.not.equal(first.attemptId);
    node.refuseAttempt(second.attemptId);
    expect(node.outcome).to.equal("unknown");
  });

  it("is unknown if an attempt is in flight at the deadline", () => {
    const node = new TestNode(TRANSFER);
    const { attemptId } = node.call("x");
    node.step(
      { type: "TimerFired", key: { owner: "entry", id: "x" } },
      ROW.timeoutMs,
    );
    expect(node.outcome).to.equal("unknown");
    expect(node.findEffect("AbortAttempt")!.attemptId).to.equal(attemptId);
  });

  it("is not-run if a local attempt is still queued at the deadline", () => {
    const node = new TestNode({ ...TRANSFER, concurrency: 1 }, [0]);
    node.call("running");
    expect(node.call("waits")).to.equal(undefined);
    node.step(
      { type: "TimerFired", key: { owner: "entry", id: "waits" } },
      ROW.timeoutMs,
    );
    expect(node.outcome).to.equal("not-run");
  });
});

describe("a quiet attempt", () => {
  it("is kept as long as its receiver reports that it is running", () => {
    const node = new TestNode(TRANSFER);
    const { attemptId } = node.call("x");
    let requestCount = 0;
    for (let i = 0; i < 300; i++) {
      node.step({ type: "Ticked" }, 100);
      if (node.findEffect("AskPeer") !== undefined) {
        requestCount += 1;
        node.replyToStatusRequest(attemptId, RUNNING);
        expect(node.effects).to.deep.equal([]);
      }
    }
    expect(requestCount).to.be.within(25, 30);
    expect(node.state.entries.has("x")).to.equal(true);
  });

  it("is in one status request with others at its receiver", () => {
    const node = new TestNode(TRANSFER, [1, 2]);
    const sent = ["a", "b", "c", "d"].map((id) => node.call(id));
    node.step({ type: "Ticked" }, 600);
    node.call("late");
    node.step({ type: "Ticked" }, 400);
    const requested = node.effects.flatMap((effect) =>
      effect.type === "AskPeer" && effect.message.type === "FenceAttempts"
        ? effect.message.attempts.map(({ attemptId }) => [
          attemptId,
          effect.address,
        ])
        : []
    );
    expect(requested).to.have.deep.members(
      sent.map(({ attemptId, address }) => [attemptId, address]),
    );
    const receivers = new Set(sent.map(({ address }) => address));
    expect(node.effects.length).to.equal(receivers.size);
  });

  it("is retried on new connections once it is fenced", () => {
    const node = new TestNode(TRANSFER, [1]);
    const first = node.call("x");
    node.step({ type: "Ticked" }, 1_000);
    expect(node.findEffect("AskPeer")!.isFresh).to.equal(true);
    node.replyToStatusRequest(first.attemptId, FENCED);
    expect(node.effects.map(({ type }) => type)).to.deep.equal([
      "AbortAttempt",
      "DropConnections",
      "RecordEvent",
      "SendAttempt",
    ]);
  });

  for (const reply of [ENDED, undefined]) {
    const name = reply === undefined ? "no reply" : "a reply that it has ended";
    it(`is unknown after ${name}, twice`, () => {
      const node = new TestNode(TRANSFER);
      const { attemptId } = node.call("x");
      node.step({ type: "Ticked" }, 1_000);
      node.replyToStatusRequest(attemptId, reply);
      expect(node.effects).to.deep.equal([]);
      node.step({ type: "Ticked" }, 300);
      node.replyToStatusRequest(attemptId, reply);
      expect(node.outcome).to.equal("unknown");
      expect(node.findEffect("DropConnections")).to.not.equal(undefined);
      expect(node.findEffect("SendAttempt")).to.equal(undefined);
    });
  }
});

describe("a relayed answer that has stalled", () => {
  /** Creates a node that relays the answer to attempt `x.1`. */
  function createRelayingNode(): TestNode {
    const node = new TestNode(TRANSFER);
    const { attemptId } = node.call("x");
    const answer = {
      status: 200,
      outcome: "ran",
      tokens: 0,
      isDraining: false,
    } as const;
    node.step({ type: "AttemptAnswered", attemptId, answer });
    return node;
  }

  it("is cut off, never ended, once its receiver is done", () => {
    for (const phase of ["ended", "blocked"] as const) {
      const node = createRelayingNode();
      const attemptId = "x.1";
      for (const isNew of [true, false]) {
        node.step({ type: "AnswerQuiet", attemptId, isNew });
        expect(node.findEffect("AskPeer")!.isFresh).to.equal(true);
        node.replyToStatusRequest(attemptId, { type: "AttemptKnown", phase });
      }
      expect(node.findEffect("DropExchange")!.exchangeId).to.equal("x");
      expect(node.state.entries.size).to.equal(0);
    }
  });

  it("continues while its backend server is slow", () => {
    const node = createRelayingNode();
    const attemptId = "x.1";
    for (let i = 0; i < 20; i++) {
      node.step({ type: "AnswerQuiet", attemptId, isNew: i === 0 });
      node.replyToStatusRequest(attemptId, {
        type: "AttemptKnown",
        phase: "relaying",
      });
      expect(node.effects).to.deep.equal([]);
    }
  });
});

describe("the receiver of an attempt", () => {
  /** Receives an attempt of another node on ingress. */
  function receiveAttempt(node: TestNode, attemptId: string): void {
    const contextHeader = encodeContext({
      rootId: "root",
      attemptId,
      importance: 5,
      admissionHash: 1,
      depth: 0,
      remainingMs: 1_000,
      retryTokens: 2,
    });
    node.call(`in-${attemptId}`, { listener: "ingress", contextHeader });
  }

  /** Requests the status of an attempt from the node, 10 s later. */
  function requestStatus(
    node: TestNode,
    attemptId: string,
    incarnation = 1,
  ): FoundAttempt {
    const message = {
      type: "FenceAttempts",
      incarnation,
      attempts: [{ attemptId, ageMs: 100 }],
    } as const;
    node.step({ type: "PeerAsked", askId: 1, message }, 10_000);
    const { reply } = node.findEffect("AnswerPeer")!;
    if (reply.type !== "AttemptsFound") {
      throw new Error(`Expected AttemptsFound, got ${reply.type}`);
    }
    return reply.found[0]!;
  }

  it("never runs an attempt that it has fenced", () => {
    const node = new TestNode(TRANSFER);
    expect(requestStatus(node, "a")).to.deep.equal(FENCED);
    receiveAttempt(node, "a");
    expect(node.findEffect("SendAttempt")).to.equal(undefined);
    expect(node.outcome).to.equal("not-run");
  });

  it("proves nothing about an earlier process at its address", () => {
    const node = new TestNode(TRANSFER);
    expect(requestStatus(node, "a", 0)).to.deep.equal(FORGOTTEN);
  });

  it("reports the phase of a run, and runs no attempt id twice", () => {
    const node = new TestNode(TRANSFER);
    receiveAttempt(node, "a");
    expect(requestStatus(node, "a")).to.deep.equal(RUNNING);
    receiveAttempt(node, "a");
    expect(node.findEffect("SendAttempt")).to.equal(undefined);
    expect(node.outcome).to.equal("unknown");
    node.failAttempt("a", true);
    // It ends only after the probe has shown whether the backend server died.
    expect(requestStatus(node, "a")).to.deep.equal(RUNNING);
    node.step({ type: "BackendProbed", isAlive: true });
    expect(requestStatus(node, "a")).to.deep.equal(ENDED);
    receiveAttempt(node, "a");
    expect(node.outcome).to.equal("unknown");
  });
});

describe("an attempt whose backend server does not answer in time", () => {
  for (const hasOtherAnswered of [false, true]) {
    const action = hasOtherAnswered ? "does not replace" : "replaces";
    const condition = hasOtherAnswered ? "another was" : "no other was";
    it(`${action} the connections to it if ${condition} answered`, () => {
      const node = new TestNode(TRANSFER, [0]);
      const { attemptId } = node.call("x");
      const other = node.call("other");
      if (hasOtherAnswered) {
        node.step({
          type: "AttemptAnswered",
          attemptId: other.attemptId,
          answer: { status: 200, outcome: "ran", tokens: 0, isDraining: false },
        }, 500);
      }
      node.step(
        { type: "TimerFired", key: { owner: "served", id: attemptId } },
        ROW.timeoutMs,
      );
      expect(node.findEffect("AbortAttempt")!.attemptId).to.equal(attemptId);
      expect(node.findEffect("DropConnections")?.address)
        .to.equal(hasOtherAnswered ? undefined : node.state.backendAddress);
      expect(node.outcome).to.equal("unknown");
    });
  }
});

describe("cancellation", () => {
  it("of a call reaches the calls that its backend server made", () => {
    const node = new TestNode(ROW, [0]);
    const parent = node.call("x");
    const contextHeader = encodeContext(parent.context);
    node.step({
      type: "MembersListed",
      service: "s",
      members: [createMember(1)],
    });
    const child = node.call("child", { listener: "egress", contextHeader });
    node.step({ type: "CallerLeft", exchangeId: "x" });
    const aborted = node.effects.flatMap((effect) =>
      effect.type === "AbortAttempt" ? [effect.attemptId] : []
    );
    expect(aborted).to.have.members([parent.attemptId, child.attemptId]);
    expect(node.findEffect("DropExchange")!.exchangeId).to.equal("child");
    expect(node.state.entries.size).to.equal(0);
    expect(node.state.served.size).to.equal(0);
    expect(node.state.admission.running.size).to.equal(0);
    expect(node.state.childrenOf.size).to.equal(0);
  });
});

describe("a node's retries", () => {
  it("stay a small share of its first attempts", () => {
    const node = new TestNode({ ...ROW, retries: 8 });
    let firstAttempts = 0;
    let retries = 0;
    for (let i = 0; i < 500; i++) {
      let attempt: SendAttempt | undefined = node.call(`x${i}`);
      firstAttempts += 1;
      while (attempt !== undefined) {
        node.refuseAttempt(attempt.attemptId);
        attempt = node.findEffect("SendAttempt");
        retries += attempt === undefined ? 0 : 1;
      }
    }
    expect(retries).to.equal(BUDGET_FLOOR + BUDGET_SHARE * firstAttempts);
  });

  // Otherwise repeats would increase the retry budgets of downstream services.
  it("carry on that they repeat a run, and what that calls widens nothing", () => {
    const node = new TestNode({ ...ROW, retries: 8 });
    const first = node.call("x");
    node.failAttempt(first.attemptId, true);
    const retry = node.findEffect("SendAttempt")!;
    expect([first, retry].map(({ context }) => context.isRepeat))
      .to.deep.equal([undefined, true]);
    const downstream = new TestNode(ROW);
    const contextHeader = encodeContext(retry.context);
    const call = downstream.call("y", { listener: "egress", contextHeader });
    expect(call.context.isRepeat).to.equal(true);
    expect(downstream.state.retryBudget.slices.map(({ firsts, retries }) => ({
      firsts,
      retries,
    }))).to.deep.equal([{ firsts: 0, retries: 1 }]);
  });

  it("are not marked as repeats if no backend server ran the first attempt", () => {
    const node = new TestNode({ ...ROW, retries: 8 });
    node.refuseAttempt(node.call("x").attemptId);
    expect(node.findEffect("SendAttempt")!.context.isRepeat).to.equal(
      undefined,
    );
  });
});
