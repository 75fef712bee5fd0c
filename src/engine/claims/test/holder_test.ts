/** Selection of holders, and the records that a holder stores or refuses. */
import { expect } from "chai";
import type { ClaimReply } from "../common/claim_messages.ts";
import { KEY_LIFETIME_MS } from "../common/claim_types.ts";
import type { StoredAnswer } from "../common/claim_types.ts";
import {
  answerHolder,
  evictExpiredRecords,
  INITIAL_HOLDER_STATE,
} from "../common/holder_reducer.ts";
import type { HolderState } from "../common/holder_reducer.ts";
import {
  applyHolderCommand,
  planHolders,
} from "../common/holder_set_reducer.ts";
import type {
  Candidate,
  ServiceHolders,
} from "../common/holder_set_reducer.ts";
import { INITIAL_NODE_CLAIMS, receiveSets } from "../common/node_claims.ts";
import { BUCKET_COUNT } from "../common/record_map.ts";

const SERVICE = "custody";
const ANSWER: StoredAnswer = {
  status: 200,
  headers: [],
  bodyBase64: "A".repeat(87_000),
};

function createNode(index: number, change: Partial<Candidate> = {}): Candidate {
  return {
    nodeId: `n${index}`,
    incarnation: 1,
    dataCentre: `dc-${index % 3}`,
    ingress: `n${index}`,
    isDraining: false,
    ...change,
  };
}

function propose(
  current: ServiceHolders | undefined,
  nodes: readonly Candidate[],
): ServiceHolders | undefined {
  const members = planHolders(current, nodes, SERVICE);
  return members === undefined ? current : applyHolderCommand(current, {
    type: "HolderSetProposed",
    service: SERVICE,
    members,
    fromEpoch: current?.lastEpoch ?? 0,
  });
}

function reportCopied(
  current: ServiceHolders,
  nodeId: string,
  incarnation = 1,
): ServiceHolders {
  const { epoch } = current.proposed!;
  return applyHolderCommand(current, {
    type: "HolderCopied",
    service: SERVICE,
    epoch,
    nodeId,
    incarnation,
  })!;
}

describe("holder sets", () => {
  const nodes = [0, 1, 2, 3, 4, 5].map((index) => createNode(index));

  it("are three nodes in different data centres", () => {
    const { members } = propose(undefined, nodes)!.active;
    const dataCentres = new Set(members.map((member) => member.dataCentre));
    expect(members).to.have.length(3);
    expect(dataCentres.size).to.equal(3);
  });

  it("keep live members and replace a restarted or draining one", () => {
    const first = propose(undefined, nodes)!;
    const [lost, ...staying] = first.active.members;
    for (const change of [{ incarnation: 2 }, { isDraining: true }]) {
      const changedNodes = nodes.map((node) =>
        node.nodeId === lost!.nodeId ? { ...node, ...change } : node
      );
      const { members } = propose(first, changedNodes)!.proposed!;
      expect(members).to.include.deep.members(staying);
      expect(members).to.not.deep.include(lost);
      expect(members).to.have.length(3);
    }
    expect(propose(first, nodes)).to.equal(first);
  });

  it("never shrink", () => {
    const first = propose(undefined, nodes)!;
    const remaining = nodes.filter((node) =>
      node.nodeId === first.active.members[0]!.nodeId
    );
    expect(propose(first, remaining)).to.equal(first);
  });

  it("don't change by a plan made from outdated sets", () => {
    const first = propose(undefined, nodes)!;
    const { members } = first.active;
    for (const fromEpoch of [0, 2]) {
      const type = "HolderSetProposed";
      const stale = { type, service: SERVICE, members, fromEpoch } as const;
      expect(applyHolderCommand(first, stale)).to.equal(first);
    }
  });

  it("take over only after a majority has copied", () => {
    const first = propose(undefined, nodes)!;
    const lostNodeId = first.active.members[0]!.nodeId;
    const changing = propose(
      first,
      nodes.filter((n) => n.nodeId !== lostNodeId),
    )!;
    const [a, b] = changing.proposed!.members.map((member) => member.nodeId);
    const twice = reportCopied(reportCopied(changing, a!), a!);
    expect(twice.active).to.equal(first.active);
    expect(reportCopied(twice, b!, 2).active).to.equal(first.active);
    const changed = reportCopied(twice, b!);
    expect(changed.active).to.equal(changing.proposed);
    expect(changed.proposed).to.equal(undefined);
  });
});

