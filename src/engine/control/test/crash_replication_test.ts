/** Evidence against requests at three control replicas. */
import { expect } from "chai";
import type { OutboundMessage } from "../../link/common/link_messages.ts";
import type { CrashReport } from "../../quarantine/common/crash_messages.ts";
import { createAnnouncement } from "../../relay/test/announcements.ts";
import {
  createOrderCommand,
  listCrashRows,
  updateCrashes,
} from "../common/crash_records.ts";
import {
  decodeCommand,
  decodeReplicated,
  encodeCommand,
  encodeReplicated,
  INITIAL_REPLICATED_STATE,
} from "../common/replicated_codec.ts";
import { Replicas } from "./replicas.ts";

const IDS = ["a", "b", "c"];
const SERVICE = "worker";
const REPORT: CrashReport = {
  service: SERVICE,
  evidence: [["f", [["i-1", 1, 0], ["i-2", 1, 0]], [], 5]],
};
const SETTLING_MS = 2_000;
const COMMAND = {
  type: "CrashesReported",
  reports: [REPORT],
  atMs: 1_000,
} as const;

interface Started {
  readonly replicas: Replicas;
  /** Messages to nodes, by link. */
  readonly sent: (readonly [linkId: number, message: OutboundMessage])[];
}

function startReplicas(): Started {
  const replicas = new Replicas(IDS);
  const sent: Started["sent"] = [];
  replicas.onLink = (_id, linkId, message) => sent.push([linkId, message]);
  IDS.forEach((id) => replicas.start(id));
  replicas.runUntil(() => IDS.every((id) => replicas.isConfirmed(id)));
  return { replicas, sent };
}

function link(replicas: Replicas, id: string, linkId: number): void {
  replicas.receiveNodeMessage(id, linkId, {
    type: "Announce",
    announcement: createAnnouncement(`node-${linkId}:1`),
    linkNumber: 1,
    tableVersion: 0,
    routesVersion: 0,
  });
}

function report(replicas: Replicas, id: string, linkId: number): void {
  replicas.receiveNodeMessage(id, linkId, {
    type: "Heartbeat",
    tableVersion: 0,
    routesVersion: 0,
    crashes: [REPORT],
  });
}

function hasEvidence(replicas: Replicas, id: string): boolean {
  return replicas.get(id).crashes.get(SERVICE)?.has("f") ?? false;
}

describe("evidence against requests in the replicated log", () => {
  it("reaches each replica from any, and survives that all restart", () => {
    const { replicas } = startReplicas();
    const follower = IDS.find((id) => id !== replicas.leader)!;
    link(replicas, follower, 1);
    report(replicas, follower, 1);
    const isEverywhere = () => IDS.every((id) => hasEvidence(replicas, id));
    expect(replicas.runUntil(isEverywhere)).to.equal(true);
    IDS.forEach((id) => replicas.kill(id));
    IDS.forEach((id) => replicas.start(id));
    expect(replicas.runUntil(isEverywhere)).to.equal(true);
  });

  it("is written once, however often it is reported", () => {
    const { replicas } = startReplicas();
    const leader = replicas.leader!;
    link(replicas, leader, 1);
    report(replicas, leader, 1);
    replicas.runUntil(() => hasEvidence(replicas, leader));
    // The holder sets of the new node settle meanwhile.
    replicas.runUntil(() => false, SETTLING_MS);
    const { commitIndex } = replicas.get(leader).consensus;
    for (let count = 0; count < 5; count += 1) {
      report(replicas, leader, 1);
    }
    replicas.runUntil(() => false, SETTLING_MS);
    expect(replicas.get(leader).consensus.commitIndex).to.equal(commitIndex);
  });

  it("is sent to a node before the members that it may call", () => {
    const { replicas, sent } = startReplicas();
    const leader = replicas.leader!;
    link(replicas, leader, 1);
    report(replicas, leader, 1);
    replicas.runUntil(() => hasEvidence(replicas, leader));
    link(replicas, leader, 2);
    sent.length = 0;
    const wantsCrashes = true;
    const subscription = { type: "Subscribe", service: SERVICE } as const;
    replicas.receiveNodeMessage(leader, 2, { ...subscription, wantsCrashes });
    expect(sent.map(([linkId, { type }]) => [linkId, type]))
      .to.deep.equal([[2, "CrashUpdate"], [2, "MemberList"]]);
    sent.length = 0;
    replicas.receiveNodeMessage(leader, 3, subscription);
    expect(sent.map(([, { type }]) => type)).to.deep.equal(["MemberList"]);
  });

  it("is pushed to the subscribed nodes of each replica", () => {
    const { replicas, sent } = startReplicas();
    IDS.forEach((id, index) => {
      link(replicas, id, index + 1);
      replicas.receiveNodeMessage(id, index + 1, {
        type: "Subscribe",
        service: SERVICE,
        wantsCrashes: true,
      });
    });
    report(replicas, "a", 1);
    const countUpdates = () =>
      sent.filter(([, { type }]) => type === "CrashUpdate").length;
    expect(replicas.runUntil(() => countUpdates() === 3)).to.equal(true);
  });
});

describe("stored evidence against requests", () => {
  it("is the same after it was stored", () => {
    const crashes = updateCrashes(new Map(), COMMAND);
    const state = { ...INITIAL_REPLICATED_STATE, crashes };
    expect(decodeReplicated(encodeReplicated(state))).to.deep.equal(state);
    expect(decodeCommand(encodeCommand(COMMAND))).to.deep.equal(COMMAND);
    expect(updateCrashes(crashes, COMMAND)).to.equal(crashes);
  });

  it("is cleared and added by operators' orders", () => {
    const crashes = updateCrashes(new Map(), COMMAND);
    const context = { operator: "amal", nowMs: 2_000 };
    const order = { service: SERVICE, fingerprint: "f" };
    const clear = createOrderCommand(
      crashes,
      { ...order, action: "clear" },
      context,
    );
    const cleared = updateCrashes(crashes, clear!);
    const listVerdicts = (records: typeof crashes) =>
      listCrashRows(records, 2_000).map(({ verdict }) => verdict);
    expect(listVerdicts(crashes)).to.deep.equal(["Quarantined"]);
    expect(listVerdicts(cleared)).to.deep.equal(["Clear"]);
    expect(
      createOrderCommand(cleared, { ...order, action: "clear" }, context),
    ).to.equal(undefined);
    const add = createOrderCommand(
      cleared,
      { ...order, action: "add" },
      context,
    );
    expect(listVerdicts(updateCrashes(cleared, add!)))
      .to.deep.equal(["Quarantined"]);
  });
});
