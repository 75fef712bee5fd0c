/**
 * One soak test of what is served: callers of a narrow service, and faults there
 * drawn from a generator with a seed. While nothing is at fault, and from 3 s
 * after the end of a fault on, callers must be served as before.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { CallTreeFleet } from "../platform/standin/call_tree_fleet.ts";
import {
  formatReport,
  NARROW,
  runUnderFault,
} from "../platform/standin/narrow_fleet.ts";
import { createRandom } from "../src/base/test/seeded_random.ts";
import type { Random } from "../src/base/test/seeded_random.ts";

/** The result of a soak test of what is served. */
export interface ServedSoakReport {
  readonly seed: number;
  /** Multiplies request rates that need 0.69 of the narrow service's slots. */
  readonly load: number;
  /** The faults that were injected, in the order of their begin. */
  readonly faults: readonly string[];
  /** Shares of the callers served before, during and after the faults. */
  readonly before: number;
  readonly during: number;
  readonly after: number;
  /** Violated invariants, one line each. */
  readonly broken: readonly string[];
}

/** A fault that was drawn. */
interface Fault {
  readonly description: string;
  readonly startMs: number;
  readonly inject: (fleet: CallTreeFleet) => Promise<void>;
}

/** Least share of callers served before any fault: there is room for all. */
const MIN_SERVED_BEFORE = 0.9;
/** Least share of callers served 3 s after the faults, over that before. */
const MIN_SERVED_AGAIN = 0.9;
const MIN_LOAD = 0.2;
const MIN_FAULT_MS = 1_000;
const MAX_FAULT_MS = 6_000;
/** The second fault begins within this time, so that some overlap. */
const MAX_START_MS = 4_000;
const NARROW_NODES = 3;
const NARROW_SERVICE_MS = 60;
const MAX_SLOWDOWN = 5;

/** Runs the soak test of one seed. */
export async function runServedSoak(
  { seed }: { readonly seed: number },
): Promise<ServedSoakReport> {
  const random = createRandom(seed);
  const load = MIN_LOAD + random() * (1 - MIN_LOAD);
  const faults = Array.from(
    { length: random() < 0.5 ? 1 : 2 },
    (_, index) => drawFault(random, index),
  );
  const report = await runUnderFault({
    draw: createRandom(seed + 1),
    load,
    injectFault: async (fleet) => {
      await Promise.all(faults.map(async ({ startMs, inject }) => {
        await sleep(startMs);
        await inject(fleet);
      }));
    },
  });
  const { before, during, after } = report;
  const isServed = before >= MIN_SERVED_BEFORE &&
    after >= before * MIN_SERVED_AGAIN;
  return {
    seed,
    load,
    faults: faults.map(({ description }) => description),
    before,
    during,
    after,
    broken: isServed ? [] : [`too little served: ${formatReport(report)}`],
  };
}

/** Draws a fault; each index has nodes of its own, so that none has two. */
function drawFault(random: Random, index: number): Fault {
  const startMs = index * random() * MAX_START_MS;
  const lengthMs = MIN_FAULT_MS + random() * (MAX_FAULT_MS - MIN_FAULT_MS);
  const strength = random();
  const count = index === 0 && random() < 0.5 ? 2 : 1;
  const first = index * 2;
  const listFaulty = (fleet: CallTreeFleet) =>
    fleet.listNodes(NARROW).slice(first, Math.min(first + count, NARROW_NODES));
  const kinds = [
    {
      name: "refuse all requests as not run",
      inject: async (fleet: CallTreeFleet) => {
        const backends = listFaulty(fleet).map(({ backend }) => backend);
        backends.forEach((backend) => backend.fault = "not_run");
        await sleep(lengthMs);
        backends.forEach((backend) => backend.fault = "none");
      },
    },
    {
      name: `lose ${(0.3 + 0.7 * strength).toFixed(2)} of their answers`,
      inject: async (fleet: CallTreeFleet) => {
        const nodes = listFaulty(fleet);
        fleet.loseAnswers(0.3 + 0.7 * strength, nodes);
        await sleep(lengthMs);
        fleet.loseAnswers(0, nodes);
      },
    },
    {
      name: `are slower by ${(1 + strength * (MAX_SLOWDOWN - 1)).toFixed(1)}`,
      inject: async (fleet: CallTreeFleet) => {
        const backends = listFaulty(fleet).map(({ backend }) => backend);
        const serviceTimeMs = NARROW_SERVICE_MS *
          (1 + strength * (MAX_SLOWDOWN - 1));
        backends.forEach((backend) => backend.serviceTimeMs = serviceTimeMs);
        await sleep(lengthMs);
        backends.forEach((backend) =>
          backend.serviceTimeMs = NARROW_SERVICE_MS
        );
      },
    },
    {
      name: "have nodes that are silent",
      inject: async (fleet: CallTreeFleet) => {
        await Promise.all(
          listFaulty(fleet).map((_, member) =>
            fleet.pause({ service: NARROW, index: first + member }, lengthMs)
          ),
        );
      },
    },
    {
      name: "have nodes that are killed and started again",
      inject: async (fleet: CallTreeFleet) => {
        await Promise.all(
          listFaulty(fleet).map((_, member) =>
            fleet.restart({ service: NARROW, index: first + member })
          ),
        );
      },
    },
  ];
  const { name, inject } = kinds[Math.floor(random() * kinds.length)]!;
  const at = `from ${Math.round(startMs)} for ${Math.round(lengthMs)} ms`;
  return { description: `${count} ${name}, ${at}`, startMs, inject };
}
