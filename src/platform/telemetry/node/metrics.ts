/** OpenTelemetry metrics, read by a Prometheus scrape. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Attributes } from "@opentelemetry/api";
import { PrometheusExporter } from "@opentelemetry/exporter-prometheus";
import { MeterProvider } from "@opentelemetry/sdk-metrics";
import type { TimelineEvent } from "../common/timeline_event.ts";

/** Reads the present value of a gauge. */
export type ReadGauge = () => number;

/** A running count of one set of attributes. */
interface Count {
  count: number;
  readonly attributes: Attributes;
}

/** Counts by a text of their attributes. */
type Counts = Map<string, Count>;

/** The meters of one process. */
export class Metrics implements AsyncDisposable {
  readonly #exporter = new PrometheusExporter({
    preventServerStart: true,
    withoutTargetInfo: true,
  });
  readonly #provider = new MeterProvider({ readers: [this.#exporter] });
  readonly #meter = this.#provider.getMeter("basilpin");
  readonly #events: Counts = new Map();
  readonly #calls: Counts = new Map();
  readonly #refusals: Counts = new Map();

  constructor() {
    this.#createCounter("events", {
      description: "Events of the time line by type",
      counts: this.#events,
    });
    this.#createCounter("calls", {
      description: "Calls that ended at the node where they entered",
      counts: this.#calls,
    });
    this.#createCounter("refusals", {
      description: "Requests that were not run, by importance and reason",
      counts: this.#refusals,
    });
  }

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

  /** Adds a gauge that is read at each scrape. */
  createGauge(name: string, description: string, read: ReadGauge): void {
    this.#meter.createObservableGauge(`basilpin_${name}`, { description })
      .addCallback((result) => result.observe(read()));
  }

  /** Answers a scrape. */
  answerScrape(request: IncomingMessage, response: ServerResponse): void {
    this.#exporter.getMetricsRequestHandler(request, response);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#provider.shutdown();
  }

  /** Counts stand in plain fields; a scrape reads them. */
  #createCounter(
    name: string,
    options: { readonly description: string; readonly counts: Counts },
  ): void {
    const { description, counts } = options;
    this.#meter.createObservableCounter(`basilpin_${name}`, { description })
      .addCallback((result) => {
        for (const { count, attributes } of counts.values()) {
          result.observe(count, attributes);
        }
      });
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
