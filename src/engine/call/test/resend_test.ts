/** Resends by a caller, received on the edge listener of a node. */
import { expect } from "chai";
import { RESEND_FLOOR } from "../../retry/common/resend_budget.ts";
import type { VersionedRow } from "../../table/common/table_row.ts";
import type { CallReceived, NodeEffect } from "../common/call_events.ts";
import { reduceNode } from "../common/node_reducer.ts";
import { createMember, createNode, ROW } from "./node_network.ts";

const START_MS = 1_000_000;
const KEYED = { requestKey: { key: "k", fingerprint: "f" } };
const WITH_ID = { requestId: "/any r-1" };

/** Receives `count` calls at a new node; returns the effects of each. */
function receiveAll(
  count: number,
  change: Partial<CallReceived>,
  row: VersionedRow = ROW,
): readonly (readonly NodeEffect[])[] {
  let state = createNode(createMember(0), row, [createMember(1)]);
  return Array.from({ length: count }, (_, n) => {
    const step = reduceNode(state, {
      type: "CallReceived",
      exchangeId: `x${n}`,
      listener: "edge",
      method: "GET",
      path: "/any",
      contextHeader: undefined,
      bodyBytes: 0,
      isReplayable: true,
      caller: "a",
      ...change,
    }, START_MS);
    state = step.state;
    return step.effects;
  });
}

function findAnswer(effects: readonly NodeEffect[]) {
  return effects.find((effect) => effect.type === "AnswerCall");
}

function countAttempts(steps: readonly (readonly NodeEffect[])[]): number {
  return steps.flat().filter(({ type }) => type === "SendAttempt").length;
}

describe("a caller's resends at the edge", () => {
  it("go on within the budget, then are refused at once, with a time", () => {
    const steps = receiveAll(RESEND_FLOOR + 2, WITH_ID);
    expect(countAttempts(steps)).to.equal(RESEND_FLOOR + 1);
    const effects = steps.at(-1)!;
    const answer = findAnswer(effects)!;
    expect(answer.status).to.equal(429);
    expect(answer.headers["basilpin-outcome"]).to.equal("not-run");
    expect(Number(answer.headers["retry-after"])).to.be.greaterThan(0);
    expect(effects).to.deep.include({
      type: "RecordEvent",
      event: {
        type: "CallRefused",
        requestId: `x${RESEND_FLOOR + 1}`,
        kind: ROW.kind,
        importance: ROW.importance,
        reason: "resend",
      },
    });
  });

  it("are never refused if they request the answer of an idempotency key", () => {
    const row: VersionedRow = { ...ROW, idempotent: false, key: "required" };
    const count = 10 * RESEND_FLOOR;
    expect(countAttempts(receiveAll(count, KEYED, row))).to.equal(count);
  });

  const CALL_COUNT = 50;
  it("are not detected without a request id or without a caller", () => {
    expect(countAttempts(receiveAll(CALL_COUNT, {}))).to.equal(CALL_COUNT);
    const egressCall = {
      ...WITH_ID,
      listener: "egress",
      caller: undefined,
    } as const;
    const steps = receiveAll(CALL_COUNT, egressCall);
    expect(countAttempts(steps)).to.equal(CALL_COUNT);
  });
});
