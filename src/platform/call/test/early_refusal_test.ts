/** Entry nodes refuse early what the backend servers would refuse anyway. */
import { expect } from "chai";
import type { AdmissionLevel } from "../../admission/common/admission_level.ts";
import { LEVEL_TTL_MS } from "../../admission/common/level_view.ts";
import type { Announcement } from "../../membership/common/announcement.ts";
import type { VersionedRow } from "../../table/common/table_row.ts";
import { encodeContext } from "../common/call_context.ts";
import type { NodeEffect, NodeEvent } from "../common/call_events.ts";
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
  slots: 10,
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
const START_MS = 1_000_000;
const HIGH: AdmissionLevel = { importance: 5, hash: 0 };

/** A node with one backend server to call, fed event by event. */
class EntryNode {
  #state: NodeState = createNodeState(SELF, "127.0.0.1:3");
  nowMs = START_MS;
  #count = 0;

  constructor() {
    const table = { version: 1, rows: [ROW, TRANSFER] };
    this.send({ type: "TableReceived", table, isConfirmed: true });
    const { service } = MEMBER;
    this.send({ type: "MembersListed", service, members: [MEMBER] });
  }

  send(event: NodeEvent): readonly NodeEffect[] {
    const { state, effects } = reduceNode(this.#state, event, this.nowMs);
    this.#state = state;
    return effects;
  }

  call(path: string, contextHeader?: string): readonly NodeEffect[] {
    this.#count += 1;
    return this.send({
      type: "CallReceived",
      exchangeId: `call-${this.#count}`,
      listener: contextHeader === undefined ? "edge" : "egress",
      method: "GET",
      path,
      contextHeader,
      bodyBytes: 0,
      isReplayable: true,
    });
  }

  answer(effects: readonly NodeEffect[], level?: AdmissionLevel): void {
    const sent = effects.find((effect) => effect.type === "SendAttempt")!;
    const answer = {
      status: 200,
      outcome: "ran",
      tokens: 0,
      isDraining: false,
      level,
    } as const;
    const { attemptId } = sent;
    this.send({ type: "AttemptAnswered", attemptId, answer });
    this.send({ type: "AttemptEnded", attemptId });
  }
}

function listTypes(effects: readonly NodeEffect[]): readonly string[] {
  return effects.map((effect) =>
    effect.type === "RecordEvent" ? effect.event.type : effect.type
  );
}

describe("early refusal", () => {
  it("refuses a call under the level as not run, with a time", () => {
    const node = new EntryNode();
    node.answer(node.call("/bales"), HIGH);
    const effects = node.call("/bales");
    const answer = effects.find((effect) => effect.type === "AnswerCall")!;
    expect(listTypes(effects)).not.to.include("SendAttempt");
    expect(listTypes(effects)).to.include("CallRefused");
    expect(answer.status).to.equal(503);
    expect(answer.headers["basilpin-outcome"]).to.equal("not-run");
    expect(Number(answer.headers["retry-after"])).to.be.greaterThan(0);
  });

  it("lets more important calls and invested work through", () => {
    const node = new EntryNode();
    node.answer(node.call("/bales"), HIGH);
    expect(listTypes(node.call("/move"))).to.include("SendAttempt");
    const child = encodeContext({
      rootId: "root",
      attemptId: "parent",
      importance: 3,
      admissionHash: 0,
      depth: 1,
      remainingMs: 500,
      retryTokens: 0,
    });
    expect(listTypes(node.call("/bales", child))).to.include("SendAttempt");
  });

  it("ends once an answer names no level, or none has come for a time", () => {
    const node = new EntryNode();
    node.answer(node.call("/bales"), HIGH);
    node.answer(node.call("/move"));
    expect(listTypes(node.call("/bales"))).to.include("SendAttempt");
    node.answer(node.call("/move"), HIGH);
    expect(listTypes(node.call("/bales"))).to.include("CallRefused");
    node.nowMs += LEVEL_TTL_MS;
    expect(listTypes(node.call("/bales"))).to.include("SendAttempt");
  });
});
