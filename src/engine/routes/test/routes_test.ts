/** Matching, load balancing, validation and replacement of routes. */
import { expect } from "chai";
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

  it("distribute any hundred requests by weight", () => {
    const targets = [
      { service: "old", weight: 90 },
      { service: "new", weight: 10 },
      { service: "none", weight: 0 },
    ];
    const chooser = new TargetChooser();
    const counts = new Map<string, number>();
    for (let n = 0; n < 100; n += 1) {
      const service = chooser.choose(createRoute({ targets }));
      counts.set(service, (counts.get(service) ?? 0) + 1);
    }
    expect([...counts]).to.deep.equal([["old", 90], ["new", 10]]);
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
      const services = new Set(["catalog"]);
      const check = (route: Route) =>
        checkRoutes(createTable(1, route), services);
      expect(check(createRoute())).to.equal(undefined);
      expect(check(createRoute(change))).to.be.a("string");
    });
  }

  it("are refused if two have the same host and prefix", () => {
    const table = createTable(1, createRoute(), createRoute({ name: "twin" }));
    expect(checkRoutes(table, new Set(["catalog"]))).to.be.a("string");
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
