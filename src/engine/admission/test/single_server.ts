/** Simulates a single backend server under load. */
import { hashText } from "../../../base/common/hash.ts";
import {
  createAdmission,
  reduceAdmission,
} from "../common/admission_reducer.ts";
import type {
  AdmissionEffect,
  AdmissionEvent,
  AdmissionRequest,
  AdmissionState,
  RunResult,
} from "../common/admission_types.ts";
import type { TableRow } from "../../table/common/table_row.ts";
import { RAMP_MS } from "../common/ramp.ts";

const ROW: TableRow = {
  kind: "lookup",
  service: "provenance",
  method: "GET",
  path: "/",
  weight: 1,
  importance: 3,
  concurrency: 1_000,
  rate: 1_000_000,
  queue: 1_000,
  timeoutMs: 1_000,
  retries: 0,
  idempotent: true,
  key: "none",
  maxBodyBytes: 0,
};

/** Creates a row of the table. */
export function createRow(change: Partial<TableRow> = {}): TableRow {
  return { ...ROW, ...change };
}

/** Creates a request of `row`, with the hash of its id. */
export function createRequest(
  attemptId: string,
  row: TableRow,
  change: Partial<AdmissionRequest> = {},
): AdmissionRequest {
  return {
    attemptId,
    row,
    importance: row.importance,
    admissionHash: hashText(attemptId),
    depth: 0,
    deadlineMs: Infinity,
    ...change,
  };
}

/** An effect, and when it was emitted. */
export interface RecordedEffect {
  readonly atMs: number;
  readonly effect: AdmissionEffect;
}

/** Feeds the admission reducer, simulates the runs, and records the effects. */
export class SingleServer {
  state: AdmissionState;
  nowMs: number;
  readonly recorded: RecordedEffect[] = [];
  /** Returns the service time of a run; undefined: it runs until `finish`. */
  serviceMs: (request: AdmissionRequest) => number | undefined = () =>
    undefined;
  readonly #requests = new Map<string, AdmissionRequest>();
  readonly #ends = new Map<string, number>();

  /** Skips the ramp unless `isCold`. */
  constructor(slots: number, isCold = false) {
    this.state = createAdmission(slots);
    this.nowMs = 1_000_000;
    this.send({ type: "Ticked" });
    this.nowMs += isCold ? 0 : RAMP_MS;
  }

  /** Applies one event, and returns its effects. */
  send(event: AdmissionEvent): readonly AdmissionEffect[] {
    const { state, effects } = reduceAdmission(this.state, event, this.nowMs);
    this.state = state;
    for (const effect of effects) {
      this.recorded.push({ atMs: this.nowMs, effect });
      const request = this.#requests.get(effect.attemptId)!;
      const ms = effect.type === "RunRequest"
        ? this.serviceMs(request)
        : undefined;
      if (ms !== undefined) {
        this.#ends.set(effect.attemptId, this.nowMs + ms);
      }
    }
    return effects;
  }

  arrive(request: AdmissionRequest): readonly AdmissionEffect[] {
    this.#requests.set(request.attemptId, request);
    return this.send({ type: "RequestArrived", request });
  }

  finish(
    attemptId: string,
    result: RunResult = "answered",
  ): readonly AdmissionEffect[] {
    if (result === "answered") {
      this.send({ type: "RequestAnswered", attemptId });
    }
    return this.send({ type: "RequestFinished", attemptId, result });
  }

  /** Advances the time by `ms`; `arrive` is called once per millisecond. */
  pass(ms: number, arrive: (nowMs: number) => void = () => {}): void {
    const endMs = this.nowMs + ms;
    while (this.nowMs < endMs) {
      this.nowMs += 1;
      for (const [attemptId, atMs] of this.#ends) {
        if (atMs <= this.nowMs) {
          this.#ends.delete(attemptId);
          this.finish(attemptId);
        }
      }
      if (this.nowMs % 100 === 0) {
        this.send({ type: "Ticked" });
      }
      arrive(this.nowMs);
    }
  }

  /** Ids of the requests that were run, in order. */
  get run(): readonly string[] {
    return this.recorded.filter(({ effect }) => effect.type === "RunRequest")
      .map(({ effect }) => effect.attemptId);
  }

  /** Reasons of the refusals, by attempt id. */
  get refused(): ReadonlyMap<string, string> {
    return new Map(
      this.recorded.flatMap(({ effect }) =>
        effect.type === "RefuseRequest"
          ? [[effect.attemptId, effect.reason] as const]
          : []
      ),
    );
  }
}

/** Creates a load of `perMs` requests per millisecond, created by `draw`. */
export function createLoad(
  server: SingleServer,
  perMs: number,
  draw: (n: number) => AdmissionRequest,
): () => void {
  let due = 0;
  let sent = 0;
  return () => {
    due += perMs;
    while (sent < Math.floor(due)) {
      server.arrive(draw(sent));
      sent += 1;
    }
  };
}
