/** Records the events of an event loop to a file, one line per event. */
import { createWriteStream } from "node:fs";
import type { WriteStream } from "node:fs";
import { formatTraceLine } from "../common/trace_format.ts";
import type { TraceEvent, TraceHeader } from "../common/trace_format.ts";

/** Writes a trace to a file that it owns; lines keep the order of the events. */
export class TraceRecorder implements AsyncDisposable {
  readonly #stream: WriteStream;

  /** Starts a recording; replaces an existing file. */
  constructor(file: string, header: TraceHeader) {
    this.#stream = createWriteStream(file);
    this.#stream.write(formatTraceLine(header));
  }

  /** Appends an event. */
  record(event: TraceEvent): void {
    this.#stream.write(formatTraceLine(event));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await new Promise<void>((resolve) => this.#stream.end(() => resolve()));
  }
}
