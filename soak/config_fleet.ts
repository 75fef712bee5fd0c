/**
 * The processes of a soak test of configurations, and the faults that are
 * injected into them and into the links between them.
 */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { Random } from "../src/base/test/seeded_random.ts";
import { LinkProxy } from "../platform/standin/link_proxy.ts";
import { PlatformFleet } from "../platform/standin/platform_fleet.ts";
import type {
  PlatformNode,
  PlatformProcess,
  ProgramRole,
} from "../platform/standin/platform_fleet.ts";
import { pick, SERVED_SERVICES } from "./config_document.ts";
import type { SoakSize } from "./soak_fleet.ts";

/** An interval of the monotonic clock; endless while it lasts. */
export interface Disturbance {
  readonly startMs: number;
  endMs: number;
  readonly kind: string;
}

/** A process and its disturbances, oldest first. */
export interface ConfigMember {
  readonly role: ProgramRole;
  readonly name: string;
  process: PlatformProcess;
  readonly disturbances: Disturbance[];
  /** When the current process was started, and those before it. */
  readonly startedAtMs: number[];
}

const SLOTS = 32;
/** Longer than any time limit of a route. */
const SLOW_SERVICE_TIME_MS = 4_000;
/** Share of the answers of one service that are lost. */
const LOSS_RATIO = 0.05;
const MAX_FREEZE_MS = 2_500;
const MAX_DOWNTIME_MS = 1_200;
const MAX_LINK_FAULT_MS = 3_000;
const MAX_DELAY_MS = 300;
const EXIT_TIMEOUT_MS = 8_000;
/** Share of the faults that are drawn for replicas. */
const REPLICA_RATIO = 0.55;

/** Owns the processes and their links. */
export class ConfigFleet implements AsyncDisposable {
  readonly members: ConfigMember[] = [];
  readonly nodes: PlatformNode[] = [];
  /** Service of each backend server, by its address. */
  readonly services = new Map<string, string>();
  readonly #proxy: LinkProxy;
  readonly #fleet: PlatformFleet;
  readonly #random: Random;

  private constructor(proxy: LinkProxy, random: Random) {
    this.#proxy = proxy;
    this.#fleet = new PlatformFleet(proxy.fleetOptions);
    this.#random = random;
  }

  /** Starts all processes; `random` draws lost answers. */
  static async open(size: SoakSize, random: Random): Promise<ConfigFleet> {
    const proxy = new LinkProxy();
    await proxy.open();
    const fleet = new ConfigFleet(proxy, random);
    try {
      await fleet.#start(size);
    } catch (error) {
      await fleet[Symbol.asyncDispose]();
      throw error;
    }
    return fleet;
  }

  /** `host:port` at which the replicas serve operators. */
  get replicaAddresses(): readonly string[] {
    const port = this.#fleet.seeds[0]!.split(":")[1];
    return this.replicas.map(({ process }) => `${process.ip}:${port}`);
  }

  /** The control replicas. */
  get replicas(): readonly ConfigMember[] {
    return this.members.filter(({ role }) => role === "replica");
  }

  /** Finds a replica by the address at which it serves operators. */
  findReplica(address: string): ConfigMember | undefined {
    return this.replicas
      .find(({ process }) => address.startsWith(`${process.ip}:`));
  }

