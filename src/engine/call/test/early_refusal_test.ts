/** Entry nodes refuse calls early that the called nodes would refuse anyway. */
import { expect } from "chai";
import type { AdmissionLevel } from "../../admission/common/admission_level.ts";
import { LEVEL_TTL_MS } from "../../admission/common/level_view.ts";
import type { Announcement } from "../../membership/common/announcement.ts";
import type { VersionedRow } from "../../table/common/table_row.ts";
import { encodeContext, LEVEL_HEADER } from "../common/call_context.ts";
import type { Listener, NodeEffect, NodeEvent } from "../common/call_events.ts";
import { reduceNode } from "../common/node_reducer.ts";
import { createNodeState } from "../common/node_state.ts";
import type { NodeState } from "../common/node_state.ts";

const SELF: Announcement = {
  nodeId: "custody-1",
  incarnation: 1,
  sequence: 0,
  service: "custody",
  dataCentre: "kenitra-a",
  region: "ma-north",
  vm: "vm-1",
  ingress: "127.0.0.1:1",
  operator: "127.0.0.1:2",
  slots: 1,
  connections: 10,
  isDraining: false,
};
const MEMBER = { ...SELF, nodeId: "provenance-1", service: "provenance" };
const ROW: VersionedRow = {
  kind: "lookup",
  service: "provenance",
  method: "GET",
  path: "/bales",
  weight: 1,
  importance: 3,
  concurrency: 10,
  rate: 1_000,
  queue: 10,
  timeoutMs: 1_000,
  retries: 1,
  idempotent: true,
  key: "none",
  maxBodyBytes: 10,
  version: 1,
};
const TRANSFER = { ...ROW, kind: "transfer", path: "/move", importance: 9 };
const HOLD = { ...ROW, kind: "hold", service: "custody", path: "/hold" };
const START_MS = 1_000_000;
const HIGH_LEVEL: AdmissionLevel = { importance: 5, hash: 0 };

/** A node that calls one other node; the test applies its events. */
class EntryNode {
  #state: NodeState = createNodeState(SELF, "127.0.0.1:3");
  nowMs = START_MS;
  /** Level header of the last relayed answer. */
  levelHeader: string | undefined;
  #count = 0;

  constructor() {
    const table = { version: 1, rows: [ROW, TRANSFER, HOLD] };
    this.apply({ type: "TableReceived", table, isConfirmed: true });
    const { service } = MEMBER;
    this.apply({ type: "MembersListed", service, members: [MEMBER] });
  }

  apply(event: NodeEvent): readonly NodeEffect[] {
    const { state, effects } = reduceNode(this.#state, event, this.nowMs);
    this.#state = state;
    return effects;
  }

  /** Receives a call at the edge, or on egress with a context. */
  call(path: string, contextHeader?: string): readonly NodeEffect[] {
    const listener = contextHeader === undefined ? "edge" : "egress";
    return this.#receive(listener, path, contextHeader);
  }

  #receive(
    listener: Listener,
    path: string,
    contextHeader: string | undefined,
  ): readonly NodeEffect[] {
    this.#count += 1;
    return this.apply({
      type: "CallReceived",
      exchangeId: `call-${this.#count}`,
      listener,
      method: "GET",
      path,
      contextHeader,
      bodyBytes: 0,
      isReplayable: true,
    });
  }

  /** Answers the attempt that `effects` sends. */
  answerAttempt(effects: readonly NodeEffect[], level?: AdmissionLevel): void {
    const sent = effects.find((effect) => effect.type === "SendAttempt")!;
    const answer = {
      status: 200,
      outcome: "ran",
      tokens: 0,
      isDraining: false,
      level,
    } as const;
    const { attemptId } = sent;
    const relayed = this.apply({ type: "AttemptAnswered", attemptId, answer });
    const relay = relayed.find((effect) => effect.type === "RelayAnswer");
    this.levelHeader = relay?.headers[LEVEL_HEADER];
    this.apply({ type: "AttemptEnded", attemptId });
  }

  /** Receives a call of another node for the local backend server. */
  serve(
    path: string,
    attemptId: string,
    importance = 3,
  ): readonly NodeEffect[] {
    const context = createContext(attemptId, importance);
    return this.#receive("ingress", path, context);
  }
}

