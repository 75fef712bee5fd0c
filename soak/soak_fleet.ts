/**
 * The processes of one soak test: control replicas, entry nodes and the nodes
 * beside backend servers.
 */
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
import type {
  BackendRun,
  StandinBackend,
} from "../platform/standin/standin_backend.ts";
import type { EntryDisturbance } from "../platform/standin/statement_rules.ts";

/** The number of processes of each kind in a soak test. */
export interface SoakSize {
  readonly entries: number;
  readonly backends: number;
  readonly replicas: number;
}

/** How the processes and routes of a soak test are set up. */
export interface SoakSetup {
  /** Additions and overrides to the settings. */
  readonly bounds?: Readonly<Record<string, unknown>>;
  /** Time limit of the routes. */
  readonly routeTimeoutMs?: number;
}

/** A process of the fleet and the state of its faults. */
export interface SoakMember {
  readonly role: ProgramRole;
  readonly name: string;
  process: PlatformProcess;
  /** Whether a fault is in progress; a process has at most one at a time. */
  isBusy: boolean;
  /**
   * End of the last disturbance, by the monotonic clock: Infinity during one,
   * -Infinity before the first.
   */
  disturbedAtMs: number;
}

/** The observed result of a planned stop. */
export interface PlannedStop {
  readonly name: string;
  /** `host:port` for callers; undefined unless it is an entry node. */
  readonly callers: string | undefined;
  /** When SIGTERM was sent, by the monotonic clock. */
  readonly atMs: number;
  /** Time from SIGTERM to the exit, or to the end of the wait for it. */
  readonly tookMs: number;
  /** Null when the process did not exit in time, or was ended by a signal. */
  readonly exitCode: number | null;
}

/** Slots of each backend server. */
const SLOTS = 16;
/** Long enough that requests are in progress when a process is stopped. */
const SERVICE_TIME_MS = 40;
/** Longest time that a process may take to exit after SIGTERM. */
const GRACE_PERIOD_MS = 6_000;
const FIRST_VERSION = 5;
const UNSET_VERSION = "00000000";

/** Owns the processes and injects faults into them. */
export class SoakFleet implements AsyncDisposable {
  readonly members: SoakMember[] = [];
  readonly entries: PlatformNode[] = [];
  readonly stops: PlannedStop[] = [];
  /** Restarts and freezes of entry nodes, in the order in which they ended. */
  readonly entryDisturbances: EntryDisturbance[] = [];
  /** The newest acknowledged version of the routes; 0 before the first. */
  version = 0;
  readonly #fleet: PlatformFleet;
  readonly #backends: PlatformNode[] = [];

  readonly #routeTimeoutMs: number | undefined;
  /** Log lines of processes that have ended. */
  readonly #formerLines: string[] = [];

  private constructor({ bounds = {}, routeTimeoutMs }: SoakSetup) {
    this.#fleet = new PlatformFleet({ bounds });
    this.#routeTimeoutMs = routeTimeoutMs;
  }

  /** Starts all processes and applies the initial routes. */
  static async open(
    size: SoakSize,
    setup: SoakSetup = {},
  ): Promise<SoakFleet> {
    const fleet = new SoakFleet(setup);
    await fleet.#start(size);
    return fleet;
  }

  /** The backend servers that requests run at. */
  get backends(): readonly StandinBackend[] {
    return this.#backends.map(({ backend }) => backend);
  }

  /** Lists the requests that backend servers began to run. */
  listRuns(): readonly BackendRun[] {
    return this.#backends.flatMap(({ backend }) => backend.runs);
  }