  /** Lists the runs of each request id. */
  countRuns(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { requestId } of this.nodes.flatMap((n) => n.backend.runs)) {
      counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
    }
    return counts;
  }

  /** Injects a drawn fault into a drawn process that has none; waits for its end. */
  async injectFault(random: Random): Promise<void> {
    const role = random() < REPLICA_RATIO ? "replica" : "node";
    const member = pick(
      random,
      this.members.filter((candidate) => candidate.role === role),
    );
    const kind = random();
    const ratio = random();
    if (isDisturbed(member)) {
      return;
    }
    if (kind < 0.25) {
      await this.freeze([member], ratio * MAX_FREEZE_MS);
    } else if (kind < 0.45) {
      await this.kill([member], ratio * MAX_DOWNTIME_MS);
    } else if (kind < 0.6) {
      await this.terminate(member);
    } else {
      await this.#injectLinkFault(member, (kind - 0.6) / 0.4, ratio);
    }
  }

  /** Suspends processes for a time. */
  async freeze(
    members: readonly ConfigMember[],
    lengthMs: number,
  ): Promise<void> {
    await disturb(members, "freeze", async () => {
      members.forEach(({ process }) => process.child.kill("SIGSTOP"));
      await sleep(lengthMs);
      members.forEach(({ process }) => process.child.kill("SIGCONT"));
    });
  }

  /** Kills processes at once and starts their replacements after a time. */
  async kill(
    members: readonly ConfigMember[],
    downMs: number,
  ): Promise<void> {
    await disturb(members, "kill", async () => {
      members.forEach(({ process }) => process.child.kill("SIGKILL"));
      await sleep(downMs);
      await Promise.all(members.map((member) => this.#replace(member)));
    });
  }

  /** Stops a process by SIGTERM and starts its replacement. */
  async terminate(member: ConfigMember): Promise<void> {
    await disturb([member], "terminate", async () => {
      member.process.child.kill("SIGTERM");
      await this.#replace(member);
    });
  }

  /** Ends suspensions and faults of links. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.members.forEach(({ process }) => process.child.kill("SIGCONT"));
    this.#proxy.release();
    await this.#fleet[Symbol.asyncDispose]();
    await this.#proxy[Symbol.asyncDispose]();
  }

  /** Faults of the links of one process to the replicas. */
  async #injectLinkFault(
    member: ConfigMember,
    kind: number,
    ratio: number,
  ): Promise<void> {
    const { ip } = member.process;
    const lengthMs = ratio * MAX_LINK_FAULT_MS;
    if (kind < 0.2) {
      await disturb([member], "silence", async () => {
        this.#proxy.silence(ip);
        await sleep(lengthMs);
      });
    } else if (kind < 0.4) {
      await disturb([member], "delay", async () => {
        this.#proxy.delay({ to: ip }, ratio * MAX_DELAY_MS);
        await sleep(MAX_LINK_FAULT_MS);
        this.#proxy.delay({ to: ip }, 0);
      });
    } else {
      await disturb([member], "partition", async () => {
        if (kind < 0.6) {
          this.#proxy.hold({ to: ip });
        } else if (kind < 0.8) {
          this.#proxy.hold({ from: ip });
        } else {
          this.#proxy.partition(ip);
        }
        await sleep(lengthMs);
        // Ends the holds of other processes too, which shortens their faults.
        this.#proxy.release();
      });
    }
  }

  async #replace(member: ConfigMember): Promise<void> {
    const { child } = member.process;
    if (child.exitCode === null && child.signalCode === null) {
      const timer = setTimeout(() => child.kill("SIGKILL"), EXIT_TIMEOUT_MS);
      await new Promise((resolve) => child.once("exit", resolve));
      clearTimeout(timer);
    }
    const { stdoutLines } = member.process;
    member.startedAtMs.push(performance.now());
    member.process = await this.#fleet
      .startReplacement(member.role, member.process);
    member.process.stdoutLines.unshift(...stdoutLines);
  }

  async #start({ entries, backends, replicas }: SoakSize): Promise<void> {
    const started = await this.#fleet.startReplicas(replicas);
    started.forEach((process, n) =>
      this.#add("replica", `replica-${n}`, process)
    );
    for (let n = 0; n < entries; n += 1) {
      await this.#startNode("front", `front-${n}`);
    }
    for (const service of SERVED_SERVICES) {
      for (let n = 0; n < (service === "slow" ? 1 : backends); n += 1) {
        const { backend } = await this.#startNode(service, `${service}-${n}`);
        if (service === "slow") {
          backend.serviceTimeMs = SLOW_SERVICE_TIME_MS;
        } else if (service === "blue") {
          backend.drawAnswerLoss = () => this.#random() < LOSS_RATIO;
        }
      }
    }
  }

  async #startNode(service: string, name: string): Promise<PlatformNode> {
    const node = await this.#fleet.startNode(service, SLOTS);
    this.nodes.push(node);
    this.services.set(node.backend.address, service);
    this.#add("node", name, node);
    return node;
  }

  #add(role: ProgramRole, name: string, process: PlatformProcess): void {
    const startedAtMs = [performance.now()];
    this.members.push({ role, name, process, disturbances: [], startedAtMs });
  }
}

/** Whether a process has a fault at present. */
export function isDisturbed({ disturbances }: ConfigMember): boolean {
  return disturbances.some(({ endMs }) => endMs === Infinity);
}

async function disturb(
  members: readonly ConfigMember[],
  kind: string,
  injectFault: () => Promise<void>,
): Promise<void> {
  const disturbance = { startMs: performance.now(), endMs: Infinity, kind };
  members.forEach(({ disturbances }) => disturbances.push(disturbance));
  try {
    await injectFault();
  } finally {
    disturbance.endMs = performance.now();
  }
}
