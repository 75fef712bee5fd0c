/** Runs the light nodes of a benchmark in a few processes. */
import { fork } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import type { LightReport, LightRequest } from "./light_nodes.ts";

const PROCESS_COUNT = 4;

/** Totals over all processes, since their start. */
export interface LightTotals {
  readonly cpuMs: number;
  readonly sentBytes: number;
  readonly receivedBytes: number;
  readonly messages: number;
  /** Table version, and epoch milliseconds when a node had it in force. */
  readonly inForceAtMs: readonly (readonly [number, number])[];
}

/** Owns the processes of light nodes. */
export class LightFleet implements AsyncDisposable {
  readonly #children: readonly ChildProcess[];

  constructor() {
    const program = fileURLToPath(new URL("light_nodes.js", import.meta.url));
    this.#children = Array.from({ length: PROCESS_COUNT }, () => fork(program));
  }

  /** Starts `count` nodes, distributed over the processes. */
  async start(count: number, replicas: readonly string[]): Promise<void> {
    await Promise.all(this.#children.map((child, index) => {
      const numbers = Array.from({ length: count }, (_, n) => n)
        .filter((n) => n % PROCESS_COUNT === index);
      return ask(child, { type: "Start", numbers, replicas });
    }));
  }

  /** Makes every node announce a change. */
  async announce(): Promise<void> {
    await this.#askAll({ type: "Announce" });
  }

  /** Reads the totals of all processes. */
  async read(): Promise<LightTotals> {
    const reports = await this.#askAll({ type: "Read" });
    const sum = (pick: (report: LightReport) => number) =>
      reports.reduce((total, report) => total + pick(report), 0);
    return {
      cpuMs: sum((report) => report.cpuMs),
      sentBytes: sum((report) => report.traffic.sentBytes),
      receivedBytes: sum((report) => report.traffic.receivedBytes),
      messages: sum(({ traffic }) => traffic.sentCount + traffic.receivedCount),
      inForceAtMs: reports.flatMap((report) => report.inForceAtMs),
    };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this.#children.map(async (child) => {
      const exited = once(child, "exit");
      child.kill("SIGKILL");
      await exited;
    }));
  }

  #askAll(request: LightRequest): Promise<readonly LightReport[]> {
    return Promise.all(this.#children.map((child) => ask(child, request)));
  }
}

async function ask(
  child: ChildProcess,
  request: LightRequest,
): Promise<LightReport> {
  const answered = once(child, "message");
  child.send(request);
  const [report] = await answered as [LightReport];
  return report;
}
