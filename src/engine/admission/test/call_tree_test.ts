/** Detects the calls of backend servers in simulated call trees. */
import { expect } from "chai";
import { CallerSpread, SpreadCounter } from "../common/caller_spread.ts";
import { CallRates } from "../common/call_rates.ts";
import { CallTree } from "../common/call_tree.ts";
import { CoincidenceCounter } from "../common/coincidence.ts";
import { listNodeServices, simulateCalls } from "./call_simulation.ts";
import type { SimulatedRoute, SimulationOptions } from "./call_simulation.ts";

const REPORT_MS = 500;

/** Two root routes that share callees, and two without calls. */
const NOTICES: Readonly<Record<string, SimulatedRoute>> = {
  browse: createRoute("archive", 60, 5_000, 340, ["index"]),
  lodge: createRoute("lodgement", 78, 5_000, 140, ["roster", "roster"]),
  book: createRoute("dispatch", 42, 600, 92),
  check: createRoute("hazard", 24, 400, 113),
  index: createRoute("lodgement", 15, 2_500, 0, ["roster"]),
  roster: createRoute("dispatch", 15, 2_000, 0, ["map", "map", "map", "map"]),
  map: createRoute("hazard", 15, 700, 0),
};
const NOTICE_NODES = { archive: 4, lodgement: 3, dispatch: 3, hazard: 3 };

/** A chain of seven calls. */
const CHAIN = Object.fromEntries(
  Array.from({ length: 7 }, (_, level) => [
    `r${level}`,
    createRoute(
      `s${level}`,
      20,
      3_000,
      level === 0 ? 120 : 0,
      level < 6 ? [`r${level + 1}`] : [],
    ),
  ]),
);
const CHAIN_NODES = Object.fromEntries(
  Array.from({ length: 7 }, (_, level) => [`s${level}`, 3]),
);

function createRoute(
  service: string,
  workMs: number,
  limitMs: number,
  rootsPerS: number,
  calls: readonly string[] = [],
): SimulatedRoute {
  return { service, workMs, limitMs, rootsPerS, calls };
}

/** How well calls of backend servers were detected. */
interface Detection {
  /** Share of the detected calls that backend servers made. */
  readonly precision: number;
  /** Share of the backend servers' calls that were detected. */
  readonly recall: number;
  /** Edges `parent>callee` that any node lists at the end. */
  readonly edges: ReadonlySet<string>;
  /** Calls that a run makes, by edge: the mean over the parent's nodes. */
  readonly callsPerRun: ReadonlyMap<string, number>;
}

/** Evaluates the detection in the last second of a simulation. */
function evaluate(
  options: Omit<SimulationOptions, "observe" | "seed" | "isClamped"> & {
    readonly isClamped?: boolean;
  },
): Detection {
  const services = listNodeServices(options.nodes);
  const counts = new Map(Object.entries(options.nodes));
  const nodes = services.map((service) => {
    const coincidences = new CoincidenceCounter(new CallRates());
    const spread = new CallerSpread();
    const getService = () => service;
    const countNodes = () => counts;
    const inputs = { coincidences, spread, getService, countNodes };
    const tree = new CallTree(inputs);
    return { coincidences, spread, tree, counter: new SpreadCounter() };
  });
  let reportedAtMs = 0;
  const tally = { detected: 0, mistaken: 0, missed: 0 };
  simulateCalls({
    isClamped: false,
    ...options,
    seed: 7,
    observe: (event, nowMs) => {
      if (nowMs - reportedAtMs >= REPORT_MS) {
        reportedAtMs = nowMs;
        const reports = nodes.map(({ counter }) => counter.createReport(nowMs));
        nodes.forEach(({ spread }) =>
          reports.forEach((report, i) =>
            spread.receiveReport(`${i}`, report, nowMs)
          )
        );
      }
      const node = nodes[event.node]!;
      if (event.type === "Run") {
        node.coincidences.recordRun(event.route, event.change, nowMs);
        return;
      }
      const { route, service, target, parent } = event;
      const isNested = node.tree.recordCall({ route, service }, nowMs);
      nodes[target]!.counter.recordCall(route, services[event.node]!, nowMs);
      if (nowMs > options.untilMs - 1_000) {
        tally.detected += Number(isNested && parent !== undefined);
        tally.mistaken += Number(isNested && parent === undefined);
        tally.missed += Number(!isNested && parent !== undefined);
      }
    },
  });
  const edges = nodes.flatMap(({ tree }) =>
    tree.listEdges(options.untilMs).flatMap(([parent, callees]) =>
      callees.map(({ route }) => `${parent}>${route}`)
    )
  );
  const callsPerRun = new Map<string, number>();
  nodes.forEach(({ tree }, index) =>
    tree.listEdges(options.untilMs).forEach(([parent, callees]) =>
      callees.forEach((callee) => {
        const edge = `${parent}>${callee.route}`;
        const count = options.nodes[services[index]!]!;
        const sum = callsPerRun.get(edge) ?? 0;
        callsPerRun.set(edge, sum + callee.callsPerRun / count);
      })
    )
  );
  const { detected, mistaken, missed } = tally;
  return {
    callsPerRun,
    precision: detected / Math.max(1, detected + mistaken),
    recall: detected / Math.max(1, detected + missed),
    edges: new Set(edges),
  };
}

