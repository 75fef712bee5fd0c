/** Selection of backend servers: subsets, ejection, probes and load hints. */
import { expect } from "chai";
import fc from "fast-check";
import { computeEjectionLimit } from "../common/ejection.ts";
import { HINT_TTL_MS, selectBackend } from "../common/select_backend.ts";
import {
  chooseSubset,
  FAR_SUBSET_SIZE,
  NEAR_SUBSET_SIZE,
} from "../common/subset.ts";
import { CLIENT, createMember, SERVICE, Simulation } from "./fakes.ts";

const IDS = ["m-1", "m-2", "m-3", "m-4", "m-5", "m-6"];
/** Attempts per millisecond that fill half of the slots at 10 ms each. */
const BUSY_PER_MS = 15;
const MEMBERS = IDS.map((id) => createMember(id));

function createSimulation(members = MEMBERS): Simulation {
  const simulation = new Simulation();
  simulation.listMembers(members);
  simulation.run(500);
  return simulation;
}

function computeShare(
  counts: ReadonlyMap<string, number>,
  nodeId: string,
): number {
  const total = [...counts.values()].reduce((a, b) => a + b, 0);
  return (counts.get(nodeId) ?? 0) / total;
}

function countEjected(simulation: Simulation): number {
  const { views } = simulation.state.services.get(SERVICE)!;
  return views.filter((view) => view.ejection !== undefined).length;
}

describe("routing subset", () => {
  it("changes at most one entry when a member is added", () => {
    const member = fc.record({
      nodeId: fc.uuid(),
      dataCentre: fc.constantFrom("dc-a", "dc-b", "dc-c"),
    });
    const some = fc.uniqueArray(member, {
      selector: (m) => m.nodeId,
      minLength: 1,
      maxLength: 60,
    });
    fc.assert(
      fc.property(some, fc.nat(), (fields, index) => {
        const all = fields.map((f) => createMember(f.nodeId, f));
        const rest = all.filter((_, i) => i !== index % all.length);
        const before = chooseSubset(rest, CLIENT);
        const after = chooseSubset(all, CLIENT);
        const lost = before.filter((m) => !after.includes(m));
        const near = after.filter((m) => m.dataCentre === "dc-a");
        expect(lost.length).to.be.at.most(1);
        expect(near.length).to.be.at.most(NEAR_SUBSET_SIZE);
        expect(after.length - near.length).to.be.at.most(FAR_SUBSET_SIZE);
      }),
      { seed: 4 },
    );
  });

  it("distributes the callers over a large service", () => {
    const members = Array.from(
      { length: 40 },
      (_, i) => createMember(`m-${i}`),
    );
    const callers = new Map<string, number>();
    for (let i = 0; i < 400; i++) {
      const client = { nodeId: `client-${i}`, dataCentre: "dc-a" };
      for (const { nodeId } of chooseSubset(members, client)) {
        callers.set(nodeId, (callers.get(nodeId) ?? 0) + 1);
      }
    }
    const mean = 400 * NEAR_SUBSET_SIZE / members.length;
    expect(callers.size).to.equal(members.length);
    expect(Math.max(...callers.values())).to.be.below(2 * mean);
  });

  it("uses other data centres when fewer than two near members are available", () => {
    const far = createMember("far", { dataCentre: "dc-b" });
    const simulation = createSimulation([
      createMember("near-1"),
      createMember("near-2"),
      far,
    ]);
    expect(computeShare(simulation.run(500), "far")).to.equal(0);
    simulation.apply({
      type: "MemberPublished",
      announcement: createMember("near-1", { sequence: 1, isDraining: true }),
    });
    const drained = simulation.run(500);
    expect(computeShare(drained, "near-1")).to.equal(0);
    expect(computeShare(drained, "far")).to.be.above(0.2);
  });

  it("uses other data centres when the near members have no free slots", () => {
    const simulation = createSimulation([
      createMember("near-1", { slots: 4 }),
      createMember("near-2", { slots: 4 }),
      createMember("far", { dataCentre: "dc-b" }),
    ]);
    simulation.serve = () => ({ durationMs: 40 });
    expect(computeShare(simulation.run(500), "far")).to.be.above(0.5);
  });
});

