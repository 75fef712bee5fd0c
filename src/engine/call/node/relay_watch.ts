/** Detects relayed answers whose bytes stop coming in or going out. */
import type { ServerResponse } from "node:http";
import type { NodeEvent } from "../common/call_events.ts";

interface WatchedRelay {
  readonly response: ServerResponse;
  /** Whether bytes were received since the last check. */
  hasProgressed: boolean;
  /** Whether bytes were received since the last `AnswerQuiet`. */
  hasProgressedSinceQuiet: boolean;
  /** Whether the caller has stopped reading, as last reported. */
  isBlocked: boolean;
}

/** A relay that receives no byte between two checks is reported. */
const CHECK_INTERVAL_MS = 1_000;

/** Periodically checks the relayed answers of one node. */
export class RelayWatch implements AsyncDisposable {
  readonly #dispatch: (event: NodeEvent) => void;
  /** By attempt id. */
  readonly #relays = new Map<string, WatchedRelay>();
  readonly #timer: NodeJS.Timeout;

  constructor(dispatch: (event: NodeEvent) => void) {
    this.#dispatch = dispatch;
    this.#timer = setInterval(() => this.#checkRelays(), CHECK_INTERVAL_MS);
    this.#timer.unref();
  }

  /** Watches a relay until its response is closed. */
  add(attemptId: string, response: ServerResponse): void {
    this.#relays.set(attemptId, {
      response,
      hasProgressed: true,
      hasProgressedSinceQuiet: true,
      isBlocked: false,
    });
    response.on("close", () => this.#relays.delete(attemptId));
  }

  /** Records that bytes were received; ignores attempts that are not watched. */
  recordProgress(attemptId: string): void {
    const relay = this.#relays.get(attemptId);
    if (relay !== undefined) {
      relay.hasProgressed = true;
    }
  }

  [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.#timer);
    return Promise.resolve();
  }

  #checkRelays(): void {
    for (const [attemptId, relay] of this.#relays) {
      const { hasProgressed, response } = relay;
      const isBlocked = !hasProgressed && response.writableNeedDrain;
      relay.hasProgressedSinceQuiet ||= hasProgressed;
      relay.hasProgressed = false;
      if (isBlocked !== relay.isBlocked) {
        relay.isBlocked = isBlocked;
        this.#dispatch({ type: "AnswerBlocked", attemptId, isBlocked });
      }
      if (!hasProgressed && !isBlocked) {
        const { hasProgressedSinceQuiet: isNew } = relay;
        relay.hasProgressedSinceQuiet = false;
        this.#dispatch({ type: "AnswerQuiet", attemptId, isNew });
      }
    }
  }
}
