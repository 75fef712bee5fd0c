/** What is retried, asked about and said of calls, on one node. */
import { expect } from "chai";
import type { AttemptStatusReply } from "../../peer/common/peer_messages.ts";
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

/** One node and what it did last. */
class Subject {
  state: NodeState;
  effects: readonly NodeEffect[] = [];
  nowMs = 1_000;

  constructor(row: VersionedRow, numbers: readonly number[] = [1, 2, 3]) {
    const members = numbers.map((number) => createMember(number));
    this.state = createNode(createMember(0), row, members);
  }

  step(event: NodeEvent, afterMs = 0): void {
    this.nowMs += afterMs;
    const step = reduceNode(this.state, event, this.nowMs);
    this.state = step.state;
    this.effects = step.effects;
  }

  find<T extends NodeEffect["type"]>(
    type: T,
  ): Extract<NodeEffect, { type: T }> | undefined {
    return this.effects.find((effect) => effect.type === type) as
      | Extract<NodeEffect, { type: T }>
      | undefined;
  }

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
    return this.find("SendAttempt")!;
  }

  fail(attemptId: string, isSent: boolean): void {
    this.step({ type: "AttemptFailed", attemptId, isSent, reason: "fault" });
  }

  refuse(attemptId: string): void {
    const answer = { ...REFUSED, isDraining: false };
    this.step({ type: "AttemptAnswered", attemptId, answer });
  }

  reply(attemptId: string, found: AttemptStatusReply | undefined): void {
    const requestId = `attempts:${attemptId}`;
    const reply = found === undefined
      ? undefined
      : { type: "AttemptsFound", found: [found] } as const;
    this.step({ type: "PeerReplied", requestId, reply });
  }

  get outcome(): CallOutcome | undefined {
    const headers = this.find("AnswerCall")?.headers ??
      this.find("RelayAnswer")?.headers;
    return headers?.["basilpin-outcome"] as CallOutcome | undefined;
  }
}

const FENCED: AttemptStatusReply = { type: "AttemptFenced" };
const FORGOTTEN: AttemptStatusReply = { type: "AttemptForgotten" };
const RUNNING: AttemptStatusReply = { type: "AttemptKnown", phase: "running" };
const ENDED: AttemptStatusReply = { type: "AttemptKnown", phase: "ended" };

describe("a non-idempotent attempt that failed after it was sent", () => {
  it("is asked about on a new connection, and retried once fenced", () => {
    const node = new Subject(TRANSFER);
    const first = node.call("x");
    node.fail(first.attemptId, true);
    const ask = node.find("AskPeer")!;
    expect(ask.isFresh).to.equal(true);
    expect(ask.address).to.equal(first.address);
    expect(ask.message).to.deep.equal({
      type: "FenceAttempts",
      incarnation: 1,
      attempts: [{ attemptId: first.attemptId, ageMs: 0 }],
    });
    expect(node.find("SendAttempt")).to.equal(undefined);
    node.reply(first.attemptId, FENCED);
    expect(node.find("SendAttempt")!.address).to.not.equal(first.address);
  });

  for (const reply of [ENDED, RUNNING, FORGOTTEN, undefined]) {
    it(`is unknown after ${JSON.stringify(reply) ?? "no reply"}`, () => {
      const node = new Subject(TRANSFER);
      const { attemptId } = node.call("x");
      node.fail(attemptId, true);
      node.reply(attemptId, reply);
      expect(node.find("SendAttempt")).to.equal(undefined);
      expect(node.outcome).to.equal("unknown");
      expect(node.state.entries.size).to.equal(0);
    });
  }

  it("is retried without a question where no byte was written", () => {
    const node = new Subject(TRANSFER);
    const first = node.call("x");
    node.fail(first.attemptId, false);
    expect(node.find("AskPeer")).to.equal(undefined);
    expect(node.find("SendAttempt")!.address).to.not.equal(first.address);
  });
});

