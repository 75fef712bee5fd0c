/**
 * Simulates call trees with lost answers, on nodes with a retry budget each.
 */
import { createRandom } from "../../../base/test/seeded_random.ts";
import type { Random } from "../../../base/test/seeded_random.ts";
import type { Arrival } from "../../../../standin/retry_windows.ts";
import { RepeatedRuns } from "../common/repeated_runs.ts";

/** A route, and the calls that its runs make. */
export interface TreeRoute {
  readonly service: string;
  /** Mean time of a run without the calls that it makes. */
  readonly workMs: number;
  readonly calls: readonly {
    readonly route: string;
    readonly times: number;
  }[];
  /** Root requests a second, over all nodes. */
  readonly rootsPerS: number;
}

/** The properties of a call that a budget may depend on. */
export interface SimulatedCall {
  readonly service: string;
  readonly route: string;
  readonly isNested: boolean;
  readonly hasDownstreamCalls: boolean;
  readonly repeatShare: number;
}

/** The retry budget of one node, as its entry uses it. */
export interface SimulatedBudget {
  readonly recordFirstAttempt: (call: SimulatedCall, nowMs: number) => void;
  readonly recordRetry: (call: SimulatedCall, nowMs: number) => void;
  readonly canRetry: (call: SimulatedCall, nowMs: number) => boolean;
}

/** Options of a simulation. */
export interface RetrySimulation {
  readonly routes: Readonly<Record<string, TreeRoute>>;
  readonly nodesPerService: number;
  readonly seed: number;
  readonly untilMs: number;
  /** Computes the share of answers that is lost at a time, 0 to 1. */
  readonly computeLoss: (nowMs: number) => number;
  /** Share of the lost answers whose runs end before they make calls. */
  readonly earlyLossShare: number;
  /** Mean time between two restarts of a node; undefined for none. */
  readonly restartEveryMs?: number;
  readonly createBudget: (startedAtMs: number) => SimulatedBudget;
}

/** Result of a simulation. */
export interface RetryOutcome {
  /** Calls that arrived at backend servers, in order. */
  readonly arrivals: readonly Arrival[];
  /** Number of root requests, and of those that were answered. */
  readonly roots: number;
  readonly served: number;
}

interface SimulatedNode {
  readonly service: string;
  budget: SimulatedBudget;
  repeated: RepeatedRuns;
}

const HOP_MS = 2;
const MAX_ATTEMPTS = 2;

/** Plays root requests and all calls that result from them. */
export function playRetries(options: RetrySimulation): RetryOutcome {
  return new Simulation(options).run();
}

class Simulation {
  readonly #options: RetrySimulation;
  readonly #draw: Random;
  readonly #nodes: readonly SimulatedNode[];
  /** Steps by the time at which they are due. */
  readonly #due = new Map<number, (() => void)[]>();
  readonly #arrivals: Arrival[] = [];
  #nowMs = 0;
  #roots = 0;
  #served = 0;

