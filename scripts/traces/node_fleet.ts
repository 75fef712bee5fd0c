/** A small fleet whose nodes record traces, for faults that affect nodes. */
import { join } from "node:path";
import { request } from "undici";
import { Fleet, readRuns } from "../../standin/fleet.ts";
import type {
  FleetControl,
  FleetNode,
  FleetNodeOptions,
} from "../../standin/fleet.ts";
import { Callers } from "./callers.ts";
import type { Recording } from "./recording.ts";
import { waitUntil } from "./wait_until.ts";

const TABLE = "examples/toy-trust/table.csv";

/** A node that records a trace, and its callers. */
export interface RecordedNode extends FleetNode {
  readonly callers: Callers;
  /** Path of the trace. */
  readonly file: string;
}

/** Owns a fleet with one control replica and the table at `TABLE`. */
export class NodeFleet implements AsyncDisposable {
  readonly fleet = new Fleet();
  #control: FleetControl | undefined;

  /** The control replica; available only after `open`. */
  get control(): FleetControl {
    return this.#control!;
  }

  /** Starts the control replica and applies the table. */
  async open(): Promise<void> {
    this.#control = await this.fleet.startControl("control-a", "hall-a");
    await this.runCommand("table", "apply", TABLE);
  }

  /** Starts the first node of a service, with recording, in hall-a. */
  async startRecorded(
    options: Omit<FleetNodeOptions, "dataCentre" | "id">,
  ): Promise<RecordedNode> {
    const id = `${options.service}-1`;
    const file = join(this.fleet.folder, `${id}.trace`);
    const node = await this.startNode({ ...options, id, trace: file });
    return { ...node, file, callers: new Callers(node.edge) };
  }

  /** Starts a node in hall-a and waits until it has the table. */
  async startNode(
    options: Omit<FleetNodeOptions, "dataCentre">,
  ): Promise<FleetNode> {
    const node = await this.fleet.startNode({
      dataCentre: "hall-a",
      ...options,
    });
    await waitUntil(
      "the table at a node",
      async () => await readVersion(node) > 0,
    );
    return node;
  }

  /** Runs a `basilpin` command; throws if it fails. */
  async runCommand(...args: readonly string[]): Promise<void> {
    const { exitCode, stderr } = await this.fleet.run(...args);
    if (exitCode !== 0) {
      throw new Error(`basilpin ${args.join(" ")}: ${stderr}`);
    }
  }

  /** Stops a node gracefully and returns its recording; throws if it fails. */
  async finishRecording(node: RecordedNode, name: string): Promise<Recording> {
    const exitCode = await this.fleet.stop(node);
    if (exitCode !== 0) {
      throw new Error(`${node.id} exited with code ${exitCode}`);
    }
    const calls = node.callers.observed;
    return { name, file: node.file, observation: { role: "node", calls } };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.fleet[Symbol.asyncDispose]();
  }
}

/** Reads the version of the table in force at a node. */
export async function readVersion(node: FleetNode): Promise<number> {
  const answer = await request(`http://${node.operator}/status`);
  const status = await answer.body.json() as { readonly tableVersion: number };
  return status.tableVersion;
}

/**
 * Waits until the backend server of a node has started a request with this key, or
 * to this path if it has no key.
 */
export async function waitForRun(node: FleetNode, key: string): Promise<void> {
  await waitUntil(`a run of ${key}`, async () => {
    const { byKey } = await readRuns(node.backendAddress);
    return byKey[key] !== undefined;
  });
}
