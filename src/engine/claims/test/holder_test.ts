/** Holders: who is chosen, what is kept, and what is refused. */
import { expect } from "chai";
import type { ClaimReply } from "../common/claim_messages.ts";
import { KEY_LIFETIME_MS } from "../common/claim_types.ts";
import type { StoredAnswer } from "../common/claim_types.ts";
import {
  answerHolder,
  evictExpired,
  INITIAL_HOLDER,
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
import { INITIAL_NODE_CLAIMS, takeSets } from "../common/node_claims.ts";
import { BUCKETS } from "../common/record_map.ts";

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
      const now = nodes.map((node) =>
        node.nodeId === lost!.nodeId ? { ...node, ...change } : node
      );
      const { members } = propose(first, now)!.proposed!;
      expect(members).to.include.deep.members(staying);
      expect(members).to.not.deep.include(lost);
      expect(members).to.have.length(3);
    }
    expect(propose(first, nodes)).to.equal(first);
  });

  it("never shrink", () => {
    const first = propose(undefined, nodes)!;
    const left = nodes.filter((node) =>
      node.nodeId === first.active.members[0]!.nodeId
    );
    expect(propose(first, left)).to.equal(first);
  });

  it("don't change by a plan that was made from other ones", () => {
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
    const gone = first.active.members[0]!.nodeId;
    const moving = propose(first, nodes.filter((n) => n.nodeId !== gone))!;
    const [a, b] = moving.proposed!.members.map((member) => member.nodeId);
    const twice = reportCopied(reportCopied(moving, a!), a!);
    expect(twice.active).to.equal(first.active);
    expect(reportCopied(twice, b!, 2).active).to.equal(first.active);
    const moved = reportCopied(twice, b!);
    expect(moved.active).to.equal(moving.proposed);
    expect(moved.proposed).to.equal(undefined);
  });
});

describe("holder sets at a node", () => {
  it("are passed over where they are older than those known", () => {
    const nodes = [0, 1, 2, 3, 4].map((index) => createNode(index));
    const first = propose(undefined, nodes)!;
    const second = propose(first, nodes.slice(1))!;
    const third = propose(second, nodes.slice(2))!;
    expect(third.proposed!.epoch).to.be.greaterThan(second.proposed!.epoch);
    const self = { nodeId: "apart", incarnation: 1, ingress: "apart" };
    const known = takeSets(INITIAL_NODE_CLAIMS, third, self).state;
    for (const older of [second, first]) {
      expect(takeSets(known, older, self).state).to.equal(known);
    }
  });
});

describe("holder", () => {
  const voiced: HolderState = { ...INITIAL_HOLDER, voiceEpoch: 1 };

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

  it("refuses new keys when it is full, and forgets none that lives", () => {
    let state = voiced;
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
    for (let bucket = 0; bucket < BUCKETS; bucket++) {
      evicted = evictExpired(evicted, bucket, KEY_LIFETIME_MS);
    }
    expect(evicted.records).to.deep.include({ count: 0, sizeBytes: 0 });
  });

  it("has no voice when it is empty, and none after it is sealed", () => {
    const refused = { type: "ClaimRefused", reason: "epoch" };
    expect(claim(INITIAL_HOLDER, "k").reply).to.deep.equal(refused);
    const sealed = answerHolder(voiced, {
      type: "SealEpoch",
      epoch: 1,
      incarnation: 1,
      cursor: 0,
    }, { incarnation: 1, nowMs: 0 });
    expect(sealed.reply.type).to.equal("EpochSealed");
    expect(claim(sealed.state, "k").reply).to.deep.equal(refused);
  });

  it("grants a key again only once its record has expired", () => {
    const { state } = claim(voiced, "k");
    const before = claim(state, "k", KEY_LIFETIME_MS - 1);
    expect(before.reply.type).to.equal("ClaimHeld");
    const after = claim(state, "k", KEY_LIFETIME_MS);
    expect(after.reply.type).to.equal("ClaimGranted");
  });

  it("never lets a release undo what has run", () => {
    const released = answerHolder(record(voiced, "k"), {
      type: "ReleaseClaim",
      key: "k",
      attemptId: "a",
    }, { incarnation: 1, nowMs: 0 });
    expect(claim(released.state, "k").reply.type).to.equal("ClaimHeld");
  });
});
