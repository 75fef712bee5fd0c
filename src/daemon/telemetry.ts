/** Logs, metrics and the time line of one process, behind one recorder. */
import type { Logger } from "roarr";
import {
  checkClock,
  decodeClock,
} from "../engine/telemetry/common/process_clock.ts";
import type { ProcessClock } from "../engine/telemetry/common/process_clock.ts";
import { Timeline } from "../engine/telemetry/common/timeline.ts";
import type { TimelineEvent } from "../engine/telemetry/common/timeline_event.ts";
import { createLog } from "../engine/telemetry/node/log.ts";
import { Metrics } from "../engine/telemetry/node/metrics.ts";
import type { LogLevel } from "../engine/telemetry/node/log.ts";

/** Whose telemetry it is. */
export interface TelemetrySettings {
  readonly id: string;
  readonly role: "node" | "control";
  readonly data_centre: string;
  readonly log: { readonly level: LogLevel };
}

/** What a process tells of itself. */
export class Telemetry implements AsyncDisposable {
  readonly log: Logger;
  readonly metrics = new Metrics();
  readonly timeline: Timeline;
  /** A line for each request is built only where it is written. */
  readonly #isRequestLogged: boolean;
  /** Rides on what this process sends. */
  readonly clock: ProcessClock = {
    read: () => this.timeline.clock,
    observe: (received) => this.#observeClock(received),
  };
  #hasWarned = false;

  constructor(settings: TelemetrySettings) {
    const { id, role, data_centre: dataCentre, log } = settings;
    this.log = createLog({ level: log.level, role, process: id, dataCentre });
    this.timeline = new Timeline({ process: id, dataCentre });
    this.#isRequestLogged = log.level === "debug" || log.level === "trace";
  }

  /** Keeps, counts and logs an event. */
  record(event: TimelineEvent): void {
    this.timeline.record(event, Date.now());
    this.metrics.countEvent(event);
    const { type, ...context } = event;
    if (!("requestId" in event)) {
      this.log.info(context, type);
    } else if (this.#isRequestLogged) {
      this.log.debug(context, type);
    }
  }

  #observeClock(received: unknown): void {
    const clock = decodeClock(received) ?? checkClock(received);
    const isBelieved = clock === undefined ||
      this.timeline.observeClock(clock, Date.now());
    if (!isBelieved && !this.#hasWarned) {
      this.#hasWarned = true;
      this.log.warn({ ...clock }, "A clock far ahead of this one is ignored");
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.metrics[Symbol.asyncDispose]();
  }
}
