/** Export of the metrics to Prometheus, by OpenTelemetry. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { PrometheusExporter } from "@opentelemetry/exporter-prometheus";
import { MeterProvider } from "@opentelemetry/sdk-metrics";
import type { DurationBuckets } from "../common/duration_buckets.ts";
import type { Counter, Gauge } from "./metrics.ts";

/** Exports counters, durations and gauges; reads them at each scrape. */
export class MetricsReader implements AsyncDisposable {
  readonly #exporter = new PrometheusExporter({
    preventServerStart: true,
    withoutTargetInfo: true,
  });
  readonly #provider = new MeterProvider({ readers: [this.#exporter] });

  constructor(
    gauges: readonly Gauge[],
    counters: readonly Counter[],
    durations: DurationBuckets,
  ) {
    const meter = this.#provider.getMeter("basilpin");
    for (const { name, description, counts } of counters) {
      meter.createObservableCounter(`basilpin_${name}`, { description })
        .addCallback((result) => {
          for (const { count, attributes } of counts.values()) {
            result.observe(count, attributes);
          }
        });
    }
    meter.createObservableCounter("basilpin_call_duration_ms_bucket", {
      description: "Calls that took at most `le` ms until their final answer",
    }).addCallback((result) => {
      for (const [route, le, count] of durations.list()) {
        result.observe(count, { route, le });
      }
    });
    for (const { name, description, read } of gauges) {
      meter.createObservableGauge(`basilpin_${name}`, { description })
        .addCallback((result) => {
          for (const { value, attributes } of read()) {
            result.observe(value, attributes);
          }
        });
    }
  }

  answerScrape(request: IncomingMessage, response: ServerResponse): void {
    this.#exporter.getMetricsRequestHandler(request, response);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#provider.shutdown();
  }
}
