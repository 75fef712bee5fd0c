/** Keys and leases: which keys are granted, and when a lease isn't valid. */
import { expect } from "chai";
import { KeyAccess } from "../common/key_access.ts";
import type { ClockReading } from "../common/key_lease.ts";
import { checkWorkspaces, joinRanks } from "../common/workspace.ts";
import type { Workspace } from "../common/workspace.ts";
import { computeKeyDigest } from "../node/key_digest.ts";

const LEASE_MS = 4_900;
const KEY = "a-key-of-the-mill";

function createWorkspace(
  name: string,
  keys: readonly string[],
  rank?: number,
): Workspace {
  return {
    name,
    keyDigests: keys.map(computeKeyDigest),
    rank,
    ratePerSecond: 0,
    burst: 0,
  };
}

class Clocks {
  reading: ClockReading = { steadyMs: 1_000, wallMs: 5_000 };

  /** Advances both clocks. */
  advance(ms: number): void {
    this.suspend(ms);
    this.reading = {
      ...this.reading,
      steadyMs: this.reading.steadyMs + ms,
    };
  }

  /** Advances the wall clock only. */
  suspend(ms: number): void {
    this.reading = { ...this.reading, wallMs: this.reading.wallMs + ms };
  }

  stepBack(ms: number): void {
    this.suspend(-ms);
  }
}

function createAccess(
  { leaseMs }: { readonly leaseMs: number | undefined } = {
    leaseMs: LEASE_MS,
  },
) {
  const clocks = new Clocks();
  const access = new KeyAccess({
    leaseMs,
    readClocks: () => clocks.reading,
    computeDigest: computeKeyDigest,
  });
  access.replaceWorkspaces([createWorkspace("mill", [KEY])]);
  const prove = () => access.acceptProof(access.requestProof());
  const check = (key: string | null = KEY, ageMs = 0) =>
    access.check(key ?? undefined, clocks.reading.steadyMs - ageMs).type;
  return { access, clocks, prove, check };
}

describe("a key", () => {
  it("is granted from the first proof to the end of the lease", () => {
    const { clocks, prove, check } = createAccess();
    expect(check()).to.equal("Unsure");
    prove();
    clocks.advance(LEASE_MS - 1);
    expect(check()).to.equal("Granted");
    clocks.advance(1);
    expect(check()).to.equal("Lapsed");
    prove();
    expect(check()).to.equal("Granted");
  });

  it("is leased from the request of the proof, not from its arrival", () => {
    const { access, clocks, check } = createAccess();
    const number = access.requestProof();
    clocks.advance(LEASE_MS);
    access.acceptProof(number);
    expect(check()).to.equal("Lapsed");
  });

  it("is not served after a suspension, which the steady clock doesn't count", () => {
    const { clocks, prove, check } = createAccess();
    prove();
    clocks.suspend(60_000);
    expect(check()).to.equal("Unsure");
    prove();
    expect(check()).to.equal("Granted");
  });

  it("is not served where a step back hides part of a suspension", () => {
    const { access, clocks, prove, check } = createAccess();
    prove();
    clocks.suspend(6_000);
    clocks.stepBack(3_000);
    access.tick();
    expect(check()).to.equal("Unsure");
  });

  it("is served without limit where the lease has no end", () => {
    const { clocks, check } = createAccess({ leaseMs: undefined });
    clocks.advance(3_600_000);
    expect(check()).to.equal("Granted");
  });

  it("is unknown only by a proof that was asked for after it came", () => {
    const { clocks, prove, check } = createAccess();
    prove();
    clocks.advance(50);
    expect(check("other", 10)).to.equal("Unsure");
    prove();
    expect(check("other", 10)).to.equal("UnknownKey");
    expect(check(null, 10)).to.equal("UnknownKey");
  });

  it("belongs to one workspace only", () => {
    const twice = [createWorkspace("a", [KEY]), createWorkspace("b", [KEY])];
    expect(checkWorkspaces(twice)).to.contain("key in common")
      .and.not.to.contain(KEY);
    expect(checkWorkspaces([createWorkspace("a", [KEY, KEY])]))
      .to.equal(undefined);
    expect(
      checkWorkspaces([createWorkspace("a", []), createWorkspace("a", [])]),
    )
      .to.contain("twice");
  });
});

describe("the rank of a workspace", () => {
  it("takes precedence over the route's, which decides among equal ones", () => {
    const first = createWorkspace("first", [], 0);
    const second = createWorkspace("second", [], 1);
    const ranks = [first, second].flatMap((workspace) =>
      [0, 1, 2].map((rank) => joinRanks(3, workspace, rank))
    );
    expect(ranks).to.deep.equal([0, 1, 2, 3, 4, 5]);
  });

  it("changes nothing where there are no workspaces", () => {
    expect(joinRanks(3, undefined, 2)).to.equal(2);
  });
});
