/** When faults are injected in a soak test of configurations. */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { Random } from "../src/base/test/seeded_random.ts";
import { isDisturbed } from "./config_fleet.ts";
import type { ConfigFleet, Disturbance } from "./config_fleet.ts";

const MAX_FAULT_INTERVAL_MS = 900;
/** Share of acknowledgements that a fault of replicas follows at once. */
const FAULT_AFTER_ACK_RATIO = 0.15;
/** Share of intervals with a fault of several replicas at once. */
const GROUP_FAULT_RATIO = 0.08;
const MAX_GROUP_FREEZE_MS = 2_500;
const MAX_GROUP_DOWNTIME_MS = 1_000;

/** Injects faults at random times, and right after acknowledgements. */
export class ConfigFaults {
  readonly #fleet: ConfigFleet;
  readonly #random: Random;
  readonly #active = new Set<Promise<void>>();
  #isOver = true;

  constructor(fleet: ConfigFleet, random: Random) {
    this.#fleet = fleet;
    this.#random = random;
  }

  /** Injects faults for a time; resolves once the last one has ended. */
  async inject(
    { lengthMs, overlapping }: {
      readonly lengthMs: number;
      /** Maximum number of faults in progress at the same time. */
      readonly overlapping: number;
    },
  ): Promise<void> {
    const random = this.#random;
    const endMs = performance.now() + lengthMs;
    this.#isOver = false;
    while (performance.now() < endMs) {
      if (this.#active.size < overlapping) {
        this.#track(
          random() < GROUP_FAULT_RATIO
            ? this.#failTogether()
            : this.#fleet.injectFault(random),
        );
      }
      await sleep(random() * MAX_FAULT_INTERVAL_MS);
    }
    this.#isOver = true;
    await Promise.all(this.#active);
  }

  /** Kills or suspends the replica that has acknowledged, or all replicas. */
  failAfterAck(address: string): void {
    const kind = this.#random();
    const replica = this.#fleet.findReplica(address);
    if (
      this.#isOver || kind > FAULT_AFTER_ACK_RATIO ||
      replica === undefined || isDisturbed(replica)
    ) {
      return;
    }
    const part = kind / FAULT_AFTER_ACK_RATIO;
    if (part < 0.4) {
      this.#track(this.#fleet.kill([replica], MAX_GROUP_DOWNTIME_MS));
    } else if (part < 0.8) {
      this.#track(this.#fleet.freeze([replica], MAX_GROUP_FREEZE_MS));
    } else {
      this.#track(this.#failTogether());
    }
  }

  /** Counts the faults of each kind. */
  count(): Readonly<Record<string, number>> {
    const faults = new Set<Disturbance>(
      this.#fleet.members.flatMap(({ disturbances }) => disturbances),
    );
    const counts: Record<string, number> = {};
    for (const { kind } of faults) {
      counts[kind] = (counts[kind] ?? 0) + 1;
    }
    return counts;
  }

  #track(fault: Promise<void>): void {
    const tracked = fault.finally(() => this.#active.delete(tracked));
    this.#active.add(tracked);
  }

  /** Kills or suspends a majority of the replicas, or all of them, at once. */
  async #failTogether(): Promise<void> {
    const random = this.#random;
    const { replicas } = this.#fleet;
    const count = random() < 0.5
      ? replicas.length
      : Math.floor(replicas.length / 2) + 1;
    const isKill = random() < 0.6;
    const members = replicas.filter((member) => !isDisturbed(member))
      .slice(0, count);
    if (isKill) {
      await this.#fleet.kill(members, random() * MAX_GROUP_DOWNTIME_MS);
    } else {
      await this.#fleet.freeze(members, random() * MAX_GROUP_FREEZE_MS);
    }
  }
}
