/** The processes of one soak: replicas, entries and backend servers' nodes. */
import type { ChildProcess } from "node:child_process";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import {
  createConfiguration,
  createRoute,
} from "../platform/standin/configurations.ts";
import { PlatformFleet } from "../platform/standin/platform_fleet.ts";
import type {
  PlatformNode,
  PlatformProcess,
  ProgramRole,
} from "../platform/standin/platform_fleet.ts";
import type { BackendRun } from "../platform/standin/standin_backend.ts";

/** How large a soak is. */
export interface SoakSize {
  readonly entries: number;
  readonly backends: number;
  readonly replicas: number;
}

/** A process with what was done to it. */
export interface SoakMember {
  readonly role: ProgramRole;
  readonly name: string;
  process: PlatformProcess;
  /** Whether a fault is in progress: one at a time for each process. */
  isBusy: boolean;
  /** Last moment at which it did not run freely, by the steady clock. */
  disturbedAtMs: number;
}

/** A planned stop as it was seen. */
export interface PlannedStop {
  readonly name: string;
  readonly tookMs: number;
  readonly exitCode: number | null;
}

const SLOTS = 16;
/** Long enough that a stop finds work in progress. */
const WORK_MS = 40;
const GRACE_MS = 6_000;
const FIRST_VERSION = 5;
const NO_VERSION = "00000000";

/** Owns the processes, and does to them what a soak asks for. */
export class SoakFleet implements AsyncDisposable {
  readonly members: SoakMember[] = [];
  readonly entries: PlatformNode[] = [];
  readonly stops: PlannedStop[] = [];
  /** The newest version that was acknowledged. */
  version = 0;
  readonly #fleet = new PlatformFleet();
  readonly #backends: PlatformNode[] = [];

  /** Starts all processes, and puts the first routes in force. */
  static async open(size: SoakSize): Promise<SoakFleet> {
    const opened = new SoakFleet();
    await opened.#start(size);
    return opened;
  }

  /** Requests that backend servers began to run. */
  listRuns(): readonly BackendRun[] {
    return this.#backends.flatMap(({ backend }) => backend.runs);
  }

  /** Last moment at which any process did not run freely. */
  get disturbedAtMs(): number {
    return Math.max(...this.members.map((member) => member.disturbedAtMs));
  }

  /** Stands a process still for a time. */
  async freeze(member: SoakMember, lengthMs: number): Promise<void> {
    await this.#disturb(member, async ({ child }) => {
      child.kill("SIGSTOP");
      await sleep(lengthMs);
      child.kill("SIGCONT");
    });
  }

  /** Slows a process down by short stops in series. */
  async slow(member: SoakMember, lengthMs: number): Promise<void> {
    await this.#disturb(member, async ({ child }) => {
      const endMs = performance.now() + lengthMs;
      while (performance.now() < endMs) {
        child.kill("SIGSTOP");
        await sleep(60);
        child.kill("SIGCONT");
        await sleep(15);
      }
    });
  }

  /** Kills a process and starts it again after a time. */
  async kill(member: SoakMember, downMs: number): Promise<void> {
    await this.#disturb(member, async (process) => {
      process.child.kill("SIGKILL");
      await waitForExit(process.child);
      await sleep(downMs);
      member.process = await this.#fleet.startReplacement(member.role, process);
    });
  }

  /** Tells a process to stop, notes its end, and starts it again. */
  async restart(member: SoakMember): Promise<void> {
    if (member.isBusy) {
      return;
    }
    member.isBusy = true;
    const startedAtMs = performance.now();
    const { process, name } = member;
    process.child.kill("SIGTERM");
    const exitCode = await Promise.race([
      waitForExit(process.child),
      sleep(2 * GRACE_MS, null, { ref: false }),
    ]);
    const tookMs = Math.round(performance.now() - startedAtMs);
    this.stops.push({ name, tookMs, exitCode });
    process.child.kill("SIGKILL");
    await waitForExit(process.child);
    member.process = await this.#fleet.startReplacement(member.role, process);
    member.isBusy = false;
  }

  /** Puts the next version in force; false where no quorum took it. */
  async change(): Promise<boolean> {
    const version = Math.max(FIRST_VERSION, this.version + 1);
    const base = formatVersion(this.version);
    const status = await this.#fleet.configure(createRoutes(version), base);
    if (status !== 200) {
      return false;
    }
    this.version = version;
    return true;
  }

  /** Reads the version that a replica can prove to be the newest. */
  async readVersion(): Promise<number> {
    const text = await this.#fleet.readConfiguration();
    const { version } = JSON.parse(text) as { readonly version?: string };
    return Number(version);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const { process } of this.members) {
      process.child.kill("SIGCONT");
    }
    await this.#fleet[Symbol.asyncDispose]();
  }

  async #start({ entries, backends, replicas }: SoakSize): Promise<void> {
    const started = await this.#fleet.startReplicas(replicas);
    started.forEach((one, at) => this.#add("replica", `replica-${at}`, one));
    for (let at = 0; at < entries; at += 1) {
      const node = await this.#fleet.startNode("front", SLOTS);
      this.entries.push(node);
      this.#add("node", `entry-${at}`, node);
    }
    for (let at = 0; at < backends; at += 1) {
      const node = await this.#fleet.startNode("back", SLOTS);
      node.backend.serviceTimeMs = WORK_MS;
      this.#backends.push(node);
      this.#add("node", `back-${at}`, node);
    }
    if (!await this.change()) {
      throw new Error("The first routes were not taken");
    }
  }

  #add(role: ProgramRole, name: string, process: PlatformProcess): void {
    const disturbedAtMs = -Infinity;
    this.members.push({ role, name, process, isBusy: false, disturbedAtMs });
  }

  async #disturb(
    member: SoakMember,
    work: (process: PlatformProcess) => Promise<void>,
  ): Promise<void> {
    if (member.isBusy) {
      return;
    }
    member.isBusy = true;
    member.disturbedAtMs = Infinity;
    await work(member.process);
    member.disturbedAtMs = performance.now();
    member.isBusy = false;
  }
}

function createRoutes(version: number): string {
  const routes = [
    createRoute({ prefix: "/back/", service: "back" }),
    createRoute({
      prefix: "/transfer/",
      service: "back",
      type: "non_idempotent",
    }),
    // A route of this version alone makes each change a real one.
    createRoute({ prefix: `/v${version}/`, service: "back" }),
  ];
  return createConfiguration(formatVersion(version), routes);
}

function formatVersion(version: number): string {
  return version === 0 ? NO_VERSION : String(version).padStart(8, "0");
}

async function waitForExit(child: ChildProcess): Promise<number | null> {
  if (child.exitCode === null && child.signalCode === null) {
    await new Promise((resolve) => child.once("exit", resolve));
  }
  return child.exitCode;
}