function createContext(attemptId: string, importance = 3): string {
  return encodeContext({
    rootId: "root",
    attemptId,
    importance,
    admissionHash: 0,
    depth: 1,
    remainingMs: 500,
    retryTokens: 0,
  });
}

function listTypes(effects: readonly NodeEffect[]): readonly string[] {
  return effects.map((effect) =>
    effect.type === "RecordEvent" ? effect.event.type : effect.type
  );
}

describe("early refusal", () => {
  it("refuses a call below the admission level as not run, with Retry-After", () => {
    const node = new EntryNode();
    node.answerAttempt(node.call("/bales"), HIGH_LEVEL);
    const effects = node.call("/bales");
    const answer = effects.find((effect) => effect.type === "AnswerCall")!;
    expect(listTypes(effects)).not.to.include("SendAttempt");
    expect(listTypes(effects)).to.include("CallRefused");
    expect(answer.status).to.equal(503);
    expect(answer.headers["basilpin-outcome"]).to.equal("not-run");
    expect(Number(answer.headers["retry-after"])).to.be.greaterThan(0);
  });

  it("sends more important calls and those made for a running request", () => {
    const node = new EntryNode();
    node.answerAttempt(node.call("/bales"), HIGH_LEVEL);
    expect(listTypes(node.call("/move"))).to.include("SendAttempt");
    const contextHeader = createContext("parent");
    expect(listTypes(node.call("/bales", contextHeader))).to.include(
      "SendAttempt",
    );
  });

  it("reports the level of a downstream service for the kind that calls it", () => {
    const node = new EntryNode();
    node.answerAttempt(node.serve("/hold", "parent-1"));
    expect(node.levelHeader).to.equal(undefined);
    const parent = node.serve("/hold", "parent-2");
    node.answerAttempt(
      node.call("/bales", createContext("parent-2")),
      HIGH_LEVEL,
    );
    node.answerAttempt(parent);
    expect(node.levelHeader).to.equal("i=5, h=0");
    node.nowMs += LEVEL_TTL_MS;
    node.answerAttempt(node.serve("/hold", "parent-3"));
    expect(node.levelHeader).to.equal(undefined);
  });

  it("ends once an answer carries no level, or the last level has expired", () => {
    const node = new EntryNode();
    const open = [node.call("/bales"), node.call("/bales")];
    node.answerAttempt(node.call("/bales"), HIGH_LEVEL);
    // Both attempts were sent before the level rose.
    const [early, later] = open;
    node.answerAttempt(early!);
    expect(listTypes(node.call("/bales"))).to.include("SendAttempt");
    node.answerAttempt(later!, HIGH_LEVEL);
    expect(listTypes(node.call("/bales"))).to.include("CallRefused");
    node.nowMs += LEVEL_TTL_MS;
    expect(listTypes(node.call("/bales"))).to.include("SendAttempt");
  });
});

describe("refusal of a served attempt", () => {
  it("answers what is displaced in the same step, as not run", () => {
    const node = new EntryNode();
    for (let n = 0; n < 5; n += 1) {
      node.serve("/hold", `low-${n}`);
    }
    const effects = node.serve("/hold", "high", 9);
    const answer = effects.find((effect) => effect.type === "AnswerCall")!;
    expect(answer.status).to.equal(503);
    expect(answer.headers["basilpin-outcome"]).to.equal("not-run");
    expect(Number(answer.headers["retry-after"])).to.be.within(1, 10);
    const records = effects.filter((effect) => effect.type === "RecordEvent");
    expect(records.map(({ event }) => event)).to.deep.include({
      type: "AttemptRefused",
      requestId: "root",
      attemptId: "low-4",
      kind: "hold",
      importance: 3,
      reason: "displaced",
    });
  });

  it("answers 429 above the rate limit of a row", () => {
    const node = new EntryNode();
    const answers = Array.from({ length: 300 }, (_, n) => {
      const id = `served-${n}`;
      const effects = node.serve("/hold", id);
      if (effects.some((effect) => effect.type === "SendAttempt")) {
        node.answerAttempt(effects);
      }
      return effects.find((effect) => effect.type === "AnswerCall");
    });
    const refused = answers.filter((answer) => answer !== undefined);
    // The burst allowance is the rate of a quarter of a second.
    expect(refused).to.have.length(50);
    expect(refused.map(({ status }) => status)).to.include.members([429]);
  });
});
