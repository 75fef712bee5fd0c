/**
 * The soak test of configurations: operators change and read them at all
 * replicas while processes and links fail and callers use every node.
 */
import { setMaxListeners } from "node:events";
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { createRandom } from "../src/base/test/seeded_random.ts";
import type { Random } from "../src/base/test/seeded_random.ts";
import { waitFor } from "../platform/standin/platform_fleet.ts";
import { CallJudge } from "./config_call_checks.ts";
import { makeCalls } from "./config_callers.ts";
import type { CallKind, ConfigCall } from "./config_callers.ts";
import {
  findAcknowledgedVersion,
  findAcknowledgement,
  listFinalViolations,
  listOrderViolations,
  listReadViolations,
} from "./config_checks.ts";
import {
  ADDED_PREFIXES,
  MOVED_PREFIX,
  pick,
  SLOW_PREFIX,
  SPLIT_PREFIX,
  TYPED_PREFIX,
} from "./config_document.ts";
import { ConfigFaults } from "./config_faults.ts";
import { ConfigFleet } from "./config_fleet.ts";
import { ConfigHistory } from "./config_history.ts";
import { ConfigOperators } from "./config_operators.ts";
import { listSteadyViolations } from "./config_steady_checks.ts";
import { listTimeViolations } from "./config_time_checks.ts";
import type { SoakSize } from "./soak_fleet.ts";

/** Parameters of the soak test. */
export interface ConfigSoakOptions extends SoakSize {
  readonly seed: number;
  /** Duration of orders and faults. */
  readonly lengthMs: number;
  readonly operators: number;
  /** Maximum number of faults in progress at the same time. */
  readonly overlapping: number;
  /** Folder for the record and the logs of a seed that broke a rule. */
  readonly logs?: string | undefined;
}

/** The result of a soak test. */
export interface ConfigSoakReport {
  readonly seed: number;
  readonly orders: number;
  readonly acknowledged: number;
  readonly invalid: number;
  /** Acknowledged ones that were sent more than once. */
  readonly repeated: number;
  readonly reads: number;
  readonly calls: number;
  readonly served: number;
  /** Number of faults of each kind. */
  readonly faults: Readonly<Record<string, number>>;
  readonly lateBesideFaults: number;
  readonly maxLagMs: number;
  /** Violated invariants, one line each. */
  readonly broken: readonly string[];
}

/** Parameters of the short soak test. */
export const SHORT_CONFIG_SOAK = {
  entries: 1,
  backends: 1,
  replicas: 3,
  operators: 3,
  lengthMs: 12_000,
  overlapping: 2,
} as const;

const SETTLING_MS = 3_000;
const STEADY_MS = 4_000;
/** Markers of the newest orders that callers ask for. */
const RECENT_MARKERS = 5;
/** Share of the calls on the split in the steady time. */
const STEADY_SPLIT_RATIO = 0.5;
const FIRST_PREFIXES = [
  MOVED_PREFIX,
  SPLIT_PREFIX,
  SLOW_PREFIX,
  TYPED_PREFIX,
  "/never/",
];
/** What the callers of each node do. */
const CALLER_KINDS: readonly (readonly CallKind[])[] = [
  ["whole"],
  ["whole"],
  ["whole"],
  ["idle"],
  ["idle"],
  ["stopped body", "stopped head"],
];

/** Runs the soak test of one seed. */
export async function runConfigSoak(
  options: ConfigSoakOptions,
): Promise<ConfigSoakReport> {
  const draw = (index: number) => createRandom(options.seed * 1_000 + index);
  await using fleet = await ConfigFleet.open(options, draw(0));
  const run = new ConfigRun(fleet, options, draw);
  return await run.play();
}

class ConfigRun {
  readonly #fleet: ConfigFleet;
  readonly #options: ConfigSoakOptions;
  readonly #draw: (index: number) => Random;
  readonly #operators: ConfigOperators;
  readonly #calls: ConfigCall[] = [];
  readonly #faults: ConfigFaults;
  #isSteady = false;

