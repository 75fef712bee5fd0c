/** Records the events of a loop to a file, one line each. */
import { createWriteStream } from "node:fs";
import type { WriteStream } from "node:fs";
import { formatTraceLine } from "../common/trace_format.ts";
import type { TraceEvent, TraceHeader } from "../common/trace_format.ts";

/** Owns the file; lines are written in the order in which they came. */
export class TraceRecorder implements AsyncDisposable {
  readonly #stream: WriteStream;

  /** Begins a recording; a file that is there already is replaced. */
  constructor(file: string, header: TraceHeader) {
    this.#stream = createWriteStream(file);
    this.#stream.write(formatTraceLine(header));
  }

  /** Adds an event. */
  record(event: TraceEvent): void {
    this.#stream.write(formatTraceLine(event));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await new Promise<void>((resolve) => this.#stream.end(() => resolve()));
  }
}
