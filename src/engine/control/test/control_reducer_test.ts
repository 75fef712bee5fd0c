/**
 * The reducer of a control replica: pushed tables, subscribers, drains,
 * reports.
 */
import { expect } from "chai";
import type {
  NodeMessage,
  OutboundMessage,
} from "../../link/common/link_messages.ts";
import { WARM_UP_MS } from "../../membership/common/membership_state.ts";
import { createAnnouncement } from "../../membership/test/replicas.ts";
import { applyTableDelta } from "../../table/common/table_delta.ts";
import { EMPTY_TABLE } from "../../table/common/table_row.ts";
import type { Table, TableRow } from "../../table/common/table_row.ts";
import { applyEdit } from "../../table/common/table_reducer.ts";
import { createControlReport } from "../common/control_report.ts";
import { reduceControl } from "../common/control_reducer.ts";
import { createControl } from "../common/control_state.ts";
import type {
  ControlEffect,
  ControlEvent,
  ControlState,
} from "../common/control_state.ts";
import { updateHolders } from "../common/holders.ts";
import { ACK_TIMEOUT_MS, MAX_RECENT_TABLES } from "../common/table_push.ts";
import { Replicas } from "./replicas.ts";

const ROW: TableRow = {
  kind: "lookup",
  service: "provenance",
  method: "GET",
  path: "/bales/*",
  weight: 1,
  importance: 5,
  concurrency: 10,
  rate: 100,
  queue: 10,
  timeoutMs: 1_000,
  retries: 1,
  idempotent: true,
  key: "none",
  maxBodyBytes: 1_000,
};

/** A replica, and all its effects. */
class ControlRun {
  nowMs = 1_000_000;
  state: ControlState = {
    ...createControl("control-a", this.nowMs),
    isTableConfirmed: true,
  };
  effects: ControlEffect[] = [];

  dispatch(event: ControlEvent): readonly ControlEffect[] {
    const step = reduceControl(this.state, event, this.nowMs);
    this.state = step.state;
    this.effects.push(...step.effects);
    return step.effects;
  }

  /** Receives a message of a node; returns the messages sent on links. */
  receive(linkId: number, message: NodeMessage): readonly OutboundMessage[] {
    const event = { type: "NodeMessageReceived", linkId, message } as const;
    return this.dispatch(event).flatMap((effect) =>
      effect.type === "SendToLink" ? [effect.message] : []
    );
  }

  announce(linkId: number, nodeId: string, tableVersion = 0) {
    const announcement = createAnnouncement(nodeId);
    return this.receive(linkId, {
      type: "Announce",
      announcement,
      linkNumber: 1,
      tableVersion,
    });
  }

  sendHeartbeat(linkId: number, tableVersion: number) {
    return this.receive(linkId, { type: "Heartbeat", tableVersion });
  }

  /** Makes a node the holder of its service. */
  proposeHolder(nodeId: string): readonly ControlEffect[] {
    const { service, incarnation, dataCentre, ingress } = createAnnouncement(
      nodeId,
    );
    const holders = updateHolders(this.state.holders, {
      type: "HolderSetProposed",
      service,
      members: [{ nodeId, incarnation, dataCentre, ingress }],
      fromEpoch: this.state.holders.get(service)?.lastEpoch ?? 0,
    });
    return this.dispatch({ type: "HoldersReplaced", holders });
  }

  edit(weight: number): readonly ControlEffect[] {
    const fromVersion = this.state.tableState.table.rows[0]?.version ?? 0;
    const row = { ...ROW, weight };
    const { state: tableState } = applyEdit(this.state.tableState, {
      editId: `edit-${weight}`,
      operator: "operator",
      atMs: this.nowMs,
      change: { type: "PutRow", row, fromVersion },
    });
    return this.dispatch({
      type: "TableReplaced",
      tableState,
      isCurrent: true,
    });
  }
}

function applyMessage(table: Table, message: OutboundMessage): Table {
  switch (message.type) {
    case "TableUpdate":
      return message.table;
    case "TableChange":
      return applyTableDelta(table, message.delta) ?? table;
    default:
      return table;
  }
}