describe("the call tree", () => {
  const notices = { routes: NOTICES, nodes: NOTICE_NODES };

  for (const untilMs of [2_000, 4_000, 10_000]) {
    it(`is known after ${untilMs / 1_000 - 1} s, with limits of their own`, () => {
      const { precision, recall } = evaluate({ ...notices, untilMs });
      expect(precision).to.be.at.least(0.98);
      expect(recall).to.be.at.least(0.98);
    });
  }

  it("is known where calls expire with their parents", () => {
    const detection = evaluate({ ...notices, untilMs: 4_000, isClamped: true });
    expect(detection.precision).to.be.at.least(0.98);
    expect(detection.recall).to.be.at.least(0.98);
  });

  it("is known at the start of a burst", () => {
    const computeSurge = (nowMs: number) => nowMs < 2_000 ? 1 : 2;
    const detection = evaluate({ ...notices, untilMs: 3_000, computeSurge });
    expect(detection.precision).to.be.at.least(0.98);
    expect(detection.recall).to.be.at.least(0.98);
  });

  it("has the edges that are there, and no others", () => {
    const { edges } = evaluate({ ...notices, untilMs: 10_000 });
    expect([...edges].sort()).to.deep.equal([
      "browse>index",
      "index>roster",
      "lodge>roster",
      "roster>map",
    ]);
  });

  it("has no edges of rarely used routes", () => {
    const rare = createRoute("dispatch", 42, 600, 0.5);
    const routes = { ...NOTICES, rare };
    const { edges } = evaluate({ ...notices, routes, untilMs: 6_000 });
    expect([...edges].filter((edge) => edge.startsWith("rare")))
      .to.deep.equal([]);
  });

  it("is known seven levels deep", () => {
    const chain = { routes: CHAIN, nodes: CHAIN_NODES, untilMs: 6_000 };
    const { precision, recall, edges } = evaluate(chain);
    expect(precision).to.be.at.least(0.98);
    expect(recall).to.be.at.least(0.98);
    expect(edges.size).to.equal(6);
  });

  it("is known where callers send requests of an inner route too", () => {
    const map = { ...NOTICES["map"]!, rootsPerS: 100 };
    const routes = { ...NOTICES, map };
    const detection = evaluate({ ...notices, routes, untilMs: 6_000 });
    expect(detection.recall).to.be.at.least(0.95);
    expect(detection.precision).to.be.at.least(0.95);
  });

  it("is known where all services call one", () => {
    const routes = Object.fromEntries(
      Object.entries(NOTICES).map(([name, route]) => [
        name,
        route.rootsPerS > 0
          ? { ...route, calls: [...route.calls, "permit"] }
          : route,
      ]),
    );
    const permit = createRoute("permits", 5, 500, 0);
    const detection = evaluate({
      routes: { ...routes, permit },
      nodes: { ...NOTICE_NODES, permits: 3 },
      untilMs: 12_000,
    });
    expect(detection.precision).to.be.at.least(0.95);
    expect(detection.recall).to.be.at.least(0.85);
  });

  // Guards against root requests refused for a service that they don't call: the
  // order of the costs has to be right. By coincidences alone a long run that
  // calls nothing made 2.2 calls after 3 s of this load.
  it("has few calls of long runs that only overlap with those that call", () => {
    const routes = {
      ...NOTICES,
      standings: createRoute("dispatch", 390, 2_500, 60),
    };
    const computeSurge = (nowMs: number) =>
      1 + 0.4 * Math.sin(nowMs / 2_000) + (nowMs > 4_000 ? 0.6 : 0);
    for (const untilMs of [3_000, 6_000, 10_000]) {
      const { callsPerRun } = evaluate({
        ...notices,
        routes,
        untilMs,
        computeSurge,
      });
      const real = callsPerRun.get("roster>map") ?? 0;
      const wrong = callsPerRun.get("standings>map") ?? 0;
      expect(real, `${untilMs}`).to.be.within(3, 5);
      expect(wrong, `${untilMs}`).to.be.below(real / 2);
    }
  });
});
