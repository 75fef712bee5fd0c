/** Structured logs: one JSON object a line, by roarr. */
import process from "node:process";
import "./log_switch.ts";
import { logLevels, ROARR, Roarr } from "roarr";
import type { Logger, Message } from "roarr";

/** Least level that is written. */
export type LogLevel = "trace" | "debug" | "info" | "warn" | "error";

/** What every line of a process carries. */
export interface LogOptions {
  readonly level: LogLevel;
  readonly role: string;
  readonly process: string;
  readonly dataCentre: string;
}

/** Lines beyond this many unwritten bytes are dropped: none may block. */
const MAX_UNWRITTEN_BYTES = 1_048_576;

/** Creates the log of this process; lines go to standard output. */
export function createLog(options: LogOptions): Logger {
  const least = logLevels[options.level];
  ROARR.serializeMessage = (message: Message) =>
    Number(message.context["logLevel"]) < least ? "" : JSON.stringify(message);
  ROARR.write = (line) => {
    if (line !== "" && process.stdout.writableLength < MAX_UNWRITTEN_BYTES) {
      process.stdout.write(`${line}\n`);
    }
  };
  const { role, process: name, dataCentre } = options;
  return Roarr.child({ role, process: name, dataCentre });
}
