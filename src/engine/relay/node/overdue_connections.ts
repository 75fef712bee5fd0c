/** Closes callers' connections that exceed the limits in force. */
import { waitForTurn } from "../../../base/node/listener_close.ts";
import type { TimeLimits } from "../common/connection_times.ts";
import type { CallerConnection } from "./caller_connection.ts";

/** What the checks depend on. */
export interface OverdueConnectionsOptions {
  /** Returns the connections that take requests. */
  readonly listOpen: () => Iterable<CallerConnection>;
  readonly getLimits: () => TimeLimits;
  /** Called before a connection is closed for a head that is not complete. */
  readonly onLateHead: () => void;
}

/**
 * Interval of the checks, in milliseconds: each reads the byte count of every
 * connection, which costs too much for each tick.
 */
const CHECK_INTERVAL_MS = 500;

/** Checks all connections of a listener from time to time. */
export class OverdueConnections {
  readonly #options: OverdueConnectionsOptions;
  #nextCheckMs = 0;

  constructor(options: OverdueConnectionsOptions) {
    this.#options = options;
  }

  /** Checks the connections if it is time; `nowMs` is a steady clock. */
  tick(nowMs: number): void {
    if (nowMs < this.#nextCheckMs) {
      return;
    }
    this.#nextCheckMs = nowMs + CHECK_INTERVAL_MS;
    const limits = this.#options.getLimits();
    const overdue: CallerConnection[] = [];
    for (const connection of this.#options.listOpen()) {
      if (connection.checkOverdue(limits, nowMs) !== undefined) {
        overdue.push(connection);
      }
    }
    if (overdue.length > 0) {
      // What arrived while the process was busy or stopped is read first.
      waitForTurn().then(() =>
        overdue.forEach((one) => this.#closeOverdue(one, nowMs))
      );
    }
  }

  #closeOverdue(connection: CallerConnection, nowMs: number): void {
    const { getLimits, onLateHead } = this.#options;
    const phase = connection.isClosing
      ? undefined
      : connection.checkOverdue(getLimits(), nowMs);
    if (phase === "Head") {
      onLateHead();
      connection.reject(408);
    } else if (phase !== undefined) {
      connection.closeWhenIdle();
    }
  }
}