  /** Lists the ids of requests that reached a backend server, run or not. */
  listArrivals(): readonly string[] {
    return this.#backends.flatMap(({ backend }) =>
      backend.arrivals.map(({ requestId }) => requestId)
    );
  }

  /** Lists the log lines of all processes about a request. */
  listLogLines(requestId: string): readonly string[] {
    return [
      ...this.#formerLines,
      ...this.members.flatMap(({ process }) => process.stdoutLines),
    ].filter((line) => line.includes(`"${requestId}"`));
  }

  /** End of the last disturbance of any process; Infinity during one. */
  get disturbedAtMs(): number {
    return Math.max(...this.members.map((member) => member.disturbedAtMs));
  }

  /** Suspends a process for a time. */
  async freeze(member: SoakMember, lengthMs: number): Promise<void> {
    await this.#disturb(member, async ({ child }) => {
      child.kill("SIGSTOP");
      await sleep(lengthMs);
      child.kill("SIGCONT");
    });
  }

  /** Slows a process down by suspending it repeatedly for short intervals. */
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

  /** Kills a process and starts its replacement after a time. */
  async kill(member: SoakMember, downMs: number): Promise<void> {
    await this.#disturb(member, async (process) => {
      process.child.kill("SIGKILL");
      await waitForExit(process.child);
      await sleep(downMs);
      member.process = await this.#fleet.startReplacement(member.role, process);
    });
  }

  /** Stops a process by SIGTERM, records the result, and replaces it. */
  async restart(member: SoakMember): Promise<void> {
    if (member.isBusy) {
      return;
    }
    member.isBusy = true;
    const startedAtMs = performance.now();
    const { process, name } = member;
    const callers = this.entries.find(({ ip }) => ip === process.ip)?.callers;
    process.child.kill("SIGTERM");
    const exitCode = await Promise.race([
      waitForExit(process.child),
      sleep(2 * GRACE_PERIOD_MS, null, { ref: false }),
    ]);
    const tookMs = Math.round(performance.now() - startedAtMs);
    this.stops.push({ name, callers, atMs: startedAtMs, tookMs, exitCode });
    process.child.kill("SIGKILL");
    await waitForExit(process.child);
    this.#formerLines.push(...process.stdoutLines);
    member.process = await this.#fleet.startReplacement(member.role, process);
    this.#recordEntryDisturbance(member, startedAtMs);
    member.isBusy = false;
  }

  /** Makes a process read its settings file again. */
  reload({ process }: SoakMember): void {
    process.child.kill("SIGHUP");
  }

  /** Applies the next version of the routes; false if it was not accepted. */
  async changeRoutes(): Promise<boolean> {
    const version = Math.max(FIRST_VERSION, this.version + 1);
    const base = formatVersion(this.version);
    const routes = createRoutes(version, this.#routeTimeoutMs);
    const status = await this.#fleet.configure(routes, base);
    if (status !== 200) {
      return false;
    }
    this.version = version;
    return true;
  }

  /** Reads the newest version of the routes that a replica can prove. */
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
    started.forEach((replica, index) =>
      this.#add("replica", `replica-${index}`, replica)
    );
    for (let index = 0; index < entries; index += 1) {
      const node = await this.#fleet.startNode("front", SLOTS);
      this.entries.push(node);
      this.#add("node", `entry-${index}`, node);
    }
    for (let index = 0; index < backends; index += 1) {
      const node = await this.#fleet.startNode("back", SLOTS);
      node.backend.serviceTimeMs = SERVICE_TIME_MS;
      this.#backends.push(node);
      this.#add("node", `back-${index}`, node);
    }
    if (!await this.changeRoutes()) {
      throw new Error(
        "Initial routes were not accepted by the control replicas",
      );
    }
  }

  #add(role: ProgramRole, name: string, process: PlatformProcess): void {
    const disturbedAtMs = -Infinity;
    this.members.push({ role, name, process, isBusy: false, disturbedAtMs });
  }

  async #disturb(
    member: SoakMember,
    injectFault: (process: PlatformProcess) => Promise<void>,
  ): Promise<void> {
    if (member.isBusy) {
      return;
    }
    member.isBusy = true;
    member.disturbedAtMs = Infinity;
    const startMs = performance.now();
    await injectFault(member.process);
    member.disturbedAtMs = performance.now();
    this.#recordEntryDisturbance(member, startMs);
    member.isBusy = false;
  }

  #recordEntryDisturbance({ process }: SoakMember, startMs: number): void {
    const entry = this.entries.find(({ ip }) => ip === process.ip);
    if (entry !== undefined) {
      const endMs = performance.now();
      this.entryDisturbances.push({ entry: entry.callers, startMs, endMs });
    }
  }
}

function createRoutes(version: number, timeoutMs = 1_000): string {
  const routes = [
    createRoute({ prefix: "/back/", service: "back", timeoutMs }),
    createRoute({
      prefix: "/transfer/",
      service: "back",
      type: "non_idempotent",
      timeoutMs,
    }),
    // A route unique to this version, so that the routes of versions differ.
    createRoute({ prefix: `/v${version}/`, service: "back" }),
  ];
  return createConfiguration(formatVersion(version), routes);
}

function formatVersion(version: number): string {
  return version === 0 ? UNSET_VERSION : String(version).padStart(8, "0");
}

async function waitForExit(child: ChildProcess): Promise<number | null> {
  if (child.exitCode === null && child.signalCode === null) {
    await new Promise((resolve) => child.once("exit", resolve));
  }
  return child.exitCode;
}