describe("routing by the node's own view", () => {
  it("takes a straggler out within a second, probes it, takes it back", () => {
    const simulation = createSimulation();
    simulation.serve = (id) => ({ durationMs: id === "m-3" ? 300 : 10 });
    simulation.run(1_000, BUSY_PER_MS);
    const slow = simulation.run(2_000, BUSY_PER_MS);
    expect(computeShare(slow, "m-3")).to.be.below(0.01);
    expect(slow.get("m-3") ?? 0).to.be.above(0);
    simulation.serve = () => ({ durationMs: 10 });
    simulation.run(20_000);
    expect(computeShare(simulation.run(2_000), "m-3")).to.be.above(0.1);
  });

  it("avoids a stalled backend server before it has any latency sample", () => {
    const simulation = createSimulation();
    simulation.serve = (id) => ({ durationMs: id === "m-3" ? 60_000 : 10 });
    simulation.run(1_000, 5);
    expect(simulation.run(1_000, BUSY_PER_MS).get("m-3") ?? 0).to.be
      .below(5);
  });

  it("ejects a failing backend server although it fails fast", () => {
    const simulation = createSimulation();
    simulation.serve = (id) =>
      id === "m-3" ? { durationMs: 1, result: "failed" } : { durationMs: 10 };
    simulation.run(200, BUSY_PER_MS);
    expect(computeShare(simulation.run(2_000, BUSY_PER_MS), "m-3")).to
      .be.below(0.001);
  });

  it("doesn't count cancellations by callers as failures", () => {
    const simulation = createSimulation();
    simulation.serve = (id) =>
      id === "m-3"
        ? { durationMs: 5, result: "cancelled" }
        : { durationMs: 10 };
    expect(computeShare(simulation.run(2_000), "m-3")).to.be.above(0.1);
  });

  it("counts a cancelled attempt as a latency of at least its duration", () => {
    const simulation = createSimulation();
    simulation.serve = (id) =>
      id === "m-3"
        ? { durationMs: 200, result: "cancelled" }
        : { durationMs: 10 };
    simulation.run(1_000, BUSY_PER_MS);
    expect(computeShare(simulation.run(4_000, BUSY_PER_MS), "m-3")).to
      .be.below(0.002);
  });

  it("never ejects more than a third, nor any when most look bad", () => {
    const bad = fc.uniqueArray(fc.constantFrom(...IDS));
    fc.assert(
      fc.property(bad, fc.boolean(), (ids, isSlow) => {
        const simulation = createSimulation();
        simulation.serve = (id) =>
          !ids.includes(id)
            ? { durationMs: 10 }
            : isSlow
            ? { durationMs: 200 }
            : { durationMs: 1, result: "failed" };
        for (let i = 0; i < 20; i++) {
          simulation.run(50);
          const limit = computeEjectionLimit(IDS.length);
          expect(countEjected(simulation)).to.be.at.most(limit);
        }
        if (ids.length === IDS.length) {
          const counts = simulation.run(200);
          expect(counts.size).to.equal(IDS.length);
        }
      }),
      { numRuns: 30, seed: 4 },
    );
  });

  it("increases the share of a new incarnation gradually", () => {
    const simulation = createSimulation();
    const renewed = createMember("m-3", { incarnation: 2 });
    simulation.apply({ type: "MemberPublished", announcement: renewed });
    const first = computeShare(simulation.run(500, 4), "m-3");
    simulation.run(10_000);
    const later = computeShare(simulation.run(500, 4), "m-3");
    expect(first).to.be.below(later / 2);
    expect(first).to.be.above(0);
  });

  it("excludes a draining member by its answer until a new incarnation", () => {
    const simulation = createSimulation();
    const report = {
      service: SERVICE,
      nodeId: "m-3",
      kind: "lookup",
      latencyMs: 1,
      result: "refused",
      isDraining: true,
    } as const;
    simulation.apply({ type: "AttemptFinished", report });
    expect(simulation.run(500).has("m-3")).to.equal(false);
    simulation.apply({
      type: "MemberPublished",
      announcement: createMember("m-3", { sequence: 1 }),
    });
    expect(simulation.run(500).has("m-3")).to.equal(false);
    const renewed = createMember("m-3", { incarnation: 2 });
    simulation.apply({ type: "MemberPublished", announcement: renewed });
    expect(simulation.run(500).has("m-3")).to.equal(true);
  });

  it("leaves a lying load hint no more than ties", () => {
    const simulation = createSimulation();
    simulation.serve = (id) => ({
      durationMs: id === "m-3" ? 30 : 10,
      hintedLoad: id === "m-3" ? 0 : 1,
    });
    simulation.run(500);
    const lying = computeShare(simulation.run(2_000), "m-3");
    const honest = createSimulation();
    honest.serve = (id) => ({ durationMs: id === "m-3" ? 30 : 10 });
    honest.run(500);
    const without = computeShare(honest.run(2_000), "m-3");
    expect(lying).to.be.below(without + 0.1);
    expect(lying).to.be.below(1 / IDS.length);
  });

  it("expires the hint of a backend server that gets no work", () => {
    const simulation = new Simulation();
    simulation.listMembers([createMember("m-1"), createMember("m-2")]);
    let hints: Readonly<Record<string, number>> = { "m-1": 0, "m-2": 100 };
    // One attempt at a time, so that every selection is a tie.
    simulation.serve = (id) => ({ durationMs: 1, hintedLoad: hints[id]! });
    simulation.run(1_000);
    const avoided = simulation.run(HINT_TTL_MS);
    expect(computeShare(avoided, "m-2")).to.be.within(0.0001, 0.1);
    hints = { "m-1": 100, "m-2": 0 };
    simulation.run(2 * HINT_TTL_MS);
    expect(computeShare(simulation.run(1_000), "m-2")).to.be.greaterThan(0.9);
  });

  it("never selects a backend server that the call has tried", () => {
    const simulation = createSimulation();
    const { state, nowMs } = simulation;
    for (let i = 0; i < 100; i++) {
      const attemptId = `a-${i}`;
      const tried = ["m-1", "m-2", "m-4", "m-5"];
      const request = { service: SERVICE, attemptId, tried, nowMs };
      const { nodeId } = selectBackend(state, request)!.announcement;
      expect(tried).not.to.include(nodeId);
    }
  });
});
