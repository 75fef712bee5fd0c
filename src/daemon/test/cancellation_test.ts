/** A caller that disconnects frees the slots of a chain of three services. */
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { request } from "undici";
import { Fleet, readRuns } from "../../../standin/fleet.ts";
import type { FleetNode } from "../../../standin/fleet.ts";
import type { RunReport } from "../../../standin/backend.ts";

const TABLE = "examples/coton-loukkos/table.csv";
const CALL_COUNT = 10;
/** Slow enough to be still running at each check of the test. */
const SLOW_BEHAVIOUR = { serviceMs: 20_000 };

describe("cancellation through a chain of three services", () => {
  let fleet: Fleet;
  let chain: readonly FleetNode[];

  before(async () => {
    fleet = new Fleet();
    await fleet.startControl("control-a", "kenitra-a");
    const dataCentre = "kenitra-a";
    chain = [
      await fleet.startNode({
        id: "custody-1",
        service: "custody",
        dataCentre,
        behaviour: { ignoresCancel: true, serviceMs: 0 },
        downstream: { "POST /transfers": ["/bales/7"] },
      }),
      await fleet.startNode({
        id: "provenance-1",
        service: "provenance",
        dataCentre,
        behaviour: { ignoresCancel: true, serviceMs: 0 },
        downstream: { "GET /bales": ["/stock/7"] },
      }),
      await fleet.startNode({
        id: "warehouse-1",
        service: "warehouse",
        dataCentre,
        behaviour: SLOW_BEHAVIOUR,
      }),
    ];
    const applied = await fleet.run("table", "apply", TABLE, "--wait");
    expect(applied.exitCode, applied.stderr).to.equal(0);
    for (const kind of ["custody-transfer", "bale-lookup", "stock-check"]) {
      const edited = await fleet.run("table", "edit", kind, "timeout_ms=15000");
      expect(edited.exitCode, edited.stderr).to.equal(0);
    }
    const last = await fleet.run(
      "table",
      "edit",
      "stock-check",
      "queue=99",
      "--wait",
    );
    expect(last.exitCode, last.stderr).to.equal(0);
  });

  after(async () => {
    await fleet[Symbol.asyncDispose]();
  });

  /** Polls every backend server until `isMet` holds for all. */
  async function waitRuns(
    isMet: (report: RunReport) => boolean,
  ): Promise<readonly RunReport[]> {
    for (;;) {
      const reports = await Promise.all(
        chain.map((node) => readRuns(node.backendAddress)),
      );
      if (reports.every(isMet)) {
        return reports;
      }
      await sleep(20);
    }
  }

  it("leaves nothing running, though two backend servers ignore it", async () => {
    const callerAbort = new AbortController();
    const calls = Array.from(
      { length: CALL_COUNT },
      (_, i) =>
        request(`http://${chain[1]!.edge}/transfers`, {
          method: "POST",
          headers: { "idempotency-key": `k-${i}` },
          body: "{}",
          signal: callerAbort.signal,
        }).catch(() => undefined),
    );
    await waitRuns(({ running }) => running === CALL_COUNT);
    callerAbort.abort();
    await Promise.all(calls);
    const after = await waitRuns(({ running }) => running === 0);
    expect(after[2]!.cancelled).to.equal(CALL_COUNT);
    for (const report of after) {
      expect(report.started).to.equal(CALL_COUNT);
    }
    await checkIdle();
  });

  it("leaves nothing running after the deadline of the first hop", async () => {
    const edited = await fleet.run(
      "table",
      "edit",
      "custody-transfer",
      "timeout_ms=800",
      "--wait",
    );
    expect(edited.exitCode, edited.stderr).to.equal(0);
    const before = await waitRuns(() => true);
    const answer = await request(`http://${chain[1]!.edge}/transfers`, {
      method: "POST",
      headers: { "idempotency-key": "late" },
      body: "{}",
    });
    await answer.body.dump();
    expect(answer.statusCode).to.equal(504);
    // Two deadlines race here: the first backend server's own 504 may arrive in
    // time or not. Only "not-run" would be false, as the transfer did start.
    expect(answer.headers["basilpin-outcome"]).to.be.oneOf(["ran", "unknown"]);
    const after = await waitRuns(({ running }) => running === 0);
    after.forEach((report, i) => {
      expect(report.started).to.equal(before[i]!.started + 1);
    });
    expect(after[2]!.cancelled).to.equal(before[2]!.cancelled + 1);
    await checkIdle();
  });

  async function checkIdle(): Promise<void> {
    for (const node of chain) {
      const status = await request(`http://${node.operator}/status`);
      const body = await status.body.json();
      expect(body).to.include({ entryCalls: 0, running: 0, queued: 0 });
    }
  }
});
