/** Log, metrics and timeline of one process, behind one recorder. */
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

/** Identity of the process and its log level. */
export interface TelemetrySettings {
  readonly id: string;
  readonly role: "node" | "control";
  readonly data_centre: string;
  readonly log: { readonly level: LogLevel };
}

/** Records the events of a process in its timeline, metrics and log. */
export class Telemetry implements AsyncDisposable {
  readonly log: Logger;
  readonly metrics = new Metrics();
  readonly timeline: Timeline;
  /**
   * Whether events of single requests are logged: at levels debug and trace.
   */
  readonly #isRequestLogged: boolean;
  /**
   * Clock that this process attaches to the messages and calls that it sends.
   */
  readonly clock: ProcessClock = {
    read: () => this.timeline.clock,
    observe: (received) => this.#observeClock(received),
  };
  #hasWarnedOfClock = false;

  constructor(settings: TelemetrySettings) {
    const { id, role, data_centre: dataCentre, log } = settings;
    this.log = createLog({ level: log.level, role, process: id, dataCentre });
    this.timeline = new Timeline({ process: id, dataCentre });
    this.#isRequestLogged = log.level === "debug" || log.level === "trace";
  }

  /** Records an event in the timeline, counts it and logs it. */
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
    const isAccepted = clock === undefined ||
      this.timeline.observeClock(clock, Date.now());
    if (!isAccepted && !this.#hasWarnedOfClock) {
      this.#hasWarnedOfClock = true;
      this.log.warn({ ...clock }, "A clock far ahead of this one is ignored");
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.metrics[Symbol.asyncDispose]();
  }
}
