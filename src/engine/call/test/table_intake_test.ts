/** Which tables a starting node activates. */
import { expect } from "chai";
import type { Table } from "../../table/common/table_row.ts";
import { reduceNode } from "../common/node_reducer.ts";
import { createNodeState } from "../common/node_state.ts";
import type { NodeState } from "../common/node_state.ts";
import { CONFIRMED_WAIT_MS } from "../common/table_intake.ts";

const SELF = {
  nodeId: "n",
  incarnation: 1,
  sequence: 0,
  service: "catalog",
  dataCentre: "hall-a",
  region: "dixie",
  vm: "vm",
  ingress: "127.0.0.1:1",
  operator: "127.0.0.1:2",
  slots: 1,
  connections: 1,
  isDraining: false,
};

function receive(
  state: NodeState,
  version: number,
  isConfirmed: boolean,
  nowMs: number,
): NodeState {
  const table: Table = { version, rows: [] };
  const event = { type: "TableReceived", table, isConfirmed } as const;
  return reduceNode(state, event, nowMs).state;
}

function describeTable({ table, isTableConfirmed }: NodeState): string {
  return `${table.version} ${isTableConfirmed ? "confirmed" : "unconfirmed"}`;
}

describe("table intake", () => {
  const start = createNodeState(SELF, "127.0.0.1:3");

  it("waits for a replica that is current", () => {
    const stale = receive(start, 5, false, 0);
    expect(describeTable(stale)).to.equal("0 unconfirmed");
    const current = receive(stale, 7, true, 100);
    expect(describeTable(current)).to.equal("7 confirmed");
    const later = reduceNode(current, { type: "Ticked" }, CONFIRMED_WAIT_MS);
    expect(describeTable(later.state)).to.equal("7 confirmed");
  });

  it("uses the highest version received if none is confirmed in time, as unconfirmed", () => {
    const first = receive(start, 5, false, 0);
    const second = receive(first, 7, false, 10);
    const third = receive(second, 6, false, 20);
    const timedOut = reduceNode(third, { type: "Ticked" }, CONFIRMED_WAIT_MS);
    expect(describeTable(timedOut.state)).to.equal("7 unconfirmed");
    const confirmed = receive(timedOut.state, 7, true, CONFIRMED_WAIT_MS + 1);
    expect(describeTable(confirmed)).to.equal("7 confirmed");
  });

  it("never goes to a lower version", () => {
    const high = receive(start, 9, true, 0);
    expect(describeTable(receive(high, 8, true, 1))).to.equal("9 confirmed");
  });
});
