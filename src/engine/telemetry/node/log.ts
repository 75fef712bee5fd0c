/** Structured logs: one JSON object per line, written by roarr. */
import process from "node:process";
import "./log_switch.ts";
import { logLevels, ROARR, Roarr } from "roarr";
import type { Logger, Message } from "roarr";

/** Minimum level that is written. */
export type LogLevel = "trace" | "debug" | "info" | "warn" | "error";

/** Fields of all lines of a process, and the minimum level. */
export interface LogOptions {
  readonly level: LogLevel;
  readonly role: string;
  readonly process: string;
  readonly dataCentre: string;
}

/** Lines are dropped beyond this backlog, because logging must not block. */
const MAX_UNWRITTEN_BYTES = 1_048_576;

/** Creates the logger of this process, which writes to standard output. */
export function createLog(options: LogOptions): Logger {
  const minLevel = logLevels[options.level];
  ROARR.serializeMessage = (message: Message) =>
    Number(message.context["logLevel"]) < minLevel
      ? ""
      : JSON.stringify(message);
  ROARR.write = (line) => {
    if (line !== "" && process.stdout.writableLength < MAX_UNWRITTEN_BYTES) {
      process.stdout.write(`${line}\n`);
    }
  };
  const { role, process: name, dataCentre } = options;
  return Roarr.child({ role, process: name, dataCentre });
}
