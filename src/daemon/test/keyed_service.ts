/** A service with keyed requests and its control replicas, as processes. */
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { request } from "undici";
import type { ClusterReport } from "../../engine/control/common/cluster_report.ts";
import type { HolderReport } from "../../engine/control/common/holders.ts";
import { Fleet, readRuns } from "../../../standin/fleet.ts";
import type { FleetControl, FleetNode } from "../../../standin/fleet.ts";

const TABLE = "examples/coton-loukkos/table.csv";
const WAIT_LIMIT_MS = 25_000;

/** Data centres of the nodes. */
export const DATA_CENTRES = [
  "kenitra-a",
  "kenitra-b",
  "larache-a",
  "larache-b",
];

/** Answer to a keyed request. */
export interface Answer {
  readonly status: number;
  readonly outcome: string;
  readonly body: Record<string, unknown>;
}

interface Status {
  readonly holders: readonly HolderReport[];
  readonly cluster: ClusterReport;
}

/** Three control replicas and four nodes of one service. */
export class KeyedService implements AsyncDisposable {
  readonly fleet = new Fleet();
  nodes: readonly FleetNode[] = [];
  controls: readonly FleetControl[] = [];
  /** Runs by key at backend servers that were removed. */
  readonly #removedRuns = new Map<string, number>();
  #probeCount = 0;

  /** Starts all processes; resolves when keys are served. */
  async open(): Promise<void> {
    this.controls = await this.fleet.startControls([
      ["control-a", DATA_CENTRES[0]!],
      ["control-b", DATA_CENTRES[1]!],
      ["control-c", DATA_CENTRES[2]!],
    ]);
    this.nodes = await Promise.all(
      DATA_CENTRES.map((dataCentre, i) =>
        this.#open(`custody-${i}`, dataCentre)
      ),
    );
    const applied = await this.fleet.run("table", "apply", TABLE, "--wait");
    expect(applied.exitCode, applied.stderr).to.equal(0);
    await this.waitClaims();
  }

  /** Waits until the holders are three live nodes and keys are served. */
  async waitClaims(): Promise<void> {
    await waitFor(async () => {
      const { holders } = await this.readStatus();
      const live = this.nodes.map((node) => node.id);
      return holders.some(({ members, isChanging }) =>
        !isChanging && members.length === 3 &&
        members.every((member) => live.includes(member))
      );
    });
    await waitFor(async () => {
      const answers = await Promise.all(
        this.nodes.map((node) =>
          this.transfer(node, `probe-${this.#probeCount++}`)
        ),
      );
      return answers.every((answer) => answer.status === 200);
    });
  }

  /** Reads the status of the first replica that answers. */
  async readStatus(): Promise<Status> {
    for (const { operator } of this.controls) {
      const answer = await request(`http://${operator}/status`)
        .catch(() => undefined);
      if (answer !== undefined) {
        return await answer.body.json() as Status;
      }
    }
    throw new Error("No control replica answers");
  }

  /** Sends a keyed request to a node. */
  async transfer(
    node: FleetNode,
    key: string,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<Answer> {
    const answer = await request(`http://${node.edge}/transfers`, {
      method: "POST",
      headers: { "idempotency-key": key, ...headers },
      body: JSON.stringify({ bale: 7 }),
    });
    return {
      status: answer.statusCode,
      outcome: String(answer.headers["basilpin-outcome"]),
      body: await answer.body.json() as Record<string, unknown>,
    };
  }

  /** Counts the runs of a key at all current and removed backend servers. */
  async countRuns(key: string): Promise<number> {
    const reports = await Promise.all(
      this.nodes.map((node) => readRuns(node.backendAddress)),
    );
    return reports.reduce(
      (sum, report) => sum + (report.byKey[key] ?? 0),
      this.#removedRuns.get(key) ?? 0,
    );
  }

  /** Starts another node and waits until keys are served with it. */
  async startNode(id: string, dataCentre: string): Promise<void> {
    this.nodes = [...this.nodes, await this.#open(id, dataCentre)];
    await this.waitClaims();
  }

  /** Removes a node from `nodes`; its runs of the key are still counted. */
  async removeNode(node: FleetNode, key: string): Promise<void> {
    const runs = (await readRuns(node.backendAddress)).byKey[key] ?? 0;
    this.#removedRuns.set(key, (this.#removedRuns.get(key) ?? 0) + runs);
    this.nodes = this.nodes.filter((other) => other !== node);
  }

  /** Kills the node and backend server that ran a key. */
  async killRunner(key: string): Promise<void> {
    for (const node of this.nodes) {
      const runs = (await readRuns(node.backendAddress)).byKey[key] ?? 0;
      if (runs > 0) {
        await this.removeNode(node, key);
        await this.fleet.stop(node, "SIGKILL");
        await this.fleet.stop(node.backend, "SIGKILL");
      }
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.fleet[Symbol.asyncDispose]();
  }

  #open(id: string, dataCentre: string): Promise<FleetNode> {
    return this.fleet.startNode({ id, service: "custody", dataCentre });
  }
}

/** Polls until a condition holds. */
export async function waitFor(check: () => Promise<boolean>): Promise<void> {
  const endMs = Date.now() + WAIT_LIMIT_MS;
  while (!await check()) {
    if (Date.now() > endMs) {
      throw new Error("Condition did not hold in time");
    }
    await sleep(50);
  }
}
