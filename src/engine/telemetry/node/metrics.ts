/** Counters and gauges of a process, independent of the metrics library. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Attributes } from "@opentelemetry/api";
import { DurationBuckets } from "../common/duration_buckets.ts";
import type { TimelineEvent } from "../common/timeline_event.ts";
import type { MetricsReader } from "./metrics_reader.ts";

/** Returns the current value of a gauge. */
export type ReadGauge = () => number;

/** One value of a gauge, with its labels. */
export interface GaugeValue {
  readonly value: number;
  readonly attributes: Attributes;
}

/** A gauge that is read at each scrape. */
export interface Gauge {
  readonly name: string;
  readonly description: string;
  readonly read: () => readonly GaugeValue[];
}

/** Options of a gauge with one value for each value of a label. */
export interface LabelledGauge {
  readonly description: string;
  readonly label: string;
  /** Returns pairs of label value and gauge value. */
  readonly read: () => readonly (readonly [string, number])[];
}

/** The running count for one set of attributes. */
export interface Count {
  count: number;
  readonly attributes: Attributes;
}

/** A counter with one count for each set of attributes. */
export interface Counter {
  readonly name: string;
  readonly description: string;
  readonly counts: Counts;
}

/** Counts by a key that is derived from their attributes. */
export type Counts = Map<string, Count>;

/** The metrics of one process; the first scrape loads the metrics library. */
export class Metrics implements AsyncDisposable {
  readonly #events: Counts = new Map();
  readonly #calls: Counts = new Map();
  readonly #refusals: Counts = new Map();
  readonly #decisions: Counts = new Map();
  readonly #attempts: Counts = new Map();
  readonly #limitedCalls: Counts = new Map();
  readonly #backendEnds: Counts = new Map();
  readonly #suspectCalls: Counts = new Map();
  readonly #suspectAnswers: Counts = new Map();
  readonly #routesChanges: Counts = new Map();
  readonly #routesReads: Counts = new Map();
  readonly #routesVersions: Counts = new Map();
  readonly #durations = new DurationBuckets();
  readonly #gauges: Gauge[] = [];
  #reader: Promise<MetricsReader> | undefined;

  /** Counts an event of the time line, and the call that it ends or refuses. */
  countEvent(event: TimelineEvent): void {
    const { type } = event;
    incrementCount(this.#events, type, () => ({ type }));
    if (event.type === "CallEnded") {
      const { kind, outcome, status } = event;
      const key = `${kind} ${outcome} ${status}`;
      incrementCount(this.#calls, key, () => ({ kind, outcome, status }));
    }
    if (event.type === "AttemptRefused" || event.type === "CallRefused") {
      const { kind, importance, reason } = event;
      const key = `${kind} ${importance} ${reason}`;
      incrementCount(this.#refusals, key, () => ({ kind, importance, reason }));
    }
  }

  /** Counts a decision, even if the log level suppresses its line. */
  countDecision(event: string, outcome: string): void {
    const key = `${event} ${outcome}`;
    incrementCount(this.#decisions, key, () => ({ event, outcome }));
  }

  /** Counts a call that is sent to a service, by cause. */
  countAttempt(service: string, cause: string): void {
    const key = `${service} ${cause}`;
    incrementCount(this.#attempts, key, () => ({ service, cause }));
  }

  /** Counts a call at a gate whose backend server names a limit, by outcome. */
  countLimitedCall(service: string, outcome: string): void {
    const key = `${service} ${outcome}`;
    incrementCount(this.#limitedCalls, key, () => ({ service, outcome }));
  }

  /** Counts an end of the backend server, by what showed it. */
  countBackendEnd(service: string, evidence: string): void {
    const key = `${service} ${evidence}`;
    incrementCount(this.#backendEnds, key, () => ({ service, evidence }));
  }

  /** Counts a call of a suspect at its gate, by outcome. */
  countSuspectCall(service: string, outcome: string): void {
    const key = `${service} ${outcome}`;
    incrementCount(this.#suspectCalls, key, () => ({ service, outcome }));
  }

  /** Counts an answer to a suspect at its gate, by what it proves. */
  countSuspectAnswer(service: string, proof: string): void {
    const key = `${service} ${proof}`;
    incrementCount(this.#suspectAnswers, key, () => ({ service, proof }));
  }

  /** Counts a change of the routes that a replica answered, by outcome. */
  countRoutesChange(outcome: string): void {
    incrementCount(this.#routesChanges, outcome, () => ({ outcome }));
  }

  /** Counts a read of the routes that a replica answered, by outcome. */
  countRoutesRead(outcome: string): void {
    incrementCount(this.#routesReads, outcome, () => ({ outcome }));
  }

  /** Counts a version of the routes that was put in force. */
  countRoutesVersion(): void {
    incrementCount(this.#routesVersions, "", () => ({}));
  }

  /** Records the time until the final answer of a call of a route. */
  recordDuration(route: string, durationMs: number): void {
    this.#durations.record(route, durationMs);
  }

  /** Adds a gauge that is read at each scrape. */
  addGauge(name: string, description: string, read: ReadGauge): void {
    const readValue = () => [{ value: read(), attributes: {} }];
    this.#gauges.push({ name, description, read: readValue });
  }

  /** Adds a gauge with one value for each value of a label. */
  addLabelledGauge(name: string, options: LabelledGauge): void {
    const { description, label, read } = options;
    const readValues = () =>
      read().map(([labelValue, value]) => ({
        value,
        attributes: { [label]: labelValue },
      }));
    this.#gauges.push({ name, description, read: readValues });
  }

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
      {
        name: "limited_calls",
        description: "Calls under a limit that a backend server names",
        counts: this.#limitedCalls,
      },
      {
        name: "backend_ends",
        description: "Ends of backend servers, by what showed them",
        counts: this.#backendEnds,
      },
      {
        name: "suspect_calls",
        description: "Calls suspected of ending backend servers, by outcome",
        counts: this.#suspectCalls,
      },
      {
        name: "suspect_answers",
        description: "Answers to suspects, by what they prove",
        counts: this.#suspectAnswers,
      },
      {
        name: "routes_changes",
        description: "Changes of the routes that were answered, by outcome",
        counts: this.#routesChanges,
      },
      {
        name: "routes_reads",
        description: "Reads of the routes that were answered, by outcome",
        counts: this.#routesReads,
      },
      {
        name: "routes_versions",
        description: "Versions of the routes that were put in force",
        counts: this.#routesVersions,
      },
    ], this.#durations);
  }
}

function incrementCount(
  counts: Counts,
  key: string,
  createAttributes: () => Attributes,
): void {
  const existing = counts.get(key);
  if (existing !== undefined) {
    existing.count += 1;
    return;
  }
  counts.set(key, { count: 1, attributes: createAttributes() });
}
