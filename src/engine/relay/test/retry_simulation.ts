/** Call trees whose answers are lost, over nodes that each have a budget. */
import { createRandom } from "../../../base/test/seeded_random.ts";
import type { Random } from "../../../base/test/seeded_random.ts";
import type { Arrival } from "../../../../standin/retry_windows.ts";
import { RepeatedRuns } from "../common/repeated_runs.ts";

/** A kind of request, and the calls that its runs make. */
export interface TreeRoute {
  readonly service: string;
  readonly workMs: number;
  readonly calls: readonly {
    readonly route: string;
    readonly times: number;
  }[];
  /** Requests of callers a second, over all nodes. */
  readonly rootsPerS: number;
}

/** Which call a budget is asked about. */
export interface SimulatedCall {
  readonly service: string;
  readonly route: string;
  readonly isNested: boolean;
  readonly hasDownstreamCalls: boolean;
  readonly repeatShare: number;
}

/** The budget of one node, as the entry uses it. */
export interface SimulatedBudget {
  readonly noteFirst: (call: SimulatedCall, nowMs: number) => void;
  readonly noteRetry: (call: SimulatedCall, nowMs: number) => void;
  readonly canRetry: (call: SimulatedCall, nowMs: number) => boolean;
}

/** What is played. */
export interface RetrySimulation {
  readonly routes: Readonly<Record<string, TreeRoute>>;
  readonly nodesPerService: number;
  readonly seed: number;
  readonly untilMs: number;
  /** Share of answers that is lost at a time. */
  readonly computeLoss: (nowMs: number) => number;
  /** Part of the lost answers whose run makes no calls before. */
  readonly earlyPart: number;
  /** Mean time between two restarts of a node; undefined for none. */
  readonly restartEveryMs?: number;
  readonly createBudget: (startedAtMs: number) => SimulatedBudget;
}

/** What came of it. */
export interface RetryOutcome {
  readonly arrivals: readonly Arrival[];
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

/** Plays the requests of callers and all calls below them. */
export function playRetries(options: RetrySimulation): RetryOutcome {
  return new Play(options).run();
}

class Play {
  readonly #options: RetrySimulation;
  readonly #draw: Random;
  readonly #nodes: readonly SimulatedNode[];
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

  #after(delayMs: number, step: () => void): void {
    const atMs = this.#nowMs + Math.max(1, Math.round(delayMs));
    const steps = this.#due.get(atMs) ?? [];
    this.#due.set(atMs, steps);
    steps.push(step);
  }

  #drawTime(meanMs: number): number {
    return -Math.log(1 - this.#draw()) * meanMs;
  }

  #arrive(name: string): void {
    const { rootsPerS } = this.#options.routes[name]!;
    if (rootsPerS === 0) {
      return;
    }
    this.#after(this.#drawTime(1_000 / rootsPerS), () => {
      const from = this.#nodes[Math.floor(this.#draw() * this.#nodes.length)]!;
      this.#roots += 1;
      this.#call(name, { from, isOfRepeat: undefined }, (isServed) => {
        this.#served += isServed ? 1 : 0;
      });
      this.#arrive(name);
    });
  }

  #restart(node: SimulatedNode, everyMs: number): void {
    this.#after(this.#drawTime(everyMs), () => {
      node.budget = this.#options.createBudget(this.#nowMs);
      node.repeated = new RepeatedRuns();
      this.#restart(node, everyMs);
    });
  }

  /** `isOfRepeat`: of the run that makes the call; undefined for callers. */
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
    from.budget.noteFirst(call, this.#nowMs);
    const attempt = (count: number) => {
      const isRepeat = count > 1 || isOfRepeat === true;
      const repeatShare = count > 1 ? 1 : call.repeatShare;
      this.#runAt(name, { isRepeat, repeatShare }, (end) => {
        const canRetry = end === "lost" && count < MAX_ATTEMPTS &&
          from.budget.canRetry(call, this.#nowMs);
        if (canRetry) {
          from.budget.noteRetry(call, this.#nowMs);
          attempt(count + 1);
        } else {
          done(end === "served");
        }
      });
    };
    attempt(1);
  }

  #runAt(
    name: string,
    run: { readonly isRepeat: boolean; readonly repeatShare: number },
    done: (end: "served" | "failed" | "lost") => void,
  ): void {
    const { routes, computeLoss, earlyPart } = this.#options;
    const { service, workMs, calls } = routes[name]!;
    const members = this.#nodes.filter((node) => node.service === service);
    const node = members[Math.floor(this.#draw() * members.length)]!;
    this.#after(HOP_MS, () => {
      const atMs = this.#nowMs;
      this.#arrivals.push({ service, atMs, isRepeat: run.isRepeat });
      const isLost = this.#draw() < computeLoss(atMs);
      if (isLost && this.#draw() < earlyPart) {
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
        this.#after(this.#drawTime(workMs / (steps.length + 1)), () => {
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
