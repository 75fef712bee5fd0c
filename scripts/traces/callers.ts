/** Callers of a node, and what they saw of their calls. */
import { request } from "undici";
import { OUTCOME_HEADER } from "../../src/engine/call/common/call_context.ts";

/** One call to make. */
export interface CallOptions {
  readonly method?: "GET" | "POST";
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Leaves without an answer after so long, in milliseconds. */
  readonly leaveAfterMs?: number;
}

/** What a caller saw of its call. */
export interface ObservedCall {
  /** Method, path and key; calls that share them are made in turn. */
  readonly name: string;
  /** Status and outcome, then `0 dropped` where the answer was cut. */
  readonly seen: readonly string[];
  /** Whether the caller left before it had an answer. */
  readonly hasLeft: boolean;
}

/** Names a call by what both its caller and a recording know of it. */
export function formatCallName(
  call: { readonly method: string; readonly path: string },
  key: string | undefined,
): string {
  const line = `${call.method} ${call.path}`;
  return key === undefined ? line : `${line} ${key}`;
}

/** Makes calls at the edge of one node and keeps what came of them. */
export class Callers {
  readonly #edge: string;
  readonly #observed: ObservedCall[] = [];

  constructor(edge: string) {
    this.#edge = edge;
  }

  /** What was seen so far. */
  get observed(): readonly ObservedCall[] {
    return this.#observed;
  }

  /** Makes one call; resolves once it ended, with what its caller saw. */
  async call(options: CallOptions): Promise<readonly string[]> {
    const { method = "GET", path, headers = {}, leaveAfterMs } = options;
    const name = formatCallName({ method, path }, headers["idempotency-key"]);
    const signal = leaveAfterMs === undefined
      ? null
      : AbortSignal.timeout(leaveAfterMs);
    const seen: string[] = [];
    let hasLeft = false;
    try {
      const answer = await request(`http://${this.#edge}${path}`, {
        method,
        headers,
        signal,
        body: method === "POST" ? "{}" : null,
      });
      seen.push(`${answer.statusCode} ${answer.headers[OUTCOME_HEADER] ?? ""}`);
      await answer.body.arrayBuffer();
    } catch {
      hasLeft = signal?.aborted === true;
      seen.push(...(hasLeft ? [] : ["0 dropped"]));
    }
    this.#observed.push({ name, seen, hasLeft });
    return seen;
  }

  /** Makes calls to `path-0` and on, all at once. */
  async callMany(count: number, path: string): Promise<void> {
    const paths = Array.from({ length: count }, (_, i) => `${path}-${i}`);
    await Promise.all(paths.map((each) => this.call({ path: each })));
  }
}
