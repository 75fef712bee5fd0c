/** Call trees of known shape, played over the nodes of several services. */
import { createRandom } from "../../../base/test/seeded_random.ts";

/** What requests of a route do. */
export interface SimulatedRoute {
  readonly service: string;
  /** Time of the own work, exponentially distributed. */
  readonly workMs: number;
  /** Routes that it calls, one after the other. */
  readonly calls: readonly string[];
  /** Most time that a call of this route is given. */
  readonly limitMs: number;
  /** Requests of callers a second, spread over all nodes. */
  readonly rootsPerS: number;
}

/** A run or a call as the node sees it, and who made it in truth. */
export type SimulatedEvent =
  | {
    readonly type: "Run";
    readonly node: number;
    readonly route: string;
    readonly change: 1 | -1;
    readonly id: number;
    readonly deadlineMs: number;
  }
  | {
    readonly type: "Call";
    readonly node: number;
    readonly route: string;
    readonly service: string;
    /** Node whose backend server runs it. */
    readonly target: number;
    readonly expiresAtMs: number;
    /** Route of the run that made it; undefined for a caller's own. */
    readonly parent: string | undefined;
  };

/** What is played. */
export interface SimulationOptions {
  readonly routes: Readonly<Record<string, SimulatedRoute>>;
  /** Nodes of each service. */
  readonly nodes: Readonly<Record<string, number>>;
  readonly seed: number;
  readonly untilMs: number;
  /** Whether a call has no more time than its parent. */
  readonly isClamped: boolean;
  /** Factor of the callers' rate at a time. */
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

/** Plays requests of callers and all calls below them. */
export function playCalls(options: SimulationOptions): void {
  const { routes, untilMs, isClamped, observe } = options;
  const draw = createRandom(options.seed);
  const services = listNodeServices(options.nodes);
  const due = new Map<number, (() => void)[]>();
  let nowMs = 0;
  let nextId = 1;

  function after(delayMs: number, step: () => void): void {
    const at = nowMs + Math.max(1, Math.round(delayMs));
    const steps = due.get(at) ?? [];
    due.set(at, steps);
    steps.push(step);
  }

  function drawTime(meanMs: number): number {
    return -Math.log(1 - draw()) * meanMs;
  }

  function call(
    name: string,
    from: {
      readonly node: number;
      readonly parent: string | undefined;
      readonly endsAtMs: number;
    },
    done: () => void,
  ): void {
    const { service, limitMs } = routes[name]!;
    const members = services
      .flatMap((found, node) => found === service ? [node] : []);
    const target = members[Math.floor(draw() * members.length)]!;
    const ownMs = nowMs + limitMs * (0.85 + draw() * 0.15);
    const deadlineMs = isClamped ? Math.min(ownMs, from.endsAtMs) : ownMs;
    observe({
      type: "Call",
      node: from.node,
      route: name,
      service,
      target,
      expiresAtMs: deadlineMs,
      parent: from.parent,
    }, nowMs);
    after(2, () => run(name, target, deadlineMs, done));
  }

  function run(
    name: string,
    node: number,
    deadlineMs: number,
    done: () => void,
  ): void {
    const { workMs, calls } = routes[name]!;
    const id = nextId++;
    const note = (change: 1 | -1) =>
      observe(
        { type: "Run", node, route: name, change, id, deadlineMs },
        nowMs,
      );
    const parts = calls.length + 1;
    const advance = (at: number) =>
      after(drawTime(workMs / parts), () => {
        const next = calls[at];
        if (next === undefined) {
          note(-1);
          after(2, done);
          return;
        }
        const from = { node, parent: name, endsAtMs: deadlineMs };
        call(next, from, () => advance(at + 1));
      });
    note(1);
    advance(0);
  }

  function arrive(name: string): void {
    const { rootsPerS } = routes[name]!;
    const surge = options.computeSurge?.(nowMs) ?? 1;
    after(drawTime(1_000 / (rootsPerS * surge)), () => {
      const node = Math.floor(draw() * services.length);
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
    due.get(nowMs)?.forEach((step) => step());
    due.delete(nowMs);
  }
}
