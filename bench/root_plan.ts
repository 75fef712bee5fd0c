/**
 * Measures what admission by the capacity of a bottleneck costs a root request,
 * and what placement costs a call, each with the part on and off.
 */
import process from "node:process";
import { MemberTable } from "../src/engine/relay/common/member_table.ts";
import { RootPlan } from "../src/engine/relay/common/root_plan.ts";

const SERVICE = "front";
const MEMBERS = 23;
const ROUTES = 4;
const RANKS = 3;
const REQUESTS = 100_000;

/** Creates the table of an entry whose members report their capacity or not. */
function createMembers(isOn: boolean): MemberTable {
  const members = new MemberTable();
  for (let index = 0; index < MEMBERS; index += 1) {
    const address = `m${index}:1`;
    members.put({
      nodeId: address,
      incarnation: 1,
      sequence: 1,
      service: SERVICE,
      dataCentre: `dc${index % 4}`,
      region: "r",
      vm: address,
      ingress: address,
      operator: address,
      slots: 48,
      connections: 500,
      isDraining: false,
    });
    const load = {
      running: index,
      queued: 0,
      limit: 45,
      pressure: 0.1,
      serviceMs: 100,
      ...(isOn && { spare: 0.7, slowdown: 1 }),
    };
    members.recordLoad(address, load, 0);
    const routes = Array.from({ length: ROUTES }, (_, at) => `r${at}`);
    members.recordDownstreamPressure(
      address,
      routes.map((route) =>
        isOn
          ? [route, 0.1, 50, 0.6, 160, "narrow"] as const
          : [route, 0.1, 50] as const
      ),
      0,
    );
  }
  return members;
}

/** Measures a decision in microseconds. */
function measureUs(decide: (index: number) => void): number {
  for (let index = 0; index < REQUESTS / 10; index += 1) {
    decide(index);
  }
  const startMs = performance.now();
  for (let index = 0; index < REQUESTS; index += 1) {
    decide(index);
  }
  return (performance.now() - startMs) * 1_000 / REQUESTS;
}

function measureAdmission(isOn: boolean): number {
  const members = createMembers(isOn);
  const plan = new RootPlan();
  return measureUs((index) => {
    const route = `r${index % ROUTES}`;
    const bottleneck = members.findBottleneck(SERVICE, route, 100);
    if (bottleneck === undefined) {
      members.computePathPressure(SERVICE, route, 100);
      return;
    }
    const routeRank = index % RANKS;
    plan.computeShare(
      { route, rank: routeRank, routeRank, ...bottleneck },
      index / 50,
    );
  });
}

function measurePlacement(isOn: boolean): number {
  const members = createMembers(isOn);
  return measureUs((index) => {
    members.choose(SERVICE, {
      dataCentre: "dc0",
      tried: new Set(),
      nowMs: 100,
      draw: index % 997 / 997,
      canProbe: false,
      isSilent: () => false,
    });
  });
}

for (
  const [name, measure] of [
    ["admission of a root request", measureAdmission],
    ["choice of a member", measurePlacement],
  ] as const
) {
  const off = measure(false).toFixed(1);
  const on = measure(true).toFixed(1);
  process.stdout.write(`${name}: off ${off} us, on ${on} us\n`);
}
