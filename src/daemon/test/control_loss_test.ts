/** Loss of control replicas: nodes reconnect, and calls continue. */
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { request } from "undici";
import { LEASE_MS } from "../../engine/membership/common/membership_state.ts";
import type { StatusAnswer } from "../../cli/commands/status.ts";
import { Fleet } from "../../../standin/fleet.ts";
import type { FleetControl, FleetNode } from "../../../standin/fleet.ts";

const TABLE = "examples/coton-loukkos/table.csv";
const WAIT_LIMIT_MS = 30_000;
const POLL_INTERVAL_MS = 50;

async function readStatus<T>(operator: string): Promise<T> {
  const { body } = await request(`http://${operator}/status`);
  return await body.json() as T;
}

describe("loss of control replicas", function () {
  this.timeout(2 * WAIT_LIMIT_MS);
  let fleet: Fleet;
  let controls: readonly FleetControl[];
  let nodes: readonly FleetNode[];
  const failures: string[] = [];
  let callCount = 0;

  before(async () => {
    fleet = new Fleet();
    controls = await fleet.startControls([
      ["control-a", "kenitra-a"],
      ["control-b", "kenitra-b"],
      ["control-c", "larache-a"],
    ]);
    nodes = [
      await startNode("provenance-1", "provenance"),
      await startNode("custody-1", "custody"),
    ];
    for (const { operator } of controls) {
      const args = ["--control", operator, "table", "apply", TABLE];
      const applied = await fleet.run(...args);
      expect(applied.exitCode, applied.stderr).to.equal(0);
    }
  });

  after(async () => {
    await fleet[Symbol.asyncDispose]();
  });

  function startNode(id: string, service: string): Promise<FleetNode> {
    return fleet.startNode({ id, service, dataCentre: "kenitra-a" });
  }

  /** Calls through the second node until `isDone`, and records failed calls. */
  async function callUntil(isDone: () => Promise<boolean>): Promise<void> {
    const endMs = Date.now() + WAIT_LIMIT_MS;
    while (!(await isDone())) {
      expect(Date.now(), "did not happen in time").to.be.lessThan(endMs);
      const answer = await request(`http://${nodes[1]!.edge}/bales/42`);
      await answer.body.dump();
      callCount += 1;
      if (answer.statusCode !== 200) {
        failures.push(`call ${callCount}: ${answer.statusCode}`);
      }
      await sleep(POLL_INTERVAL_MS);
    }
  }

  async function isLinkedTo(control: FleetControl): Promise<boolean> {
    const { nodes: reports } = await readStatus<StatusAnswer>(control.operator);
    return reports.length === 2 &&
      reports.every((report) => report.heardBy === control.id);
  }

  it("shows the nodes at every replica, with the replica linked to each", async () => {
    await callUntil(async () => {
      const reports = await Promise.all(
        controls.map(({ operator }) => readStatus<StatusAnswer>(operator)),
      );
      return reports.every((report) =>
        report.nodes.length === 2 && report.replicas.length === 2 &&
        report.nodes.every((node) =>
          node.heardBy === "control-a" && node.tableVersion === 1
        )
      );
    });
    expect(failures).to.deep.equal([]);
  });

  it("moves a killed replica's nodes without a call failing", async () => {
    const [a, b, c] = controls;
    await fleet.stop(a!, "SIGKILL");
    await callUntil(() => isLinkedTo(b!));
    await callUntil(async () => {
      const { replicas } = await readStatus<StatusAnswer>(c!.operator);
      const lost = replicas.find((replica) => replica.id === "control-a")!;
      return lost.lastHeardMs > LEASE_MS + 1_000;
    });
    const status = await readStatus<StatusAnswer>(c!.operator);
    expect(status.nodes.map((node) => node.nodeId).toSorted())
      .to.deep.equal(["custody-1", "provenance-1"]);
    expect(status.replicas.filter((replica) => replica.isSilent))
      .to.have.lengthOf(1);
    expect(failures).to.deep.equal([]);
  });

  it("drains through a replica that is not linked to the node", async () => {
    const extra = await startNode("provenance-2", "provenance");
    const c = controls[2]!;
    const { statusCode, body } = await request(
      `http://${c.operator}/drain?node=provenance-2`,
      { method: "POST" },
    );
    await body.dump();
    expect(statusCode).to.equal(202);
    await callUntil(async () => {
      const { nodes: reports } = await readStatus<StatusAnswer>(c.operator);
      return reports.some((report) =>
        report.nodeId === "provenance-2" && report.isDraining
      );
    });
    expect(await fleet.stop(extra)).to.equal(0);
    expect(failures).to.deep.equal([]);
  });

  it("goes on with what it knows when all control is gone", async () => {
    await Promise.all(
      controls.slice(1).map((control) => fleet.stop(control, "SIGKILL")),
    );
    const stoppedAtMs = Date.now();
    await callUntil(async () => {
      const status = await readStatus<{ controlReplica: string | null }>(
        nodes[1]!.operator,
      );
      return status.controlReplica === null &&
        Date.now() - stoppedAtMs > LEASE_MS + 1_000;
    });
    expect(failures).to.deep.equal([]);
  });
});
