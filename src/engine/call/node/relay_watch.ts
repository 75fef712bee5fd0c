/** Watches relayed answers for bytes that stop coming or going. */
import type { ServerResponse } from "node:http";
import type { NodeEvent } from "../common/call_events.ts";

interface WatchedRelay {
  readonly response: ServerResponse;
  isMoved: boolean;
  isNew: boolean;
  isBlocked: boolean;
}

/** A relay without a byte between two checks is looked at. */
const CHECK_MS = 1_000;

/** Owns the check of one node's relays. */
export class RelayWatch implements AsyncDisposable {
  readonly #dispatch: (event: NodeEvent) => void;
  readonly #relays = new Map<string, WatchedRelay>();
  readonly #timer: NodeJS.Timeout;

  constructor(dispatch: (event: NodeEvent) => void) {
    this.#dispatch = dispatch;
    this.#timer = setInterval(() => this.#check(), CHECK_MS);
    this.#timer.unref();
  }

  /** Watches one relay until its answer is out or broken. */
  add(attemptId: string, response: ServerResponse): void {
    this.#relays.set(attemptId, {
      response,
      isMoved: true,
      isNew: true,
      isBlocked: false,
    });
    response.on("close", () => this.#relays.delete(attemptId));
  }

  /** Notes that bytes of an answer came; one that isn't relayed is unknown. */
  noteMove(attemptId: string): void {
    const relay = this.#relays.get(attemptId);
    if (relay !== undefined) {
      relay.isMoved = true;
    }
  }

  [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.#timer);
    return Promise.resolve();
  }

  #check(): void {
    for (const [attemptId, relay] of this.#relays) {
      const { isMoved, response } = relay;
      const isBlocked = !isMoved && response.writableNeedDrain;
      relay.isNew ||= isMoved;
      relay.isMoved = false;
      if (isBlocked !== relay.isBlocked) {
        relay.isBlocked = isBlocked;
        this.#dispatch({ type: "AnswerBlocked", attemptId, isBlocked });
      }
      if (!isMoved && !isBlocked) {
        const { isNew } = relay;
        relay.isNew = false;
        this.#dispatch({ type: "AnswerQuiet", attemptId, isNew });
      }
    }
  }
}
