/** Health and load endpoints that are wrong or hang while calls are served. */
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { request } from "undici";
import type { Behaviour } from "../../../standin/backend.ts";
import { Fleet, readRuns, setBehaviour } from "../../../standin/fleet.ts";
import type { FleetNode } from "../../../standin/fleet.ts";

const TABLE = "examples/coton-loukkos/table.csv";
const CALL_COUNT = 200;
const CONCURRENCY = 10;

describe("health and load endpoints", () => {
  let fleet: Fleet;
  let nodes: readonly [FleetNode, FleetNode];

  before(async () => {
    fleet = new Fleet();
    await fleet.startControl("control-a", "kenitra-a");
    const common = {
      service: "provenance",
      dataCentre: "kenitra-a",
      hasHints: true,
    };
    nodes = [
      await fleet.startNode({ id: "provenance-1", ...common }),
      await fleet.startNode({ id: "provenance-2", ...common }),
    ];
    const applied = await fleet.run("table", "apply", TABLE, "--wait");
    expect(applied.exitCode, applied.stderr).to.equal(0);
  });

  after(async () => {
    await fleet[Symbol.asyncDispose]();
  });

  /**
   * Sets the behaviour of both backend servers; waits until both hints are
   * read.
   */
  async function setHints(
    behaviours: readonly Partial<Behaviour>[],
    hints: readonly (number | null)[],
  ): Promise<void> {
    for (const [i, node] of nodes.entries()) {
      await setBehaviour(node.backendAddress, behaviours[i]!);
      while (await readHint(node) !== hints[i]) {
        await sleep(20);
      }
    }
  }

  async function readHint(node: FleetNode): Promise<number | null> {
    const answer = await request(`http://${node.operator}/status`);
    const status = await answer.body.json() as { loadHint: number | null };
    return status.loadHint;
  }

  /** Calls through the first node; returns how many each backend server ran. */
  async function countRuns(): Promise<readonly number[]> {
    const read = () =>
      Promise.all(nodes.map(({ backendAddress }) => readRuns(backendAddress)));
    const before = await read();
    await Promise.all(
      Array.from({ length: CONCURRENCY }, async () => {
        for (let n = 0; n < CALL_COUNT / CONCURRENCY; n += 1) {
          const answer = await request(`http://${nodes[0].edge}/bales/7`);
          await answer.body.dump();
          expect(answer.statusCode).to.equal(200);
        }
      }),
    );
    const after = await read();
    return after.map(({ started }, i) => started - before[i]!.started);
  }

  it("leave work at both backend servers where one lies", async () => {
    await setHints([{ reportedLoad: 0 }, { reportedLoad: 1 }], [0, 100]);
    const runs = await countRuns();
    expect(runs[0]! + runs[1]!).to.equal(CALL_COUNT);
    expect(Math.min(...runs)).to.be.greaterThan(CALL_COUNT / 10);
  });

  it("exclude no backend server that is reported as unhealthy", async () => {
    const unhealthy = { isHealthy: false, reportedLoad: 0 };
    await setHints([{ reportedLoad: 0 }, unhealthy], [0, 100]);
    const runs = await countRuns();
    expect(Math.min(...runs)).to.be.greaterThan(CALL_COUNT / 10);
  });

  it("have no effect where one hangs: its hint expires", async () => {
    const hanging = { isLoadFrozen: true, isHealthy: true };
    await setHints([{ reportedLoad: 0 }, hanging], [0, null]);
    const runs = await countRuns();
    expect(runs[0]! + runs[1]!).to.equal(CALL_COUNT);
    expect(Math.min(...runs)).to.be.greaterThan(CALL_COUNT / 10);
  });
});