describe("holder sets at a node", () => {
  it("are ignored if they are older than those known", () => {
    const nodes = [0, 1, 2, 3, 4].map((index) => createNode(index));
    const first = propose(undefined, nodes)!;
    const second = propose(first, nodes.slice(1))!;
    const third = propose(second, nodes.slice(2))!;
    expect(third.proposed!.epoch).to.be.greaterThan(second.proposed!.epoch);
    const self = { nodeId: "apart", incarnation: 1, ingress: "apart" };
    const known = receiveSets(INITIAL_NODE_CLAIMS, third, self).state;
    for (const older of [second, first]) {
      expect(receiveSets(known, older, self).state).to.equal(known);
    }
  });
});

describe("holder", () => {
  const votingHolder: HolderState = { ...INITIAL_HOLDER_STATE, votingEpoch: 1 };

  function claim(
    state: HolderState,
    key: string,
    nowMs = 0,
  ): { readonly state: HolderState; readonly reply: ClaimReply } {
    return answerHolder(state, {
      type: "ClaimKey",
      epoch: 1,
      incarnation: 1,
      key,
      claim: { attemptId: `a-${key}-${nowMs}`, fingerprint: key, ingress: "n" },
    }, { incarnation: 1, nowMs });
  }

  function record(state: HolderState, key: string): HolderState {
    return answerHolder(state, {
      type: "RecordOutcome",
      epoch: 1,
      incarnation: 1,
      key,
      outcome: { attemptId: "a", fingerprint: key, answer: ANSWER },
    }, { incarnation: 1, nowMs: 0 }).state;
  }

  it("refuses new keys when it is full, and evicts no unexpired one", () => {
    let state = votingHolder;
    const keys = Array.from({ length: 250 }, (_, i) => `k${i}`);
    for (const key of keys) {
      state = record(state, key);
    }
    expect(claim(state, "new").reply).to.deep.equal({
      type: "ClaimRefused",
      reason: "full",
    });
    for (const key of keys) {
      expect(claim(state, key).reply.type).to.equal("ClaimHeld");
    }
    let evicted = state;
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
      evicted = evictExpiredRecords(evicted, bucket, KEY_LIFETIME_MS);
    }
    expect(evicted.records).to.deep.include({ count: 0, sizeBytes: 0 });
  });

  it("grants nothing in an epoch without a copy, nor after sealing it", () => {
    const refused = { type: "ClaimRefused", reason: "epoch" };
    expect(claim(INITIAL_HOLDER_STATE, "k").reply).to.deep.equal(refused);
    const sealed = answerHolder(votingHolder, {
      type: "SealEpoch",
      epoch: 1,
      incarnation: 1,
      cursor: 0,
    }, { incarnation: 1, nowMs: 0 });
    expect(sealed.reply.type).to.equal("EpochSealed");
    expect(claim(sealed.state, "k").reply).to.deep.equal(refused);
  });

  it("grants a key again only once its record has expired", () => {
    const { state } = claim(votingHolder, "k");
    const before = claim(state, "k", KEY_LIFETIME_MS - 1);
    expect(before.reply.type).to.equal("ClaimHeld");
    const after = claim(state, "k", KEY_LIFETIME_MS);
    expect(after.reply.type).to.equal("ClaimGranted");
  });

  it("keeps the record of a run when its claim is released", () => {
    const released = answerHolder(record(votingHolder, "k"), {
      type: "ReleaseClaim",
      key: "k",
      attemptId: "a",
    }, { incarnation: 1, nowMs: 0 });
    expect(claim(released.state, "k").reply.type).to.equal("ClaimHeld");
  });
});
