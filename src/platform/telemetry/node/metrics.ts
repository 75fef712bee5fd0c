/** OpenTelemetry metrics, read by a Prometheus scrape. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Counter } from "@opentelemetry/api";
import { PrometheusExporter } from "@opentelemetry/exporter-prometheus";
import { MeterProvider } from "@opentelemetry/sdk-metrics";
import type { TimelineEvent } from "../common/timeline_event.ts";

/** Reads the present value of a gauge. */
export type ReadGauge = () => number;

/** The meters of one process. */
export class Metrics implements AsyncDisposable {
  readonly #exporter = new PrometheusExporter({
    preventServerStart: true,
    withoutTargetInfo: true,
  });
  readonly #provider = new MeterProvider({ readers: [this.#exporter] });
  readonly #meter = this.#provider.getMeter("basilpin");
  readonly #events: Counter = this.#meter.createCounter("basilpin_events", {
    description: "Events of the time line by type",
  });
  readonly #calls: Counter = this.#meter.createCounter("basilpin_calls", {
    description: "Calls that ended at the node where they entered",
  });
  readonly #refusals: Counter = this.#meter.createCounter(
    "basilpin_refusals",
    { description: "Requests that were not run, by importance and reason" },
  );

  /** Counts an event of the time line. */
  countEvent(event: TimelineEvent): void {
    this.#events.add(1, { type: event.type });
    if (event.type === "CallEnded") {
      const { kind, outcome, status } = event;
      this.#calls.add(1, { kind, outcome, status });
    }
    if (event.type === "AttemptRefused" || event.type === "CallRefused") {
      const { kind, importance, reason } = event;
      this.#refusals.add(1, { kind, importance, reason });
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
}
