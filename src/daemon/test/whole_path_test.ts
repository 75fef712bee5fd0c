/** The full call path across processes: caller, two nodes, backend server. */
import { writeFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { request } from "undici";
import { CONTEXT_HEADER } from "../../engine/call/common/call_context.ts";
import { Fleet, readRuns } from "../../../standin/fleet.ts";
import type { FleetNode } from "../../../standin/fleet.ts";

const TABLE = "examples/coton-loukkos/table.csv";

describe("whole path", () => {
  let fleet: Fleet;
  let provenance: FleetNode;
  let custody: FleetNode;

  before(async () => {
    fleet = new Fleet();
    await fleet.startControl("control-a", "kenitra-a");
    provenance = await fleet.startNode({
      id: "provenance-1",
      service: "provenance",
      dataCentre: "kenitra-a",
    });
    custody = await fleet.startNode({
      id: "custody-1",
      service: "custody",
      dataCentre: "kenitra-a",
      downstream: { "POST /transfers": ["/bales/7"] },
    });
    const applied = await fleet.run("table", "apply", TABLE, "--wait");
    expect(applied.exitCode, applied.stderr).to.equal(0);
  });

  after(async () => {
    await fleet[Symbol.asyncDispose]();
  });

  it("brings a whole answer through two nodes", async () => {
    const answer = await request(`http://${custody.edge}/bales/42?full=1`);
    const body = await answer.body.json() as Record<string, unknown>;
    expect(answer.statusCode).to.equal(200);
    expect(answer.headers["basilpin-outcome"]).to.equal("ran");
    expect(body["request"]).to.equal("GET /bales/42?full=1");
    expect(body["backend"]).to.equal(provenance.backendAddress);
  });

  it("carries a call of the backend server on to the next service", async () => {
    const answer = await request(`http://${provenance.edge}/transfers`, {
      method: "POST",
      headers: { "idempotency-key": "t-1" },
      body: JSON.stringify({ bale: 7 }),
    });
    const body = await answer.body.json() as Record<string, unknown>;
    expect(answer.statusCode).to.equal(200);
    expect(body["key"]).to.equal("t-1");
    expect(body["downstream"]).to.deep.equal([200]);
  });

  it("passes a large answer whole", async () => {
    const answer = await request(`http://${custody.edge}/bales/1`, {
      headers: { "x-standin-bytes": "3000000" },
    });
    const body = await answer.body.json() as { filler: string };
    expect(body.filler.length).to.equal(3_000_000);
  });

  it("refuses a body over its row's limit before the backend server", async () => {
    const before = await readRuns(custody.backendAddress);
    const answer = await request(`http://${custody.edge}/transfers`, {
      method: "POST",
      body: Buffer.alloc(70_000, 1),
    });
    await answer.body.dump();
    const after = await readRuns(custody.backendAddress);
    expect(answer.statusCode).to.equal(413);
    expect(answer.headers["basilpin-outcome"]).to.equal("not-run");
    expect(after.started).to.equal(before.started);
  });

  it("never takes a context from a caller", async () => {
    const answer = await request(`http://${custody.edge}/bales/42`, {
      headers: { [CONTEXT_HEADER]: "forged" },
    });
    await answer.body.dump();
    expect(answer.statusCode).to.equal(200);
  });

  it("refuses a malformed context at the other listeners", async () => {
    for (const address of [custody.egress, custody.ingress]) {
      const answer = await request(`http://${address}/bales/42`, {
        headers: { [CONTEXT_HEADER]: "forged" },
      });
      await answer.body.dump();
      expect(answer.statusCode).to.equal(400);
    }
  });

  it("cuts the caller's connection where the backend server's answer is cut", async () => {
    const answer = await request(`http://${custody.edge}/bales/42`, {
      headers: { "x-standin-cut": "1" },
    });
    const failure = await answer.body.text().then(() => "whole", () => "cut");
    expect(failure).to.equal("cut");
  });

  it("shows one request on the time line of all processes", async () => {
    const all = await fleet.run("timeline", "--json");
    const records = JSON.parse(all.stdout) as {
      process: string;
      event: { type: string; requestId?: string; kind?: string };
    }[];
    const transfer = records.find(({ event }) =>
      event.type === "CallStarted" && event.kind === "custody-transfer"
    )!;
    const one = records.filter(({ event }) =>
      event.requestId === transfer.event.requestId
    );
    expect(one.map(({ event }) => event.type)).to.deep.equal([
      "CallStarted",
      "AttemptSent",
      "AttemptRun",
      "CallStarted",
      "AttemptSent",
      "AttemptRun",
      "CallEnded",
      "CallEnded",
    ]);
  });

  it("puts an edit in force everywhere and refuses the one that raced", async () => {
    const first = await fleet.run("table", "get");
    const edited = await fleet.run(
      "table",
      "edit",
      "bale-lookup",
      "weight=7",
      "--wait",
    );
    expect(edited.exitCode, edited.stderr).to.equal(0);
    const stale = `${fleet.folder}/stale.csv`;
    writeFileSync(stale, first.stdout.replace("yes,none,0,1", "no,none,0,1"));
    const raced = await fleet.run("table", "apply", stale);
    expect(raced.exitCode).to.equal(3);
    expect(raced.stderr).to.contain("Row bale-lookup is at version 2");
  });

  it("finishes what is in progress on a planned stop", async () => {
    const extra = await fleet.startNode({
      id: "warehouse-1",
      service: "warehouse",
      dataCentre: "kenitra-a",
      slots: 4,
    });
    const slow = request(`http://${custody.edge}/stock/slow`, {
      headers: { "x-standin-ms": "700" },
    });
    await sleep(200);
    const stopped = fleet.stop(extra);
    const answer = await slow;
    await answer.body.dump();
    expect(answer.statusCode).to.equal(200);
    expect(await stopped).to.equal(0);
    const gone = await request(`http://${custody.edge}/stock/gone`);
    await gone.body.dump();
    expect(gone.statusCode).to.equal(503);
    expect(gone.headers["basilpin-outcome"]).to.equal("not-run");
    expect(gone.headers["retry-after"]).to.equal("1");
  });
});