describe("table to the nodes", () => {
  it("sends every linked node the change only", () => {
    const run = new ControlRun();
    run.edit(1);
    run.announce(1, "n1");
    run.announce(2, "n2");
    const sent = run.edit(2).flatMap((effect) =>
      effect.type === "SendToLink" ? [effect] : []
    );
    expect(sent.map(({ linkId, message }) => [linkId, message.type]))
      .to.deep.equal([[1, "TableChange"], [2, "TableChange"]]);
    expect(sent[0]!.message).to.equal(sent[1]!.message);
  });

  it("brings a node at any version to the current table", () => {
    for (const behind of [1, 10, MAX_RECENT_TABLES, MAX_RECENT_TABLES + 5]) {
      const run = new ControlRun();
      const tables = [EMPTY_TABLE];
      for (let weight = 1; weight <= MAX_RECENT_TABLES + 10; weight++) {
        run.edit(weight);
        tables.push(run.state.tableState.table);
      }
      const from = tables.at(-1 - behind)!;
      const [message] = run.announce(1, "n1", from.version);
      expect(message!.type).to.equal(
        behind <= MAX_RECENT_TABLES ? "TableChange" : "TableUpdate",
      );
      expect(applyMessage(from, message!)).to.deep.equal(tables.at(-1));
    }
  });

  it("sends no table that is older than the node's", () => {
    const run = new ControlRun();
    run.edit(1);
    run.proposeHolder("n1");
    const types = run.announce(1, "n1", 9).map(({ type }) => type);
    // The holder sets have no version; they are sent on every new link.
    expect(types).to.deep.equal(["HolderSetUpdate"]);
  });

  it("repairs a change that the node doesn't confirm", () => {
    const run = new ControlRun();
    run.announce(1, "n1");
    run.edit(1);
    expect(run.sendHeartbeat(1, 0).map(({ type }) => type))
      .to.deep.equal(["HeartbeatAnswer"]);
    run.nowMs += ACK_TIMEOUT_MS;
    const [message] = run.sendHeartbeat(1, 0);
    expect(applyMessage(EMPTY_TABLE, message!).version).to.equal(1);
    run.nowMs += ACK_TIMEOUT_MS;
    expect(run.sendHeartbeat(1, 1).map(({ type }) => type))
      .to.deep.equal(["HeartbeatAnswer"]);
  });

  it("answers a node to whose table a delta didn't apply", () => {
    const run = new ControlRun();
    run.announce(1, "n1");
    run.edit(1);
    const [message] = run.receive(1, { type: "TableFetch", tableVersion: 0 });
    expect(applyMessage(EMPTY_TABLE, message!).version).to.equal(1);
  });
});

describe("the confirmation of the table", () => {
  it("is sent to every node, at once and with each answer to a heartbeat", () => {
    const run = new ControlRun();
    run.announce(1, "n1");
    run.edit(1);
    const { tableState } = run.state;
    const replace = (isCurrent: boolean) =>
      run.dispatch({ type: "TableReplaced", tableState, isCurrent });
    expect(replace(false)).to.deep.equal([{
      type: "SendToLink",
      linkId: 1,
      message: {
        type: "HeartbeatAnswer",
        isConfirmed: false,
        routesVersion: 0,
      },
    }]);
    expect(run.sendHeartbeat(1, 1)[0]).to.include({ isConfirmed: false });
    const [again] = replace(true);
    expect(again).to.deep.include({ type: "SendToLink", linkId: 1 });
    expect(run.sendHeartbeat(1, 1)[0]).to.include({ isConfirmed: true });
  });
});

describe("subscribers of a control replica", () => {
  it("are notified only of the services that they subscribe to", () => {
    const run = new ControlRun();
    run.receive(1, { type: "Subscribe", service: "provenance" });
    run.receive(2, { type: "Subscribe", service: "custody" });
    run.effects = [];
    run.announce(3, "n1");
    const links = run.effects.flatMap((effect) =>
      effect.type === "SendToLink" && effect.message.type === "MemberUpdate"
        ? [effect.linkId]
        : []
    );
    expect(links).to.deep.equal([1]);
  });

  it("are no longer notified once they unsubscribe", () => {
    const run = new ControlRun();
    run.receive(1, { type: "Subscribe", service: "provenance" });
    run.receive(1, { type: "Unsubscribe", service: "provenance" });
    const types = run.announce(3, "n1").map(({ type }) => type);
    expect(types).to.not.contain("MemberUpdate");
  });

  it("get a complete list once the replica is warm", () => {
    const run = new ControlRun();
    const list = run.receive(1, { type: "Subscribe", service: "provenance" });
    expect(list[0]).to.include({ type: "MemberList", isComplete: false });
    for (let elapsedMs = 0; elapsedMs <= WARM_UP_MS; elapsedMs += 250) {
      run.nowMs += 250;
      run.dispatch({ type: "Ticked" });
    }
    const lists = run.effects.flatMap((effect) =>
      effect.type === "SendToLink" && effect.message.type === "MemberList"
        ? [effect.message.isComplete]
        : []
    );
    expect(lists).to.deep.equal([false, true]);
  });
});

describe("drain orders", () => {
  it("reach a node that is linked to another replica", () => {
    const run = new ControlRun();
    const [relay] = run.dispatch({ type: "DrainOrdered", nodeId: "n1" });
    expect(relay).to.deep.equal({
      type: "SendToReplicas",
      message: { type: "DrainRelay", nodeId: "n1" },
    });
    const other = new ControlRun();
    other.announce(4, "n1");
    const [order] = other.dispatch({
      type: "PresenceReceived",
      channel: { type: "Accepted", linkId: 1 },
      message: { type: "DrainRelay", nodeId: "n1" },
    });
    expect(order).to.deep.equal({
      type: "SendToLink",
      linkId: 4,
      message: { type: "DrainOrder" },
    });
  });
});

describe("report of a control replica", () => {
  it("names silent nodes and nodes with an outdated table", () => {
    const run = new ControlRun();
    run.announce(1, "n1");
    run.announce(2, "n2");
    run.edit(1);
    run.nowMs += 3_500;
    run.sendHeartbeat(1, 1);
    const replicas = new Replicas(["a"]);
    replicas.start("a");
    const report = createControlReport(
      { control: run.state, replication: replicas.get("a") },
      run.nowMs,
    );
    expect(report.nodes.map((node) => [
      node.nodeId,
      node.tableVersion,
      node.isSilent,
    ])).to.deep.equal([["n1", 1, false], ["n2", 0, true]]);
  });
});
