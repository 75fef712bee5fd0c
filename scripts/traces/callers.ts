/** Makes calls to a node and records the answers that the callers receive. */
import { request } from "undici";
import { OUTCOME_HEADER } from "../../src/engine/call/common/call_context.ts";

/** One call to make. */
export interface CallOptions {
  readonly method?: "GET" | "POST";
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Time after which the caller disconnects; undefined waits for the answer. */
  readonly disconnectAfterMs?: number;
}

/** The outcome of a call as its caller observed it. */
export interface ObservedCall {
  /** Method, path and key; calls of the same name are made one after another. */
  readonly name: string;
  /**
   * Status and outcome of the answer, if any, then `0 dropped` if the
   * connection failed before its end.
   */
  readonly answers: readonly string[];
  /** Whether the caller disconnected before the end of the answer. */
  readonly hasDisconnected: boolean;
}

/** Formats a name from the fields that both the caller and a trace have. */
export function formatCallName(
  call: { readonly method: string; readonly path: string },
  key: string | undefined,
): string {
  const line = `${call.method} ${call.path}`;
  return key === undefined ? line : `${line} ${key}`;
}

/** Makes calls to the edge listener of one node and keeps their outcomes. */
export class Callers {
  readonly #edge: string;
  readonly #observed: ObservedCall[] = [];

  constructor(edge: string) {
    this.#edge = edge;
  }

  /** Outcomes of the calls that have ended, in the order of their ends. */
  get observed(): readonly ObservedCall[] {
    return this.#observed;
  }

  /** Makes one call; resolves with its answers once it has ended. */
  async call(options: CallOptions): Promise<readonly string[]> {
    const { method = "GET", path, headers = {}, disconnectAfterMs } = options;
    const name = formatCallName({ method, path }, headers["idempotency-key"]);
    const signal = disconnectAfterMs === undefined
      ? null
      : AbortSignal.timeout(disconnectAfterMs);
    const answers: string[] = [];
    let hasDisconnected = false;
    try {
      const response = await request(`http://${this.#edge}${path}`, {
        method,
        headers,
        signal,
        body: method === "POST" ? "{}" : null,
      });
      answers.push(
        `${response.statusCode} ${response.headers[OUTCOME_HEADER] ?? ""}`,
      );
      await response.body.arrayBuffer();
    } catch {
      hasDisconnected = signal?.aborted === true;
      answers.push(...(hasDisconnected ? [] : ["0 dropped"]));
    }
    this.#observed.push({ name, answers, hasDisconnected });
    return answers;
  }

  /** Makes `count` concurrent calls, to `path-0`, `path-1` and so on. */
  async callMany(count: number, path: string): Promise<void> {
    const paths = Array.from({ length: count }, (_, i) => `${path}-${i}`);
    await Promise.all(paths.map((each) => this.call({ path: each })));
  }
}
