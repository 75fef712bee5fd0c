/** Connections between two nodes that stop delivering, while new ones work. */
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { request } from "undici";
import { Fleet, readRuns } from "../../../standin/fleet.ts";
import type { FleetNode } from "../../../standin/fleet.ts";
import { findAddress } from "../../../standin/ports.ts";
import { Relay } from "../../../standin/relay.ts";

const TABLE = "examples/coton-loukkos/table.csv";
const LOOKUP_COUNT = 20;

describe("silent connections between nodes", () => {
  let fleet: Fleet;
  let relay: Relay;
  let entry: FleetNode;
  let custody: FleetNode;

  before(async () => {
    fleet = new Fleet();
    relay = new Relay(await findAddress());
    await relay.open();
    await fleet.startControl("control-a", "kenitra-a");
    entry = await fleet.startNode({
      id: "provenance-1",
      service: "provenance",
      dataCentre: "kenitra-a",
    });
    custody = await fleet.startNode({
      id: "custody-1",
      service: "custody",
      dataCentre: "kenitra-a",
      advertise: relay.address,
    });
    relay.target = custody.ingress;
    const applied = await fleet.run("table", "apply", TABLE, "--wait");
    expect(applied.exitCode, applied.stderr).to.equal(0);
    const edited = await fleet.run(
      "table",
      "edit",
      "bale-lookup",
      "service=custody",
      "--wait",
    );
    expect(edited.exitCode, edited.stderr).to.equal(0);
  });

  after(async () => {
    await fleet[Symbol.asyncDispose]();
    await relay[Symbol.asyncDispose]();
  });

  async function callLookups(): Promise<readonly string[]> {
    return await Promise.all(
      Array.from({ length: LOOKUP_COUNT }, async (_, i) => {
        const answer = await request(`http://${entry.edge}/bales/${i}`);
        await answer.body.dump();
        return `${answer.statusCode} ${answer.headers["basilpin-outcome"]}`;
      }),
    );
  }

  async function transfer(key: string, headers: Record<string, string> = {}) {
    const answer = await request(`http://${entry.edge}/transfers`, {
      method: "POST",
      headers: { "idempotency-key": key, ...headers },
      body: "{}",
    });
    await answer.body.dump();
    return {
      status: answer.statusCode,
      outcome: answer.headers["basilpin-outcome"],
    };
  }

  async function waitRun(key: string): Promise<void> {
    for (;;) {
      const { byKey } = await readRuns(custody.backendAddress);
      if (byKey[key] !== undefined) {
        return;
      }
      await sleep(10);
    }
  }

  it("lookups get whole answers on new connections", async () => {
    expect(new Set(await callLookups())).to.deep.equal(new Set(["200 ran"]));
    expect(relay.breakOpen("silent")).to.be.above(0);
    const connectionsBefore = relay.count;
    expect(new Set(await callLookups())).to.deep.equal(new Set(["200 ran"]));
    expect(relay.count).to.be.above(connectionsBefore);
  });

  it("are not used by later calls once one was found silent", async () => {
    const edit = async (retries: number) => {
      const cells = `retries=${retries}`;
      const done = await fleet.run(
        "table",
        "edit",
        "bale-lookup",
        cells,
        "--wait",
      );
      expect(done.exitCode, done.stderr).to.equal(0);
    };
    await callLookups();
    await edit(0);
    expect(relay.breakOpen("silent")).to.be.above(1);
    const first = await request(`http://${entry.edge}/bales/first`);
    await first.body.dump();
    expect(first.headers["basilpin-outcome"]).to.equal("not-run");
    expect(new Set(await callLookups())).to.deep.equal(new Set(["200 ran"]));
    await edit(3);
  });

  it("a transfer that did not arrive is retried and runs once", async () => {
    await callLookups();
    relay.breakOpen("silent");
    expect(await transfer("t-lost")).to.deep.equal({
      status: 200,
      outcome: "ran",
    });
    const { byKey } = await readRuns(custody.backendAddress);
    expect(byKey["t-lost"]).to.equal(1);
  });

  it("a transfer whose answer is lost is unknown and runs once", async () => {
    const sent = transfer("t-unheard", { "x-standin-ms": "500" });
    await waitRun("t-unheard");
    relay.breakOpen("silent");
    expect((await sent).outcome).to.equal("unknown");
    const { byKey } = await readRuns(custody.backendAddress);
    expect(byKey["t-unheard"]).to.equal(1);
  });

  it("a transfer whose connection is cut is unknown and runs once", async () => {
    const sent = transfer("t-cut", { "x-standin-ms": "500" });
    await waitRun("t-cut");
    relay.breakOpen("cut");
    expect((await sent).outcome).to.equal("unknown");
    const { byKey } = await readRuns(custody.backendAddress);
    expect(byKey["t-cut"]).to.equal(1);
  });

  it("a slow transfer is not given up", async () => {
    const slow = await transfer("t-slow", { "x-standin-ms": "3500" });
    expect(slow).to.deep.equal({ status: 200, outcome: "ran" });
  });

  it("a large answer that stops on its way is cut, not ended", async () => {
    const answer = await request(`http://${entry.edge}/bales/big`, {
      headers: { "x-standin-bytes": "30000000" },
    });
    relay.breakOpen("silent");
    const end = await answer.body.text().then(() => "whole", () => "cut");
    expect(end).to.equal("cut");
  });
});
