/** A backend server of the placement simulation, with its gate. */
import type { LoadFigures } from "../../mesh/common/frames.ts";
import { reduceGate } from "../common/gate.ts";
import type { GateEffect, GateEvent } from "../common/gate.ts";
import {
  computeLimit,
  createGate,
  createLoadFigures,
} from "../common/gate_state.ts";

/** What tells one server from another. */
export interface ServerOptions {
  readonly address: string;
  readonly dataCentre: string;
  readonly slots: number;
  /** Relative to the usual server. */
  readonly speed: number;
  readonly startsAtMs: number;
  /** Whether it reports the slowdown of its machine. */
  readonly hasSlowdown: boolean;
  /** Slowdown of its machine, as reported in its answers. */
  readonly getSlowdown: (nowMs: number) => number;
  /** Slowness that it doesn't report, 1 as usual. */
  readonly getSlowness: (nowMs: number) => number;
}

/** A call that the server gets. */
export interface ServerCall {
  readonly id: number;
  readonly route: string;
  /** Time of the run at speed 1. */
  readonly workMs: number;
}

/** A call that has ended or was refused. */
export interface EndedCall {
  readonly id: number;
  /** Time at the gate; infinite if it was refused. */
  readonly waitMs: number;
}

interface CallState extends ServerCall {
  readonly receivedAtMs: number;
  startedAtMs: number;
  leftMs: number;
}

/** From this share of its slots on, it slows down by this factor. */
const KNEE_SHARE = 0.95;
const KNEE_SLOWNESS = 1.3;
const TICK_MS = 50;
/** How long a new server is slower, and by which factor. */
const NEW_MS = 3_000;
const NEW_SLOWNESS = 2;
const PATIENCE_MS = 1_000;

/** Runs calls at a speed that changes over time. */
export class ServerModel {
  readonly options: ServerOptions;
  readonly #gate = createGate();
  readonly #draw: () => number;
  readonly #calls = new Map<number, CallState>();
  readonly #running = new Set<CallState>();
  readonly #refused: EndedCall[] = [];

  constructor(options: ServerOptions, draw: () => number) {
    this.options = options;
    this.#draw = draw;
  }

  /** Number of runs at a time that the gate allows. */
  get limit(): number {
    return computeLimit(this.#gate);
  }

  start(nowMs: number): void {
    const { address: instanceId, dataCentre, slots } = this.options;
    const backend = {
      instanceId,
      startedAtMs: nowMs,
      service: "warehouse",
      address: { ip: "127.0.0.1", port: 1 },
      dataCentre,
      slots,
      isDraining: false,
      warmUntilMs: 0,
    };
    this.#step({ type: "BackendChanged", backend }, nowMs);
  }

  /** Gets the speed of one run, without the effect of full slots. */
  getSpeed(nowMs: number): number {
    const { speed, getSlowdown, getSlowness, startsAtMs } = this.options;
    const isNew = startsAtMs > 0 && nowMs - startsAtMs < NEW_MS;
    return speed / getSlowdown(nowMs) / getSlowness(nowMs) /
      (isNew ? NEW_SLOWNESS : 1);
  }

  readLoad(): LoadFigures {
    return createLoadFigures(this.#gate);
  }

  /** Computes what one more usual call would take, from the true state. */
  computeFinishMs(nowMs: number, workMs: number): number {
    const calls = this.#running.size + this.#gate.queue.length + 1;
    return workMs / this.getSpeed(nowMs) * Math.max(1, calls / this.limit);
  }

  receive(call: ServerCall, nowMs: number): void {
    // Runs of one route differ by a fifth of their usual time at most.
    const leftMs = call.workMs * (0.8 + 0.4 * this.#draw());
    this.#calls.set(call.id, {
      ...call,
      leftMs,
      receivedAtMs: nowMs,
      startedAtMs: nowMs,
    });
    this.#step({
      type: "CallArrived",
      call: {
        id: call.id,
        route: call.route,
        rank: 1,
        isNested: true,
        arrivedAtMs: nowMs,
        dueAtMs: nowMs + PATIENCE_MS,
        deadlineMs: nowMs + PATIENCE_MS,
      },
    }, nowMs);
  }

  /** Advances the runs by one millisecond; returns the calls that end. */
  advance(nowMs: number): readonly EndedCall[] {
    if (this.options.startsAtMs > nowMs) {
      return [];
    }
    const isFull = this.#running.size >= KNEE_SHARE * this.options.slots;
    const speed = this.getSpeed(nowMs) / (isFull ? KNEE_SLOWNESS : 1);
    const ended: EndedCall[] = [];
    for (const call of [...this.#running]) {
      call.leftMs -= speed;
      if (call.leftMs <= 0) {
        this.#end(call, nowMs);
        const waitMs = call.startedAtMs - call.receivedAtMs;
        ended.push({ id: call.id, waitMs });
      }
    }
    if (nowMs % TICK_MS === 0) {
      this.#step({ type: "Ticked" }, nowMs);
    }
    return [...ended, ...this.#refused.splice(0)];
  }

  #end(call: CallState, nowMs: number): void {
    this.#running.delete(call);
    this.#calls.delete(call.id);
    const { hasSlowdown, getSlowdown } = this.options;
    if (hasSlowdown) {
      const load = {
        running: undefined,
        queued: undefined,
        slots: undefined,
        slowdown: getSlowdown(nowMs),
      };
      this.#step({ type: "LoadReported", load }, nowMs);
    }
    this.#step({
      type: "CallEnded",
      id: call.id,
      route: call.route,
      serviceMs: nowMs + 1 - call.startedAtMs,
      isLost: false,
      isRejected: false,
      wasSent: true,
    }, nowMs);
  }

  #step(event: GateEvent, nowMs: number): void {
    reduceGate(this.#gate, event, nowMs)
      .forEach((effect) => this.#perform(effect, nowMs));
  }

  #perform(effect: GateEffect, nowMs: number): void {
    if (effect.type === "RunCall") {
      const call = this.#calls.get(effect.id)!;
      call.startedAtMs = nowMs;
      this.#running.add(call);
    } else if (effect.type === "RefuseCall") {
      this.#calls.delete(effect.id);
      this.#refused.push({ id: effect.id, waitMs: Infinity });
    }
  }
}
