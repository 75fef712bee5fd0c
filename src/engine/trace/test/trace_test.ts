/** Trace format, and replays compared with expected outcomes. */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { expect } from "chai";
import { request } from "undici";
import { Fleet } from "../../../../standin/fleet.ts";
import { compareOutcomes, replayTrace } from "../common/replay.ts";
import { replayNode } from "../common/replay_node.ts";
import { formatTraceLine, parseTrace } from "../common/trace_format.ts";
import type { TraceHeader } from "../common/trace_format.ts";

const TRACE_FOLDER = "traces";

/** Faults that the system must tolerate; each needs at least one recording. */
const RECORDED_FAULTS = [
  "backend_killed",
  "cold_start",
  "control_partition",
  "crashing_request",
  "cut_answers",
  "cut_answers_served",
  "drain_seen_by_entry",
  "drain_under_load",
  "node_killed",
  "node_killed_itself",
  "racing_edits_a",
  "racing_edits_b",
  "resends",
  "resent_edit",
  "resent_edit_unheard",
  "resent_refund",
  "restart_after_edits",
  "silent_connection",
  "straggler",
  "surge",
];

const HEADER: TraceHeader = {
  format: "basilpin-trace",
  version: 1,
  role: "node",
  backendAddress: "127.0.0.1:9",
  self: {
    nodeId: "n",
    incarnation: 1,
    sequence: 0,
    service: "catalog",
    dataCentre: "hall-a",
    region: "r",
    vm: "v",
    ingress: "127.0.0.1:1",
    operator: "127.0.0.1:2",
    slots: 1,
    connections: 1,
    isDraining: false,
  },
};

describe("trace format", () => {
  const faults: Readonly<Record<string, readonly [string, number]>> = {
    "an empty file": ["", 1],
    "another format": ['{"format":"other"}\n', 1],
    "a newer version": [JSON.stringify({ ...HEADER, version: 2 }), 1],
    "a torn line": [`${formatTraceLine(HEADER)}{"atMs":1,"ev`, 2],
    "an event without a time": [
      `${formatTraceLine(HEADER)}{"event":{"type":"Ticked"}}`,
      2,
    ],
    "a time that goes backwards": [
      formatTraceLine(HEADER) +
      formatTraceLine({ atMs: 2, event: { type: "Ticked" } }) +
      formatTraceLine({ atMs: 1, event: { type: "Ticked" } }),
      3,
    ],
  };
  for (const [name, [text, line]] of Object.entries(faults)) {
    it(`refuses ${name} and names the line`, () => {
      expect(parseTrace(text)._unsafeUnwrapErr().line).to.equal(line);
    });
  }
});

describe("trace of a control replica", () => {
  it("restores the bytes of its storage and messages", () => {
    const payload = new Uint8Array([0, 255, 10]);
    const header: TraceHeader = {
      format: "basilpin-trace",
      version: 1,
      role: "control",
      start: {
        cluster: { self: "a", voters: ["a"], peers: [] },
        replicaId: "a~1",
        nowMs: 1,
        recovered: {
          hardState: { term: 1, votedFor: "a~1" },
          snapshot: undefined,
          entries: [{ index: 1, term: 1, payload: Buffer.from(payload) }],
        },
      },
    };
    const trace = parseTrace(formatTraceLine(header))._unsafeUnwrap();
    expect(trace.role === "control" && trace.header.start.recovered.entries)
      .to.deep.equal([{ index: 1, term: 1, payload }]);
  });

  it("describes each difference from the expected outcome", () => {
    const edit = { editId: "e", outcome: "EditAccepted", version: 2 } as const;
    const outcome = { edits: [edit], reads: [2], tableVersion: 2 };
    expect(compareOutcomes(outcome, outcome)).to.deep.equal([]);
    const other = { edits: [], reads: [1], tableVersion: 1 };
    expect(compareOutcomes(outcome, other)).to.deep.equal([
      "edit 1: expected e EditAccepted 2, got none",
      "read 1: expected 2, got 1",
      "table version 1: expected 2, got 1",
    ]);
  });
});

describe("trace replay", () => {
  it("reproduces the answers to the callers of the recorded node", async () => {
    await using fleet = new Fleet();
    const trace = join(fleet.folder, "edge.trace");
    await fleet.startControl("control-a", "hall-a");
    await fleet.startNode({
      id: "catalog-1",
      service: "catalog",
      dataCentre: "hall-a",
    });
    const edge = await fleet.startNode({
      id: "tillside-1",
      service: "tillside",
      dataCentre: "hall-a",
      trace,
    });
    await fleet.run("table", "apply", "examples/toy-trust/table.csv", "--wait");
    const receivedStatuses: number[] = [];
    for (const path of ["/prices/1", "/prices/2", "/stock/hall-a/1"]) {
      const answer = await request(`http://${edge.edge}${path}`);
      await answer.body.dump();
      receivedStatuses.push(answer.statusCode);
    }
    expect(receivedStatuses).to.deep.equal([200, 200, 503]);
    expect(await fleet.stop(edge)).to.equal(0);
    const recorded = parseTrace(readFileSync(trace, "utf8"))._unsafeUnwrap();
    if (recorded.role !== "node") {
      throw new Error(
        "Expected the recording of a node, not of a control replica",
      );
    }
    const { outcome } = replayNode(recorded);
    expect(outcome.answers.map(({ status }) => status)).to.deep.equal(
      receivedStatuses,
    );
    expect(outcome.sentToNodes).to.equal(2);
    expect(outcome.open).to.equal(0);
  });

  it("describes each difference from the expected outcome", () => {
    const outcome = {
      answers: [{ exchangeId: "a", status: 200, outcome: "ran" }],
      sentToNodes: 1,
      sentToBackend: 0,
      open: 0,
    };
    expect(compareOutcomes(outcome, outcome)).to.deep.equal([]);
    expect(compareOutcomes({ ...outcome, answers: [], open: 1 }, outcome))
      .to.deep.equal([
        "open: expected 1, got 0",
        "answer 1: expected none, got a 200 ran",
      ]);
  });

  const files = readdirSync(TRACE_FOLDER).filter((name) =>
    name.endsWith(".trace")
  );

  it("has a recording of every fault", () => {
    const requiredFiles = RECORDED_FAULTS.map((name) => `${name}.trace`);
    expect(files).to.include.members(requiredFiles);
  });

  for (const file of files) {
    it(`reproduces the expected outcome of ${file}`, () => {
      const text = readFileSync(join(TRACE_FOLDER, file), "utf8");
      const trace = parseTrace(text)._unsafeUnwrap();
      expect(trace.expected, "expected outcome").to.not.equal(undefined);
      const { outcome } = replayTrace(trace);
      expect(compareOutcomes(trace.expected!, outcome)).to.deep.equal([]);
    });
  }
});