  constructor(
    fleet: ConfigFleet,
    options: ConfigSoakOptions,
    draw: (index: number) => Random,
  ) {
    this.#fleet = fleet;
    this.#options = options;
    this.#draw = draw;
    this.#faults = new ConfigFaults(fleet, draw(1));
    this.#operators = new ConfigOperators({
      replicas: fleet.replicaAddresses,
      onAcknowledged: (replica) => this.#faults.failAfterAck(replica),
    });
  }

  async play(): Promise<ConfigSoakReport> {
    const { operators } = this.#options;
    await this.#operators.sendFirst(this.#draw(2));
    const end = new AbortController();
    setMaxListeners(0, end.signal);
    const running = [
      ...this.#startCallers(end.signal),
      this.#operators.readUntilStopped(() => end.signal.aborted),
    ];
    await waitFor(() => this.#calls.some(({ status }) => status === 200));
    let areOrdersOver = false;
    const ordering = Array.from(
      { length: operators },
      (_, index) =>
        this.#operators
          .orderUntilStopped(this.#draw(10 + index), () => areOrdersOver),
    );
    await this.#faults.inject(this.#options);
    areOrdersOver = true;
    await Promise.all(ordering);
    await sleep(SETTLING_MS);
    const broken = [...await this.#playSteadyTime()];
    end.abort();
    await Promise.all(running);
    return this.#report(broken);
  }

  /** Changes the configuration once more, and holds calls against it. */
  async #playSteadyTime(): Promise<readonly string[]> {
    const isChanged = await this.#operators.sendLast(this.#draw(4));
    await sleep(SETTLING_MS);
    this.#isSteady = true;
    const startMs = performance.now();
    await sleep(STEADY_MS);
    const finalReads = await Promise.all(
      this.#fleet.replicaAddresses
        .map((replica) => this.#operators.read(replica)),
    );
    const { orders } = this.#operators;
    const newest = findAcknowledgedVersion(orders, Infinity);
    const { document } = orders.find((order) =>
      order.document.version === newest &&
      findAcknowledgement(order) !== undefined
    )!;
    const calls = this.#calls.filter(({ sentAtMs }) => sentAtMs > startMs);
    return [
      ...isChanged ? [] : ["the last change was not acknowledged"],
      ...listFinalViolations(orders, finalReads),
      ...listSteadyViolations(document, calls, this.#fleet.services),
    ];
  }

  #report(broken: readonly string[]): ConfigSoakReport {
    const { orders, reads } = this.#operators;
    const history = new ConfigHistory(orders, this.#fleet.members);
    const judge = new CallJudge(history, {
      services: this.#fleet.services,
      runs: this.#fleet.countRuns(),
    });
    const callFaults = judge.listViolations(this.#calls);
    const acknowledged = orders
      .filter((order) => findAcknowledgement(order) !== undefined);
    const report = {
      seed: this.#options.seed,
      orders: orders.length,
      acknowledged: acknowledged.length,
      invalid: orders.filter(({ invalid }) => invalid !== undefined).length,
      repeated: acknowledged
        .filter(({ attempts }) => attempts.length > 1).length,
      reads: reads.length,
      calls: this.#calls.length,
      served: this.#calls.filter(({ status }) => status === 200).length,
      faults: this.#faults.count(),
      lateBesideFaults: judge.lateBesideFaults,
      maxLagMs: judge.maxLagMs,
      broken: [
        ...broken,
        ...listOrderViolations(orders),
        ...listReadViolations(orders, reads),
        ...callFaults,
        ...listTimeViolations(history, this.#calls),
      ],
    };
    this.#keepLogs(report);
    return report;
  }

  #startCallers(signal: AbortSignal): readonly Promise<void>[] {
    let nextId = 1;
    return this.#fleet.nodes.flatMap(({ callers, ip }, nodeIndex) => {
      const node = this.#fleet.members
        .find(({ process }) => process.ip === ip)!.name;
      return CALLER_KINDS.map((kinds, index) =>
        makeCalls({
          node,
          address: callers,
          random: this.#draw(100 + nodeIndex * CALLER_KINDS.length + index),
          kinds,
          createId: () => `c${nextId++}`,
          drawPath: (random) => this.#drawPath(random),
          recordCall: (call) => this.#calls.push(call),
          signal,
        })
      );
    });
  }

  #drawPath(random: Random): string {
    if (this.#isSteady && random() < STEADY_SPLIT_RATIO) {
      return SPLIT_PREFIX;
    }
    const markers = this.#operators.orders.slice(-RECENT_MARKERS)
      .map(({ document }) => document.marker);
    return pick(random, [...FIRST_PREFIXES, ...ADDED_PREFIXES, ...markers]);
  }

  #keepLogs(report: ConfigSoakReport): void {
    const { logs, seed } = this.#options;
    if (logs === undefined || report.broken.length === 0) {
      return;
    }
    const folder = join(logs, `seed-${seed}`);
    mkdirSync(folder, { recursive: true });
    const { orders, reads } = this.#operators;
    const record = { report, orders, reads, calls: this.#calls };
    writeFileSync(join(folder, "record.json"), JSON.stringify(record, null, 1));
    for (const { name, process, disturbances } of this.#fleet.members) {
      const lines = [JSON.stringify({ disturbances }), ...process.stdoutLines];
      writeFileSync(join(folder, `${name}.log`), lines.join("\n"));
    }
  }
}
