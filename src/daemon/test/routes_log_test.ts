/** Lines and counts of a replica's answers on the routes. */
import { expect } from "chai";
import { restoreReplication } from "../../engine/control/common/replication_reducer.ts";
import type { ReplicationState } from "../../engine/control/common/replication_state.ts";
import type { EditResult } from "../../engine/link/common/cluster_messages.ts";
import type { RelayLine } from "../../engine/relay/common/relay_log.ts";
import { DEFAULT_LIMITS } from "../../engine/routes/common/route_table.ts";
import type { RouteDocument } from "../../engine/routes/common/route_table.ts";
import { RoutesLog } from "../routes_log.ts";

const SOURCE = "text with a key";
const DOCUMENT: RouteDocument = {
  table: { version: 7, digest: "digest-7", routes: [], limits: DEFAULT_LIMITS },
  source: SOURCE,
};
const EDIT = {
  editId: "0123456789abcdef",
  change: { type: "ReplaceRoutes", baseVersion: 6, document: DOCUMENT },
} as const;
const ENTRY = { index: 12, term: 3, isRepeat: false };

function createState(document?: RouteDocument): ReplicationState {
  const { state } = restoreReplication({
    cluster: { self: "a", voters: ["a"], peers: [] },
    replicaId: "a~1",
    recovered: {
      hardState: { term: 0, votedFor: undefined },
      snapshot: undefined,
      entries: [],
    },
    nowMs: 0,
  });
  return document === undefined
    ? state
    : { ...state, tableState: { ...state.tableState, document } };
}

describe("the log of a replica's routes", () => {
  let lines: RelayLine[];
  let counts: string[];

  function createLog(document?: RouteDocument): RoutesLog {
    const state = createState(document);
    lines = [];
    counts = [];
    return new RoutesLog({
      log: { write: (line) => lines.push(line) },
      readState: () => state,
      countChange: (outcome) => counts.push(`change ${outcome}`),
      countRead: (outcome) => counts.push(`read ${outcome}`),
    });
  }

  const results: readonly [string, string, EditResult][] = [
    ["change accepted", "RoutesChangeAccepted", {
      type: "EditAnswered",
      outcome: { type: "EditAccepted", version: 7 },
      entry: ENTRY,
    }],
    ["change repeated", "RoutesChangeAccepted", {
      type: "EditAnswered",
      outcome: { type: "EditAccepted", version: 7 },
      entry: { ...ENTRY, isRepeat: true },
    }],
    ["change conflicted", "RoutesChangeRefused", {
      type: "EditAnswered",
      outcome: { type: "RoutesConflicted", version: 8 },
      entry: ENTRY,
    }],
    ["change outdated", "RoutesChangeRefused", {
      type: "EditAnswered",
      outcome: { type: "RoutesOutdated", version: 8 },
      entry: ENTRY,
    }],
    ["change no quorum", "RoutesChangeRefused", {
      type: "EditRefused",
      isUnknown: false,
    }],
    ["change outcome unknown", "RoutesChangeRefused", {
      type: "EditRefused",
      isUnknown: true,
    }],
  ];
  for (const [count, event, result] of results) {
    // Guards against an answer that leaves no line, or no count.
    it(`has a line of a ${count}`, async () => {
      const log = createLog();
      const answer = await log.observeChange(
        EDIT,
        () => Promise.resolve(result),
      );
      expect(answer).to.equal(result);
      expect(counts).to.deep.equal([count]);
      expect(lines).to.have.length(1);
      expect(lines[0]).to.include({
        event,
        version: 7,
        baseVersion: 6,
        digest: "digest-7",
        sizeBytes: SOURCE.length,
        edit: "0123456789ab",
        replicaRole: "joining",
      });
      if (result.type === "EditAnswered") {
        expect(lines[0]).to.include({ index: 12, term: 3 });
      }
      if (event === "RoutesChangeRefused") {
        expect(`change ${lines[0]!["reason"]}`).to.equal(count);
      }
      expect(JSON.stringify(lines)).not.to.include(SOURCE);
    });
  }

  // Guards against a read that nobody can tell from one of another version.
  it("has a line of each read", async () => {
    const log = createLog(DOCUMENT);
    const empty = { table: { ...DOCUMENT.table, version: 0 }, source: "" };
    for (const document of [DOCUMENT, undefined, empty]) {
      await log.observeRead(() => Promise.resolve(document));
    }
    expect(lines.map(({ event, reason, version }) => [event, reason, version]))
      .to.deep.equal([
        ["RoutesRead", undefined, 7],
        ["RoutesReadRefused", "no quorum", 7],
        ["RoutesReadRefused", "no routes", 0],
      ]);
    expect(counts)
      .to.deep.equal(["read answered", "read no quorum", "read no routes"]);
    expect(JSON.stringify(lines)).not.to.include(SOURCE);
  });

  // Guards against a version at a replica that no line accounts for.
  it("has the version that was restored, or came with a snapshot", () => {
    createLog().recordRestored();
    expect(lines).to.deep.equal([]);
    const log = createLog(DOCUMENT);
    log.recordRestored();
    const { table } = DOCUMENT;
    log.record({ type: "RoutesInstalled", index: 40, term: 2, table });
    expect(lines.map(({ event, reason, version, index }) => [
      event,
      reason,
      version,
      index,
    ])).to.deep.equal([
      ["RoutesApplied", "restored", 7, undefined],
      ["RoutesApplied", "snapshot", 7, 40],
    ]);
  });

  // Guards against a line as long as a name in a configuration.
  it("cuts long descriptions of faults", () => {
    const detail = `Route ${"r".repeat(10_000)}: no`;
    createLog().recordInvalid({ detail });
    expect(String(lines[0]!["detail"]).length).to.equal(200);
    expect(counts).to.deep.equal(["change invalid"]);
  });
});
