/** Matching, load balancing, validation and replacement of routes. */
import { expect } from "chai";
import { createRandom } from "../../../base/test/seeded_random.ts";
import { applyEdit } from "../../table/common/table_reducer.ts";
import { INITIAL_TABLE_STATE } from "../../table/common/table_reducer.ts";
import type {
  EditOutcome,
  TableState,
} from "../../table/common/table_reducer.ts";
import { checkRoutes } from "../common/route_check.ts";
import {
  buildRouteIndex,
  selectRoute,
  TargetChooser,
} from "../common/route_match.ts";
import { DEFAULT_LIMITS } from "../common/route_table.ts";
import type { Route, RouteTable } from "../common/route_table.ts";

function createRoute(change: Partial<Route> = {}): Route {
  return {
    name: "lookup",
    host: "shop.example",
    prefix: "/lookup/",
    targets: [{ service: "catalog", weight: 1 }],
    isIdempotent: true,
    timeoutMs: 1_000,
    objectiveMs: 500,
    rank: 1,
    maxAttempts: 2,
    ...change,
  };
}

function createTable(version: number, ...routes: readonly Route[]): RouteTable {
  return { version, routes, limits: DEFAULT_LIMITS };
}

/** Checks a table whose document defines one service. */
function check(table: RouteTable): string | undefined {
  const references = table.routes.flatMap(({ name, targets }) =>
    targets.map(({ service }) => ({ route: name, service }))
  );
  return checkRoutes(table, { defined: new Set(["catalog"]), references });
}

function replace(
  state: TableState,
  baseVersion: number,
  version: number,
  editId = `${baseVersion}-${version}`,
): { readonly state: TableState; readonly outcome: EditOutcome } {
  const table = createTable(version, createRoute());
  const document = { table, source: `source of ${editId}` };
  const change = { type: "ReplaceRoutes", baseVersion, document } as const;
  return applyEdit(state, { editId, operator: "amal", atMs: 0, change });
}

