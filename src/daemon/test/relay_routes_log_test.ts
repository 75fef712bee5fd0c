/** Lines on the routes that a node received, and the age of those in force. */
import { expect } from "chai";
import type { RelayLine } from "../../engine/relay/common/relay_log.ts";
import { DEFAULT_LIMITS } from "../../engine/routes/common/route_table.ts";
import type { RouteTable } from "../../engine/routes/common/route_table.ts";
import { RelayRoutesLog } from "../relay_routes_log.ts";
import type { ReceivedRoutes } from "../relay_routes_log.ts";

const START_MS = 5_000;

function createTable(version: number, digest = `text-${version}`): RouteTable {
  return { version, digest, routes: [], limits: DEFAULT_LIMITS };
}

function createReceived(
  routes: RouteTable,
  { isConfirmed = true, replica = "10.0.0.1:7000" } = {},
): ReceivedRoutes {
  return { routes, isConfirmed, replica };
}

describe("the log of a node's routes", () => {
  let nowMs: number;
  let lines: RelayLine[];
  let versions: number;
  let log: RelayRoutesLog;

  beforeEach(() => {
    nowMs = START_MS;
    lines = [];
    versions = 0;
    log = new RelayRoutesLog({
      log: { write: (line) => lines.push(line) },
      countVersion: () => versions++,
      readClock: () => nowMs,
    });
  });

  function listSetAside(): readonly unknown[] {
    return lines.filter(({ event }) => event === "RoutesSetAside")
      .map(({ version, reason, replica }) => [version, reason, replica]);
  }

  // Guards against routes of which nobody can tell where they came from.
  it("names the replica, the digest and the time since the start", () => {
    nowMs += 700;
    log.recordInForce(createReceived(createTable(3)));
    expect(lines).to.deep.equal([{
      event: "RoutesInForce",
      isFailure: false,
      version: 3,
      before: undefined,
      isConfirmed: true,
      replica: "10.0.0.1:7000",
      digest: "text-3",
      routes: 0,
      ageMs: 700,
      sinceStartMs: 700,
    }]);
    expect(versions).to.equal(1);
  });

  // Guards against routes that are ignored without a trace.
  it("says why routes were set aside", () => {
    log.recordIgnored(createReceived(createTable(3), { isConfirmed: false }));
    log.recordInForce(createReceived(createTable(3)));
    log.recordIgnored(createReceived(createTable(2)));
    log.recordIgnored(createReceived(createTable(3, "text-other")));
    log.recordIgnored(createReceived(createTable(3)));
    const replica = "10.0.0.1:7000";
    expect(listSetAside()).to.deep.equal([
      [3, "unconfirmed", replica],
      [2, "older", replica],
      [3, "other text", replica],
    ]);
  });

  // Guards against a replica that resends old routes and fills the log.
  it("says it once for each replica and version", () => {
    log.recordInForce(createReceived(createTable(3)));
    const other = "10.0.0.2:7000";
    for (let i = 0; i < 5; i++) {
      log.recordIgnored(createReceived(createTable(2)));
      log.recordIgnored(createReceived(createTable(2), { replica: other }));
    }
    expect(listSetAside()).to.deep.equal([
      [2, "older", "10.0.0.1:7000"],
      [2, "older", other],
    ]);
  });

  // Guards against a node that has fallen behind and looks current.
  it("measures the age since the version in force was last proved", () => {
    log.recordInForce(createReceived(createTable(3)));
    nowMs += 900;
    log.recordProof(4);
    expect(log.ageMs).to.equal(900);
    log.recordProof(3);
    expect(log.ageMs).to.equal(0);
    nowMs += 400;
    log.recordIgnored(createReceived(createTable(3)));
    expect(log.ageMs).to.equal(0);
    nowMs += 200;
    log.recordInForce(createReceived(createTable(4), { isConfirmed: false }));
    expect(lines.at(-1)).to.include({ before: 3, ageMs: 200 });
    nowMs += 100;
    expect(log.ageMs).to.equal(nowMs - START_MS);
    expect(log.createFields())
      .to.deep.equal({ routesVersion: 4, routesAgeMs: nowMs - START_MS });
  });
});
