/**
 * Usage of workspaces: added up by replicas, which send shares to their nodes.
 */
import { expect } from "chai";
import type { OutboundMessage } from "../../link/common/link_messages.ts";
import { createAnnouncement } from "../../membership/test/replicas.ts";
import { DEFAULT_LIMITS } from "../../routes/common/route_table.ts";
import { INITIAL_TABLE_STATE } from "../../table/common/table_reducer.ts";
import type { WorkspaceUsage } from "../../workspaces/common/quota_shares.ts";
import { reduceControl } from "../common/control_reducer.ts";
import { createControl } from "../common/control_state.ts";
import { createWorkspaceReports } from "../common/workspace_report.ts";
import type { ControlEvent, ControlState } from "../common/control_state.ts";

const DIGEST = "digest-of-a-key";
const TERMS = { windowMs: 5_000, overage: 0.1, slack: 20 };
const MILL = {
  name: "mill",
  keyDigests: [DIGEST],
  rank: undefined,
  ratePerSecond: 100,
  burst: 100,
};
const TICK_MS = 500;
const WARMED_UP_MS = 3_000;

function createUsage(asked: number): WorkspaceUsage {
  return {
    name: "mill",
    asked,
    askedLately: asked * 0.4,
    passed: asked,
    letIn: asked,
  };
}

/** A replica with two nodes, and the last update of shares sent to them. */
class UsageRun {
  nowMs = 1_000_000;
  state: ControlState;
  lastUpdate: OutboundMessage | undefined;
  readonly digests: unknown[] = [];

  constructor() {
    const table = {
      version: 1,
      routes: [],
      limits: DEFAULT_LIMITS,
      workspaces: [MILL],
    };
    const state = createControl("a", this.nowMs, TERMS);
    const document = { table, source: "" };
    const tableState = { ...INITIAL_TABLE_STATE, document };
    this.state = { ...state, tableState };
    [1, 2].forEach((linkId) => this.link(linkId));
  }

  link(linkId: number): void {
    this.dispatch({
      type: "NodeMessageReceived",
      linkId,
      message: {
        type: "Announce",
        announcement: createAnnouncement(`n-${linkId}`),
        linkNumber: 1,
        tableVersion: 0,
        routesVersion: 1,
      },
    });
  }

  dispatch(event: ControlEvent): void {
    const step = reduceControl(this.state, event, this.nowMs);
    this.state = step.state;
    for (const effect of step.effects) {
      if (
        effect.type === "SendToLink" && effect.message.type === "SharesUpdate"
      ) {
        this.lastUpdate = effect.message;
      } else if (
        effect.type === "SendToReplicas" &&
        effect.message.type === "UsageDigest"
      ) {
        this.digests.push(effect.message);
      }
    }
  }

  /** Advances the clock while both nodes report the same usage. */
  advance(ms: number, asked: number): void {
    const endMs = this.nowMs + ms;
    const usages = asked === 0 ? [] : [createUsage(asked)];
    while (this.nowMs < endMs) {
      this.nowMs += TICK_MS;
      for (const linkId of [1, 2]) {
        const message = { type: "UsageReport", usages } as const;
        this.dispatch({ type: "NodeMessageReceived", linkId, message });
      }
      this.dispatch({ type: "Ticked" });
    }
  }

  /** Receives a digest of the usage at another replica's nodes. */
  receiveDigest(asked: number): void {
    this.dispatch({
      type: "PresenceReceived",
      channel: { type: "Dialled", replica: "b" },
      message: {
        type: "UsageDigest",
        owner: "b",
        usages: [createUsage(asked)],
        nodes: 3,
      },
    });
  }
}

describe("the usage of workspaces", () => {
  it("results in shares once a replica can know the total usage", () => {
    const run = new UsageRun();
    run.advance(WARMED_UP_MS / 2, 2_000);
    expect(run.lastUpdate).to.equal(undefined);
    run.advance(WARMED_UP_MS, 2_000);
    expect(run.lastUpdate).to.have.property("nodes", 2);
    expect(run.lastUpdate).to.have.nested.property("shares[0][0]", "mill");
    expect(run.lastUpdate).to.have.nested.property("shares[0][1]")
      .within(0.03, 0.2);
  });

  it("includes the usage reported by other replicas", () => {
    const run = new UsageRun();
    run.advance(WARMED_UP_MS, 250);
    expect(run.lastUpdate).to.have.property("shares").with.length(0);
    run.receiveDigest(600);
    run.advance(TICK_MS, 250);
    expect(run.lastUpdate).to.have.property("nodes", 5);
    expect(run.lastUpdate).to.have.nested.property("shares[0][1]").below(1);
  });

  it("is reported to operators, without keys", () => {
    const run = new UsageRun();
    run.advance(WARMED_UP_MS, 2_000);
    const [report] = createWorkspaceReports(run.state, run.nowMs);
    expect(report).to.include({
      name: "mill",
      keys: 1,
      rank: null,
      ratePerSecond: 100,
      asked: 4_000,
    });
    expect(report!.share).to.be.below(0.2);
    expect(JSON.stringify(report)).not.to.contain(DIGEST);
  });

  it("is no longer counted once its reporter is silent", () => {
    const run = new UsageRun();
    run.receiveDigest(2_000);
    run.advance(WARMED_UP_MS, 100);
    run.advance(WARMED_UP_MS, 100);
    expect(run.lastUpdate).to.have.property("shares").with.length(0);
  });

  it("isn't sent to other replicas while it is far below the limit", () => {
    const run = new UsageRun();
    run.receiveDigest(0);
    run.advance(TICK_MS, 20);
    expect(run.digests.at(-1)).to.have.property("usages").with.length(0);
    run.advance(TICK_MS, 100);
    expect(run.digests.at(-1)).to.have.property("usages").with.length(1);
  });
});
