/** Simulates call trees of known shape on the nodes of several services. */
import { createRandom } from "../../../base/test/seeded_random.ts";

/** Behaviour of the requests of a route. */
export interface SimulatedRoute {
  readonly service: string;
  /** Mean time of a run without its calls, exponentially distributed. */
  readonly workMs: number;
  /** Routes that a run calls, in sequence. */
  readonly calls: readonly string[];
  /** Maximum timeout of a call of this route. */
  readonly limitMs: number;
  /** Callers' requests per second, spread over all nodes. */
  readonly rootsPerS: number;
}

/** A run or a call that a node observes, and the true origin of the call. */
export type SimulatedEvent =
  | {
    readonly type: "Run";
    readonly node: number;
    readonly route: string;
    /** 1: begins; -1: ends. */
    readonly change: 1 | -1;
    readonly id: number;
    readonly deadlineMs: number;
  }
  | {
    readonly type: "Call";
    readonly node: number;
    readonly route: string;
    readonly service: string;
    /** Node whose backend server runs the call. */
    readonly target: number;
    readonly expiresAtMs: number;
    /** Route of the run that made the call; undefined if a caller made it. */
    readonly parent: string | undefined;
  };

/** Inputs of a simulation. */
export interface SimulationOptions {
  readonly routes: Readonly<Record<string, SimulatedRoute>>;
  /** Number of nodes by service. */
  readonly nodes: Readonly<Record<string, number>>;
  readonly seed: number;
  readonly untilMs: number;
  /** Whether the deadline of a call is bounded by that of its parent. */
  readonly isClamped: boolean;
  /** Computes the factor of the callers' rate; 1 if undefined. */
  readonly computeSurge?: (nowMs: number) => number;
  readonly observe: (event: SimulatedEvent, nowMs: number) => void;
}

/** Lists the service of each node. */
export function listNodeServices(
  nodes: Readonly<Record<string, number>>,
): readonly string[] {
  return Object.entries(nodes)
    .flatMap(([service, count]) => Array<string>(count).fill(service));
}

/** Simulates callers' requests and all calls made for them. */
export function simulateCalls(options: SimulationOptions): void {
  const { routes, untilMs, isClamped, observe } = options;
  const random = createRandom(options.seed);
  const services = listNodeServices(options.nodes);
  const stepsByTime = new Map<number, (() => void)[]>();
  let nowMs = 0;
  let nextId = 1;

  function schedule(delayMs: number, step: () => void): void {
    const at = nowMs + Math.max(1, Math.round(delayMs));
    const steps = stepsByTime.get(at) ?? [];
    stepsByTime.set(at, steps);
    steps.push(step);
  }

  function drawTime(meanMs: number): number {
    return -Math.log(1 - random()) * meanMs;
  }

  function call(
    name: string,
    from: {
      readonly node: number;
      readonly parent: string | undefined;
      readonly endsAtMs: number;
    },
    onEnd: () => void,
  ): void {
    const { service, limitMs } = routes[name]!;
    const members = services
      .flatMap((candidate, node) => candidate === service ? [node] : []);
    const target = members[Math.floor(random() * members.length)]!;
    const ownDeadlineMs = nowMs + limitMs * (0.85 + random() * 0.15);
    const deadlineMs = isClamped
      ? Math.min(ownDeadlineMs, from.endsAtMs)
      : ownDeadlineMs;
    observe({
      type: "Call",
      node: from.node,
      route: name,
      service,
      target,
      expiresAtMs: deadlineMs,
      parent: from.parent,
    }, nowMs);
    schedule(2, () => run(name, target, deadlineMs, onEnd));
  }

  function run(
    name: string,
    node: number,
    deadlineMs: number,
    onEnd: () => void,
  ): void {
    const { workMs, calls } = routes[name]!;
    const id = nextId++;
    const report = (change: 1 | -1) =>
      observe(
        { type: "Run", node, route: name, change, id, deadlineMs },
        nowMs,
      );
    const partCount = calls.length + 1;
    const advance = (index: number) =>
      schedule(drawTime(workMs / partCount), () => {
        const next = calls[index];
        if (next === undefined) {
          report(-1);
          schedule(2, onEnd);
          return;
        }
        const from = { node, parent: name, endsAtMs: deadlineMs };
        call(next, from, () => advance(index + 1));
      });
    report(1);
    advance(0);
  }

  function arrive(name: string): void {
    const { rootsPerS } = routes[name]!;
    const surge = options.computeSurge?.(nowMs) ?? 1;
    schedule(drawTime(1_000 / (rootsPerS * surge)), () => {
      const node = Math.floor(random() * services.length);
      call(name, { node, parent: undefined, endsAtMs: Infinity }, () => {});
      arrive(name);
    });
  }

  for (const [name, { rootsPerS }] of Object.entries(routes)) {
    if (rootsPerS > 0) {
      arrive(name);
    }
  }
  for (nowMs = 0; nowMs <= untilMs; nowMs += 1) {
    stepsByTime.get(nowMs)?.forEach((step) => step());
    stepsByTime.delete(nowMs);
  }
}
