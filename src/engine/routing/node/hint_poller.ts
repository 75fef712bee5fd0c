/** Polls the platform's health and load endpoints of the local backend server. */
import { Agent } from "undici";
import type { HintReceived } from "../common/load_hint.ts";

/** Options of a hint poller. */
export interface HintPollerOptions {
  /** `host:port` of the backend server. */
  readonly address: string;
  /** Path that answers 2xx while the backend server is healthy. */
  readonly healthPath: string | undefined;
  /** Path that answers JSON with `load`, from 0 (idle) to 1 (full). */
  readonly loadPath: string | undefined;
  /** Called after each poll, also when neither endpoint answered. */
  readonly onHint: (hint: HintReceived) => void;
}

/** Upper bound of the poller's open connections: one for each path. */
export const MAX_HINT_CONNECTIONS = 2;
const POLL_INTERVAL_MS = 1_000;
/** Time limit of one request; shorter than the interval. */
const POLL_TIMEOUT_MS = 500;
const MAX_ANSWER_BYTES = 4_096;

/** Polls one backend server until disposed. */
export class HintPoller implements AsyncDisposable {
  readonly #options: HintPollerOptions;
  /**
   * Without pipelining, each connection is closed after one answer. The answers
   * have no id, so that an extra one on a connection that is used again would
   * be taken for the answer to the next poll.
   */
  readonly #agent = new Agent({
    connections: MAX_HINT_CONNECTIONS,
    pipelining: 0,
    maxResponseSize: MAX_ANSWER_BYTES,
  });
  #timer: NodeJS.Timeout | undefined;
  #isClosed = false;

  constructor(options: HintPollerOptions) {
    this.#options = options;
  }

  /** Starts polling; the interval begins when the previous poll has ended. */
  start(): void {
    this.#timer = setTimeout(async () => {
      await this.#poll();
      if (!this.#isClosed) {
        this.start();
      }
    }, POLL_INTERVAL_MS);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#isClosed = true;
    clearTimeout(this.#timer);
    await this.#agent.destroy();
  }

  async #poll(): Promise<void> {
    const { healthPath, loadPath, onHint } = this.#options;
    const [health, load] = await Promise.all([
      this.#fetch(healthPath),
      this.#fetch(loadPath),
    ]);
    if (!this.#isClosed) {
      const isHealthy = health?.isSuccess;
      onHint({ type: "HintReceived", isHealthy, load: readLoad(load?.text) });
    }
  }

  async #fetch(path: string | undefined) {
    if (path === undefined) {
      return undefined;
    }
    try {
      const { statusCode, body } = await this.#agent.request({
        origin: `http://${this.#options.address}`,
        path,
        method: "GET",
        signal: AbortSignal.timeout(POLL_TIMEOUT_MS),
      });
      const text = await body.text();
      return { isSuccess: statusCode >= 200 && statusCode < 300, text };
    } catch {
      return undefined;
    }
  }
}

function readLoad(text: string | undefined): number | undefined {
  try {
    const { load } = JSON.parse(text ?? "");
    return typeof load === "number" ? load : undefined;
  } catch {
    return undefined;
  }
}