  constructor(options: RetrySimulation) {
    this.#options = options;
    this.#draw = createRandom(options.seed);
    const services = new Set(
      Object.values(options.routes).map(({ service }) => service),
    );
    this.#nodes = [...services].flatMap((service) =>
      Array.from({ length: options.nodesPerService }, () => ({
        service,
        budget: options.createBudget(0),
        repeated: new RepeatedRuns(),
      }))
    );
  }

  run(): RetryOutcome {
    const { routes, untilMs, restartEveryMs } = this.#options;
    Object.keys(routes).forEach((name) => this.#arrive(name));
    if (restartEveryMs !== undefined) {
      this.#nodes.forEach((node) => this.#restart(node, restartEveryMs));
    }
    for (this.#nowMs = 0; this.#nowMs <= untilMs; this.#nowMs += 1) {
      this.#due.get(this.#nowMs)?.forEach((step) => step());
      this.#due.delete(this.#nowMs);
    }
    return {
      arrivals: this.#arrivals,
      roots: this.#roots,
      served: this.#served,
    };
  }

  #schedule(delayMs: number, step: () => void): void {
    const atMs = this.#nowMs + Math.max(1, Math.round(delayMs));
    const steps = this.#due.get(atMs) ?? [];
    this.#due.set(atMs, steps);
    steps.push(step);
  }

  #drawTime(meanMs: number): number {
    return -Math.log(1 - this.#draw()) * meanMs;
  }

  /** Schedules the next root request of a route. */
  #arrive(name: string): void {
    const { rootsPerS } = this.#options.routes[name]!;
    if (rootsPerS === 0) {
      return;
    }
    this.#schedule(this.#drawTime(1_000 / rootsPerS), () => {
      const from = this.#nodes[Math.floor(this.#draw() * this.#nodes.length)]!;
      this.#roots += 1;
      this.#call(name, { from, isOfRepeat: undefined }, (isServed) => {
        this.#served += isServed ? 1 : 0;
      });
      this.#arrive(name);
    });
  }

  #restart(node: SimulatedNode, everyMs: number): void {
    this.#schedule(this.#drawTime(everyMs), () => {
      node.budget = this.#options.createBudget(this.#nowMs);
      node.repeated = new RepeatedRuns();
      this.#restart(node, everyMs);
    });
  }

  /**
   * Makes a call from a node. `isOfRepeat`: whether the run that makes the call
   * is a repeat; undefined for a root request.
   */
  #call(
    name: string,
    { from, isOfRepeat }: {
      readonly from: SimulatedNode;
      readonly isOfRepeat: boolean | undefined;
    },
    done: (isServed: boolean) => void,
  ): void {
    const { routes } = this.#options;
    const { service, calls } = routes[name]!;
    const parents = Object.keys(routes).filter((parent) =>
      routes[parent]!.calls.some(({ route }) => route === name)
    );
    const isNested = isOfRepeat !== undefined;
    const call: SimulatedCall = {
      service,
      route: name,
      isNested,
      hasDownstreamCalls: calls.length > 0,
      repeatShare: isNested
        ? from.repeated.computeRepeatShare(parents, this.#nowMs)
        : 0,
    };
    from.budget.recordFirstAttempt(call, this.#nowMs);
    const attempt = (count: number) => {
      const isRepeat = count > 1 || isOfRepeat === true;
      const repeatShare = count > 1 ? 1 : call.repeatShare;
      this.#runAt(name, { isRepeat, repeatShare }, (end) => {
        const canRetry = end === "lost" && count < MAX_ATTEMPTS &&
          from.budget.canRetry(call, this.#nowMs);
        if (canRetry) {
          from.budget.recordRetry(call, this.#nowMs);
          attempt(count + 1);
        } else {
          done(end === "served");
        }
      });
    };
    attempt(1);
  }

  /** Runs one attempt of a call at a member of its service. */
  #runAt(
    name: string,
    run: { readonly isRepeat: boolean; readonly repeatShare: number },
    done: (end: "served" | "failed" | "lost") => void,
  ): void {
    const { routes, computeLoss, earlyLossShare } = this.#options;
    const { service, workMs, calls } = routes[name]!;
    const members = this.#nodes.filter((node) => node.service === service);
    const node = members[Math.floor(this.#draw() * members.length)]!;
    this.#schedule(HOP_MS, () => {
      const atMs = this.#nowMs;
      this.#arrivals.push({ service, atMs, isRepeat: run.isRepeat });
      const isLost = this.#draw() < computeLoss(atMs);
      if (isLost && this.#draw() < earlyLossShare) {
        done("lost");
        return;
      }
      const { repeatShare } = run;
      node.repeated.recordStart({ route: name, repeatShare }, atMs);
      const end = (isServed: boolean) => {
        done(isLost ? "lost" : isServed ? "served" : "failed");
      };
      const steps = calls
        .flatMap(({ route, times }) => Array<string>(times).fill(route));
      const advance = (at: number) =>
        this.#schedule(this.#drawTime(workMs / (steps.length + 1)), () => {
          const next = steps[at];
          if (next === undefined) {
            end(true);
            return;
          }
          const from = { from: node, isOfRepeat: run.isRepeat };
          this.#call(next, from, (isServed) => {
            if (isServed) {
              advance(at + 1);
            } else {
              end(false);
            }
          });
        });
      advance(0);
    });
  }
}