describe("the outcome of a call", () => {
  it("is not-run, with Retry-After, only if every attempt was", () => {
    const node = new Subject(TRANSFER);
    for (const _ of [1, 2, 3]) {
      const { attemptId } = node.state.entries.get("x")?.attempt ??
        node.call("x");
      node.refuse(attemptId);
    }
    expect(node.outcome).to.equal("not-run");
    expect(node.find("AnswerCall")!.headers["retry-after"]).to.equal("1");
  });

  it("stays unknown where a refusal follows a lost attempt", () => {
    const node = new Subject({ ...ROW, retries: 2 });
    const first = node.call("x");
    node.fail(first.attemptId, true);
    const second = node.find("SendAttempt")!;
    expect(second.attemptId).to.not.equal(first.attemptId);
    node.refuse(second.attemptId);
    expect(node.outcome).to.equal("unknown");
  });

  it("is unknown at the deadline of an attempt that is out", () => {
    const node = new Subject(TRANSFER);
    const { attemptId } = node.call("x");
    node.step(
      { type: "TimerFired", key: { owner: "entry", id: "x" } },
      ROW.timeoutMs,
    );
    expect(node.outcome).to.equal("unknown");
    expect(node.find("AbortAttempt")!.attemptId).to.equal(attemptId);
  });

  it("is not-run at the deadline of a local attempt in the queue", () => {
    const node = new Subject({ ...TRANSFER, concurrency: 1 }, [0]);
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
  it("is left alone for as long as its receiver says that it runs", () => {
    const node = new Subject(TRANSFER);
    const { attemptId } = node.call("x");
    let asks = 0;
    for (let i = 0; i < 300; i++) {
      node.step({ type: "Ticked" }, 100);
      if (node.find("AskPeer") !== undefined) {
        asks += 1;
        node.reply(attemptId, RUNNING);
        expect(node.effects).to.deep.equal([]);
      }
    }
    expect(asks).to.be.within(25, 30);
    expect(node.state.entries.has("x")).to.equal(true);
  });

  it("is asked about together with others at its receiver", () => {
    const node = new Subject(TRANSFER, [1, 2]);
    const sent = ["a", "b", "c", "d"].map((id) => node.call(id));
    node.step({ type: "Ticked" }, 600);
    node.call("late");
    node.step({ type: "Ticked" }, 400);
    const asked = node.effects.flatMap((effect) =>
      effect.type === "AskPeer" && effect.message.type === "FenceAttempts"
        ? effect.message.attempts.map(({ attemptId }) => [
          attemptId,
          effect.address,
        ])
        : []
    );
    expect(asked).to.have.deep.members(
      sent.map(({ attemptId, address }) => [attemptId, address]),
    );
    const receivers = new Set(sent.map(({ address }) => address));
    expect(node.effects.length).to.equal(receivers.size);
  });

  it("is retried on new connections once it is fenced", () => {
    const node = new Subject(TRANSFER, [1]);
    const first = node.call("x");
    node.step({ type: "Ticked" }, 1_000);
    expect(node.find("AskPeer")!.isFresh).to.equal(true);
    node.reply(first.attemptId, FENCED);
    expect(node.effects.map(({ type }) => type)).to.deep.equal([
      "AbortAttempt",
      "DropConnections",
      "RecordEvent",
      "SendAttempt",
    ]);
  });

  for (const reply of [ENDED, undefined]) {
    const name = reply === undefined ? "no reply" : "an answer that is lost";
    it(`is unknown after ${name}, twice`, () => {
      const node = new Subject(TRANSFER);
      const { attemptId } = node.call("x");
      node.step({ type: "Ticked" }, 1_000);
      node.reply(attemptId, reply);
      expect(node.effects).to.deep.equal([]);
      node.step({ type: "Ticked" }, 300);
      node.reply(attemptId, reply);
      expect(node.outcome).to.equal("unknown");
      expect(node.find("DropConnections")).to.not.equal(undefined);
      expect(node.find("SendAttempt")).to.equal(undefined);
    });
  }
});

describe("a relayed answer that stands still", () => {
  function relay(): Subject {
    const node = new Subject(TRANSFER);
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

  it("is cut, never ended, once its receiver is done", () => {
    for (const phase of ["ended", "blocked"] as const) {
      const node = relay();
      const attemptId = "x.1";
      for (const isNew of [true, false]) {
        node.step({ type: "AnswerQuiet", attemptId, isNew });
        expect(node.find("AskPeer")!.isFresh).to.equal(true);
        node.reply(attemptId, { type: "AttemptKnown", phase });
      }
      expect(node.find("DropExchange")!.exchangeId).to.equal("x");
      expect(node.state.entries.size).to.equal(0);
    }
  });

  it("goes on where its backend server is slow", () => {
    const node = relay();
    const attemptId = "x.1";
    for (let i = 0; i < 20; i++) {
      node.step({ type: "AnswerQuiet", attemptId, isNew: i === 0 });
      node.reply(attemptId, { type: "AttemptKnown", phase: "relaying" });
      expect(node.effects).to.deep.equal([]);
    }
  });
});

describe("the receiver of an attempt", () => {
  function receive(node: Subject, attemptId: string): void {
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

  function ask(
    node: Subject,
    attemptId: string,
    incarnation = 1,
  ): AttemptStatusReply {
    const message = {
      type: "FenceAttempts",
      incarnation,
      attempts: [{ attemptId, ageMs: 100 }],
    } as const;
    node.step({ type: "PeerAsked", askId: 1, message }, 10_000);
    const { reply } = node.find("AnswerPeer")!;
    if (reply.type !== "AttemptsFound") {
      throw new Error(`Unexpected reply ${reply.type}`);
    }
    return reply.found[0]!;
  }

  it("never runs an attempt that it has fenced", () => {
    const node = new Subject(TRANSFER);
    expect(ask(node, "a")).to.deep.equal(FENCED);
    receive(node, "a");
    expect(node.find("SendAttempt")).to.equal(undefined);
    expect(node.outcome).to.equal("not-run");
  });

  it("proves nothing about an earlier process at its address", () => {
    const node = new Subject(TRANSFER);
    expect(ask(node, "a", 0)).to.deep.equal(FORGOTTEN);
  });

  it("tells a run from a refusal, and runs no attempt id twice", () => {
    const node = new Subject(TRANSFER);
    receive(node, "a");
    expect(ask(node, "a")).to.deep.equal(RUNNING);
    receive(node, "a");
    expect(node.find("SendAttempt")).to.equal(undefined);
    expect(node.outcome).to.equal("unknown");
    node.fail("a", true);
    // It ends once it is known whether the backend server died.
    expect(ask(node, "a")).to.deep.equal(RUNNING);
    node.step({ type: "BackendProbed", isAlive: true });
    expect(ask(node, "a")).to.deep.equal(ENDED);
    receive(node, "a");
    expect(node.outcome).to.equal("unknown");
  });
});

describe("an attempt whose backend server does not answer in time", () => {
  for (const isOtherHeard of [false, true]) {
    const not = isOtherHeard ? "does not replace" : "replaces";
    const when = isOtherHeard ? "another was" : "no other was";
    it(`${not} the connections to it where ${when} answered`, () => {
      const node = new Subject(TRANSFER, [0]);
      const { attemptId } = node.call("x");
      const other = node.call("other");
      if (isOtherHeard) {
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
      expect(node.find("AbortAttempt")!.attemptId).to.equal(attemptId);
      expect(node.find("DropConnections")?.address)
        .to.equal(isOtherHeard ? undefined : node.state.backendAddress);
      expect(node.outcome).to.equal("unknown");
    });
  }
});

describe("cancellation", () => {
  it("of a call reaches the calls that its backend server made", () => {
    const node = new Subject(ROW, [0]);
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
    expect(node.find("DropExchange")!.exchangeId).to.equal("child");
    expect(node.state.entries.size).to.equal(0);
    expect(node.state.served.size).to.equal(0);
    expect(node.state.admission.running.size).to.equal(0);
    expect(node.state.childrenOf.size).to.equal(0);
  });
});

describe("a node's retries", () => {
  it("stay a small share of its first attempts", () => {
    const node = new Subject({ ...ROW, retries: 8 });
    let firsts = 0;
    let retries = 0;
    for (let i = 0; i < 500; i++) {
      let attempt: SendAttempt | undefined = node.call(`x${i}`);
      firsts += 1;
      while (attempt !== undefined) {
        node.refuse(attempt.attemptId);
        attempt = node.find("SendAttempt");
        retries += attempt === undefined ? 0 : 1;
      }
    }
    expect(retries).to.equal(BUDGET_FLOOR + BUDGET_SHARE * firsts);
  });

  // Guards services below against repeats that widen the budgets there.
  it("carry on that they repeat a run, and what that calls widens nothing", () => {
    const node = new Subject({ ...ROW, retries: 8 });
    const first = node.call("x");
    node.fail(first.attemptId, true);
    const retry = node.find("SendAttempt")!;
    expect([first, retry].map(({ context }) => context.isRepeat))
      .to.deep.equal([undefined, true]);
    const below = new Subject(ROW);
    const contextHeader = encodeContext(retry.context);
    const called = below.call("y", { listener: "egress", contextHeader });
    expect(called.context.isRepeat).to.equal(true);
    expect(below.state.retryBudget.slices.map(({ firsts, retries }) => ({
      firsts,
      retries,
    }))).to.deep.equal([{ firsts: 0, retries: 1 }]);
  });

  it("of what no backend server ran are no repeats of a run", () => {
    const node = new Subject({ ...ROW, retries: 8 });
    node.refuse(node.call("x").attemptId);
    expect(node.find("SendAttempt")!.context.isRepeat).to.equal(undefined);
  });
});
