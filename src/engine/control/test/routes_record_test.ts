/** What replicas record of changes of the routes, tested on their reducer. */
import { expect } from "chai";
import { DEFAULT_LIMITS } from "../../routes/common/route_table.ts";
import type { ReplaceRoutes } from "../../table/common/table_reducer.ts";
import { Replicas } from "./replicas.ts";

const IDS = ["a", "b", "c"];
/** Entries after which a replica takes a snapshot and drops its log. */
const MANY_CHANGES = 1_500;

function createChange(baseVersion: number, version: number): ReplaceRoutes {
  const table = { version, routes: [], limits: DEFAULT_LIMITS };
  const document = { table, source: `text ${version}` };
  return { type: "ReplaceRoutes", baseVersion, document };
}

function startSet(): Replicas {
  const replicas = new Replicas(IDS);
  IDS.forEach((id) => replicas.start(id));
  const isUp = () => IDS.every((id) => replicas.isConfirmed(id));
  expect(replicas.runUntil(isUp), "the set serves").to.equal(true);
  return replicas;
}

/** Replaces the routes at a replica, and returns the entry of its answer. */
function replaceRoutes(
  replicas: Replicas,
  at: string,
  [baseVersion, version]: readonly [number, number],
) {
  const request = replicas.edit(
    at,
    `edit-${baseVersion}-${version}`,
    createChange(baseVersion, version),
  );
  replicas.runUntil(() => replicas.results.has(request));
  const result = replicas.results.get(request);
  return result?.type === "EditAnswered" ? result.entry : undefined;
}

describe("the record of the routes", () => {
  // Guards against an answer that can't be traced to an entry of the log.
  it("has the entry of each decision, at every replica and in the answer", () => {
    const replicas = startSet();
    const follower = IDS.find((id) => id !== replicas.leader)!;
    const accepted = replaceRoutes(replicas, follower, [0, 3])!;
    const repeated = replaceRoutes(replicas, replicas.leader!, [0, 3])!;
    const conflicted = replaceRoutes(replicas, follower, [2, 5])!;
    const outdated = replaceRoutes(replicas, follower, [3, 1])!;
    replicas.runUntil(() => replicas.routesRecords.length === 12);
    for (const id of IDS) {
      const records = replicas.routesRecords.flatMap((record) =>
        record.replica === id && record.type === "RoutesDecided"
          ? [[record.index, record.isRepeat, record.outcome.type]]
          : []
      );
      expect(records, id).to.deep.equal([
        [accepted.index, false, "EditAccepted"],
        [repeated.index, true, "EditAccepted"],
        [conflicted.index, false, "RoutesConflicted"],
        [outdated.index, false, "RoutesOutdated"],
      ]);
    }
    expect(accepted.isRepeat).to.equal(false);
    expect(repeated.isRepeat).to.equal(true);
    expect(accepted.term).to.equal(replicas.get("a").consensus.term);
  });

  // Guards against a version that appears at a replica without a line.
  it("has the version that came with a snapshot", () => {
    const replicas = startSet();
    replaceRoutes(replicas, "a", [0, 1]);
    const behind = IDS.find((id) => id !== replicas.leader)!;
    replicas.kill(behind);
    const { leader } = replicas;
    for (let version = 1; version < MANY_CHANGES; version++) {
      replicas.edit(
        leader!,
        `edit-${version}`,
        createChange(version, version + 1),
      );
    }
    const hasLast = (id: string) =>
      replicas.get(id).tableState.document.table.version === MANY_CHANGES;
    replicas.runUntil(() => hasLast(leader!));
    replicas.wipe(behind);
    replicas.start(behind);
    replicas.runUntil(() => hasLast(behind));
    const installed = replicas.routesRecords.filter((record) =>
      record.replica === behind && record.type === "RoutesInstalled"
    );
    expect(installed.length).to.be.at.least(1);
    expect(installed[0]!.table.version).to.be.above(1);
  });
});