describe("routes", () => {
  it("are selected by host and the longest prefix", () => {
    const index = buildRouteIndex(createTable(
      1,
      createRoute({ name: "all", prefix: "/" }),
      createRoute({ name: "deep", prefix: "/lookup/deep/" }),
      createRoute(),
      createRoute({ name: "other", host: "other.example" }),
    ));
    const find = (host: string, path: string) =>
      selectRoute(index, host, path)?.name;
    expect(find("Shop.Example:8080", "/lookup/deep/1")).to.equal("deep");
    expect(find("shop.example", "/lookup/1")).to.equal("lookup");
    expect(find("shop.example", "/lookup")).to.equal("all");
    expect(find("other.example", "/lookup/1")).to.equal("other");
    expect(find("other.example", "/")).to.equal(undefined);
  });

  // Guards against 404 for a route whose host is written in another way.
  it("are selected whatever form their host has", () => {
    const index = buildRouteIndex(createTable(
      1,
      createRoute({ name: "any" }),
      createRoute({ name: "port", host: "shop.example:8080" }),
      createRoute({ name: "deep", prefix: "/lookup/deep/" }),
      createRoute({ name: "rest", prefix: "/" }),
      createRoute({ name: "dot", host: "Dot.Example." }),
      createRoute({ name: "default", host: "default.example:80" }),
      createRoute({ name: "six", host: "[2001:DB8::1]:80" }),
      createRoute({ name: "bare", host: "2001:db8::2" }),
      createRoute({ name: "loopback", host: "[::1]:8080" }),
    ));
    const expected: Readonly<Record<string, string | undefined>> = {
      "shop.example": "any",
      "SHOP.example.": "any",
      "shop.example:": "any",
      "shop.example:80": "any",
      "shop.example:8081": "any",
      "shop.example:8080": "port",
      "shop.example.:08080": "port",
      "dot.example": "dot",
      "dot.example.:9000": "dot",
      "dot.example..": undefined,
      "default.example": "default",
      "default.example:0080": "default",
      "default.example:8080": "default",
      "[2001:db8::1]": "six",
      "[2001:db8::1]:8080": "six",
      "[2001:db8::2]": "bare",
      "[::1]:8080": "loopback",
      "[::1]": undefined,
      "[::1]:8081": undefined,
      "[": undefined,
      "": undefined,
    };
    const find = (host: string, path: string) =>
      selectRoute(index, host, path)?.name;
    for (const [host, name] of Object.entries(expected)) {
      expect(find(host, "/lookup/1"), host).to.equal(name);
    }
    expect(find("shop.example:8080", "/lookup/deep/1")).to.equal("port");
    expect(find("shop.example:8080", "/other/1")).to.equal("rest");
  });

  it("are refused if the hosts of two differ in form only", () => {
    const checkTwins = (host: string, other: string) =>
      check(
        createTable(1, createRoute({ host }), createRoute({ host: other })),
      );
    for (const host of ["SHOP.example", "shop.example.", "shop.example:80"]) {
      expect(checkTwins("shop.example", host), host).to.be.a("string");
    }
    for (const host of ["shop.example:8080", "shop.example..", "[::1]"]) {
      expect(checkTwins("shop.example", host), host).to.equal(undefined);
    }
  });

  it("distribute any hundred requests by weight", () => {
    const targets = [
      { service: "old", weight: 90 },
      { service: "new", weight: 10 },
      { service: "none", weight: 0 },
    ];
    for (const phase of [0.05, 0.5, 0.95]) {
      const chooser = new TargetChooser(() => phase);
      expect(countChoices(chooser, createRoute({ targets }), 100))
        .to.deep.equal({ old: 90, new: 10 });
    }
  });

  // Guards against a sum of weights that is beyond the range of a double.
  it("distribute by weight in any scale", () => {
    for (const scale of [1e-320, 1e-3, 1.9e306]) {
      const targets = [
        { service: "old", weight: 90 * scale },
        { service: "new", weight: 10 * scale },
      ];
      const chooser = new TargetChooser(() => 0.05);
      expect(countChoices(chooser, createRoute({ targets }), 100), `${scale}`)
        .to.deep.equal({ old: 90, new: 10 });
    }
  });

  // Guards against two routes whose requests take turns at one phase: each of
  // them would have the same target for ever.
  it("distribute by weight beside another one of the same name", () => {
    const targets = [
      { service: "old", weight: 1 },
      { service: "new", weight: 1 },
    ];
    const chooser = new TargetChooser(() => 0.05);
    const counts = { old: 0, new: 0 };
    for (let n = 0; n < 100; n += 1) {
      chooser.choose(createRoute({ targets, prefix: "/other/" }));
      counts[chooser.choose(createRoute({ targets })) as keyof typeof counts] +=
        1;
    }
    expect(counts).to.deep.equal({ old: 50, new: 50 });
  });

  const faults: readonly [string, Partial<Route>][] = [
    ["an unknown service", { targets: [{ service: "gone", weight: 1 }] }],
    ["no time", { timeoutMs: 0 }],
    ["more than ten minutes", { timeoutMs: 600_001 }],
    ["no weight", { targets: [{ service: "catalog", weight: 0 }] }],
    ["a prefix without a slash", { prefix: "/lookup" }],
  ];
  for (const [what, change] of faults) {
    it(`are refused with ${what}`, () => {
      expect(check(createTable(1, createRoute()))).to.equal(undefined);
      expect(check(createTable(1, createRoute(change)))).to.be.a("string");
    });
  }

  it("are refused if two have the same host and prefix", () => {
    const table = createTable(1, createRoute(), createRoute({ name: "twin" }));
    expect(check(table)).to.be.a("string");
  });
});

/** Chooses `count` times; returns how often each service was chosen. */
function countChoices(
  chooser: TargetChooser,
  route: Route,
  count: number,
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (let n = 0; n < count; n += 1) {
    const service = chooser.choose(route);
    counts[service] = (counts[service] ?? 0) + 1;
  }
  return counts;
}

/**
 * Chooses `count` times; returns how far the count of a target was from its
 * share at most, after any of these requests.
 */
function measureDeviation(
  chooser: TargetChooser,
  route: Route,
  count: number,
): number {
  const { targets } = route;
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  const counts = new Map<string, number>();
  let deviation = 0;
  for (let n = 1; n <= count; n += 1) {
    const chosen = chooser.choose(route);
    counts.set(chosen, (counts.get(chosen) ?? 0) + 1);
    for (const { service, weight } of targets) {
      const off = (counts.get(service) ?? 0) - n * weight / total;
      deviation = Math.max(deviation, Math.abs(off));
    }
  }
  return deviation;
}

