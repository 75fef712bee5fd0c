/** Counts and gauges in plain fields, until a scrape reads them. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Attributes } from "@opentelemetry/api";
import { DurationBuckets } from "../common/duration_buckets.ts";
import type { TimelineEvent } from "../common/timeline_event.ts";
import type { MetricsReader } from "./metrics_reader.ts";

/** Reads the present value of a gauge. */
export type ReadGauge = () => number;

/** One value of a gauge. */
export interface Reading {
  readonly value: number;
  readonly attributes: Attributes;
}

/** A gauge that is read at each scrape. */
export interface Gauge {
  readonly name: string;
  readonly description: string;
  readonly read: () => readonly Reading[];
}

/** A gauge that has one value for each value of a label. */
export interface LabelledGauge {
  readonly description: string;
  readonly label: string;
  /** Reads value of the label and reading, in turn. */
  readonly read: () => readonly (readonly [string, number])[];
}

/** A running count of one set of attributes. */
export interface Count {
  count: number;
  readonly attributes: Attributes;
}

/** A metric that is counted by attributes. */
export interface Counter {
  readonly name: string;
  readonly description: string;
  readonly counts: Counts;
}

/** Counts by a text of their attributes. */
export type Counts = Map<string, Count>;

/** The meters of one process; the library is loaded by the first scrape. */
export class Metrics implements AsyncDisposable {
  readonly #events: Counts = new Map();
  readonly #calls: Counts = new Map();
  readonly #refusals: Counts = new Map();
  readonly #decisions: Counts = new Map();
  readonly #attempts: Counts = new Map();
  readonly #durations = new DurationBuckets();
  readonly #gauges: Gauge[] = [];
  #reader: Promise<MetricsReader> | undefined;

  /** Counts an event of the time line. */
  countEvent(event: TimelineEvent): void {
    const { type } = event;
    countOne(this.#events, type, () => ({ type }));
    if (event.type === "CallEnded") {
      const { kind, outcome, status } = event;
      const key = `${kind} ${outcome} ${status}`;
      countOne(this.#calls, key, () => ({ kind, outcome, status }));
    }
    if (event.type === "AttemptRefused" || event.type === "CallRefused") {
      const { kind, importance, reason } = event;
      const key = `${kind} ${importance} ${reason}`;
      countOne(this.#refusals, key, () => ({ kind, importance, reason }));
    }
  }

  /** Counts a decision, also where its line isn't written. */
  countDecision(event: string, outcome: string): void {
    const key = `${event} ${outcome}`;
    countOne(this.#decisions, key, () => ({ event, outcome }));
  }

  /** Counts a call that is sent to a service, by why it is sent. */
  countAttempt(service: string, cause: string): void {
    const key = `${service} ${cause}`;
    countOne(this.#attempts, key, () => ({ service, cause }));
  }

  /** Counts how long a call of a route took until its final answer. */
  noteDuration(route: string, durationMs: number): void {
    this.#durations.note(route, durationMs);
  }

  /** Adds a gauge that is read at each scrape. */
  createGauge(name: string, description: string, read: ReadGauge): void {
    const readOne = () => [{ value: read(), attributes: {} }];
    this.#gauges.push({ name, description, read: readOne });
  }

  /** Adds a gauge with one value for each of several named things. */
  createLabelledGauge(name: string, options: LabelledGauge): void {
    const { description, label, read } = options;
    const readAll = () =>
      read().map(([labelled, value]) => ({
        value,
        attributes: { [label]: labelled },
      }));
    this.#gauges.push({ name, description, read: readAll });
  }

  /** Answers a scrape. */
  async answerScrape(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.#reader ??= this.#loadReader();
    const reader = await this.#reader;
    reader.answerScrape(request, response);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const reader = await this.#reader;
    await reader?.[Symbol.asyncDispose]();
  }

  async #loadReader(): Promise<MetricsReader> {
    const { MetricsReader } = await import("./metrics_reader.ts");
    return new MetricsReader(this.#gauges, [
      {
        name: "events",
        description: "Events of the time line by type",
        counts: this.#events,
      },
      {
        name: "calls",
        description: "Calls that ended at the node where they entered",
        counts: this.#calls,
      },
      {
        name: "refusals",
        description: "Requests that were not run, by importance and reason",
        counts: this.#refusals,
      },
      {
        name: "decisions",
        description: "Decisions on calls and beliefs, by event and outcome",
        counts: this.#decisions,
      },
      {
        name: "attempts",
        description: "Calls sent to a service, by cause; not `first`: retries",
        counts: this.#attempts,
      },
    ], this.#durations);
  }
}

function countOne(
  counts: Counts,
  key: string,
  createAttributes: () => Attributes,
): void {
  const known = counts.get(key);
  if (known !== undefined) {
    known.count += 1;
    return;
  }
  counts.set(key, { count: 1, attributes: createAttributes() });
}
