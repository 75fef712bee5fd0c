/** Recordings: their form, and replays against stated outcomes. */
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { expect } from "chai";
import { request } from "undici";
import { Fleet } from "../../../../standin/fleet.ts";
import { compareOutcomes, replayTrace } from "../common/replay.ts";
import { formatTraceLine, parseTrace } from "../common/trace_format.ts";
import type { TraceHeader } from "../common/trace_format.ts";

const FOLDER = "traces";

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

describe("trace replay", () => {
  it("gives what the callers of the recorded node saw", async () => {
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
    const seen: number[] = [];
    for (const path of ["/prices/1", "/prices/2", "/stock/hall-a/1"]) {
      const answer = await request(`http://${edge.edge}${path}`);
      await answer.body.dump();
      seen.push(answer.statusCode);
    }
    expect(seen).to.deep.equal([200, 200, 503]);
    expect(await fleet.stop(edge)).to.equal(0);
    const recorded = parseTrace(readFileSync(trace, "utf8"))._unsafeUnwrap();
    const { outcome } = replayTrace(recorded);
    expect(outcome.answers.map(({ status }) => status)).to.deep.equal(seen);
    expect(outcome.sentToNodes).to.equal(2);
    expect(outcome.open).to.equal(0);
  });

  it("names each difference from a stated outcome", () => {
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

  const files = existsSync(FOLDER) ? readdirSync(FOLDER) : [];
  for (const file of files.filter((name) => name.endsWith(".trace"))) {
    it(`comes to the stated outcome of ${file}`, () => {
      const text = readFileSync(join(FOLDER, file), "utf8");
      const trace = parseTrace(text)._unsafeUnwrap();
      expect(trace.expected, "stated outcome").to.not.equal(undefined);
      const { outcome } = replayTrace(trace);
      expect(compareOutcomes(trace.expected!, outcome)).to.deep.equal([]);
    });
  }
});