// Guards against state in the scale, or at the index, of earlier weights: a
// target of weight 0 once got 200 of 300 requests after a change.
describe("a change of the targets of a route", () => {
  const before = createRoute({
    targets: [{ service: "old", weight: 90 }, { service: "new", weight: 10 }],
  });

  /** Yields a chooser after each number of requests on the old weights. */
  function* createUsedChoosers() {
    for (let used = 0; used <= 100; used += 1) {
      const chooser = new TargetChooser(createRandom(used));
      countChoices(chooser, before, used);
      yield chooser;
    }
  }

  it("gives a target of weight 0 nothing from then on", () => {
    const services = [["old", "new"], ["new", "old"]] as const;
    for (const [kept, ended] of services) {
      const after = createRoute({
        targets: [
          { service: kept, weight: 1 },
          { service: ended, weight: 0 },
        ],
      });
      for (const chooser of createUsedChoosers()) {
        expect(countChoices(chooser, after, 300))
          .to.deep.equal({ [kept]: 300 });
      }
    }
  });

  const changes: Readonly<Record<string, Readonly<Record<string, number>>>> = {
    "equal weights": { old: 1, new: 1 },
    "weights in a smaller scale": { old: 0.9, new: 0.1 },
    "weights in a larger scale": { old: 1_000, new: 3_000 },
    "the targets in another order": { new: 1, old: 9 },
    "a target added in front": { extra: 5, old: 4, new: 1 },
    "a target added at the end": { old: 4, new: 1, extra: 5 },
    "a target removed and two added": { new: 5, extra: 3, other: 2 },
  };
  for (const [what, weights] of Object.entries(changes)) {
    it(`keeps the shares of any requests from then on with ${what}`, () => {
      const targets = Object.entries(weights)
        .map(([service, weight]) => ({ service, weight }));
      const after = createRoute({ targets });
      // Each decision between a target and those after it is off by less than
      // one request; a rounding error is allowed.
      const maxDeviation = targets.length - 1 + 1e-6;
      for (const chooser of createUsedChoosers()) {
        expect(measureDeviation(chooser, after, 300))
          .to.be.lessThan(maxDeviation);
      }
    });
  }

  // Guards against choosers that all begin with the same target: the smaller
  // one then gets nothing on routes, or at nodes, with few requests.
  it("keeps the shares over many routes with a request each", () => {
    const chooser = new TargetChooser(createRandom(1));
    const names = Array.from({ length: 10_000 }, (_, n) => `route-${n}`);
    const countNew = (targets: Route["targets"]) =>
      names.filter((name) =>
        chooser.choose(createRoute({ name, targets })) === "new"
      ).length;
    const equal = before.targets.map((target) => ({ ...target, weight: 1 }));
    // Each range is five standard deviations wide on either side.
    for (let round = 0; round < 3; round += 1) {
      expect(countNew(before.targets)).to.be.within(850, 1_150);
    }
    for (let round = 0; round < 3; round += 1) {
      expect(countNew(equal)).to.be.within(4_750, 5_250);
    }
    chooser.prune(createTable(2));
    expect(countNew(before.targets)).to.be.within(850, 1_150);
  });
});

describe("a replacement of the routes", () => {
  it("is accepted on the version that stands, and its resend too", () => {
    const first = replace(INITIAL_TABLE_STATE, 0, 5);
    expect(first.outcome).to.deep.equal({ type: "EditAccepted", version: 5 });
    const resent = replace(first.state, 0, 5);
    expect(resent.outcome).to.deep.equal(first.outcome);
    expect(resent.state).to.equal(first.state);
  });

  it("is answered as accepted even after a newer one", () => {
    const first = replace(INITIAL_TABLE_STATE, 0, 5);
    const second = replace(first.state, 5, 9);
    const resent = replace(second.state, 0, 5);
    expect(resent.outcome).to.deep.equal({ type: "EditAccepted", version: 5 });
    expect(resent.state.document.table.version).to.equal(9);
  });

  it("conflicts with an earlier one from the same version", () => {
    const first = replace(INITIAL_TABLE_STATE, 0, 5, "one");
    const second = replace(first.state, 0, 5, "two");
    expect(second.outcome)
      .to.deep.equal({ type: "RoutesConflicted", version: 5 });
    expect(second.state.document).to.equal(first.state.document);
  });

  it("must have a higher version", () => {
    const first = replace(INITIAL_TABLE_STATE, 0, 5);
    const second = replace(first.state, 5, 5, "again");
    expect(second.outcome)
      .to.deep.equal({ type: "RoutesOutdated", version: 5 });
  });

  it("that was refused is decided again when it is resent", () => {
    const premature = replace(INITIAL_TABLE_STATE, 5, 9);
    expect(premature.outcome.type).to.equal("RoutesConflicted");
    const first = replace(premature.state, 0, 5);
    expect(replace(first.state, 5, 9).outcome)
      .to.deep.equal({ type: "EditAccepted", version: 9 });
  });
});
