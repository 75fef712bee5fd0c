/** Index of the calls in progress at one backend server's node. */
import type { BodyCollector } from "../../mesh/common/body_parts.ts";
import type { CallOpened, MeshFrame } from "../../mesh/common/frames.ts";

/** Sends a frame to the node that a call came from. */
export type SendFrame = (frame: MeshFrame) => void;

/**
 * Handle of a request that was handed over for sending to the backend server.
 */
export interface BackendExchange {
  /** Whether bytes of the request may have been sent. */
  readonly hasStartedSending: boolean;
  /** Whether all of it was written when the answer ended. */
  readonly hasSentAll: boolean;
  /** Closes the exchange without waiting for the answer. */
  readonly abort: () => void;
}

/** State of a call at the gate's node, from its arrival to its end. */
export interface GateCallState {
  /** Unique within this process. */
  readonly id: number;
  readonly opened: CallOpened;
  readonly body: BodyCollector;
  readonly deadlineMs: number;
  /** When it would have arrived with the usual delay of the link. */
  readonly arrivedAtMs: number;
  /** Delay of its message beyond the usual delay of the link. */
  readonly transitDelayMs: number;
  readonly send: SendFrame;
  /** Id of the link that it came on. */
  readonly linkId: string;
  /** An `admitted` call occupies a slot, but was not handed over yet. */
  phase: "receiving" | "waiting" | "admitted" | "running";
  /** When it was handed over; 0 before. */
  startedAtMs: number;
  /** Exchange with the backend server; undefined before it is handed over. */
  exchange: BackendExchange | undefined;
}

/** Finds calls by their id, and by their link and their number there. */
export class GateCallIndex {
  readonly #calls = new Map<number, GateCallState>();
  /** Ids of calls, by link and by number on the link. */
  readonly #byLink = new Map<string, Map<number, number>>();
  readonly #maxBodyBytes: number;
  #bodyBytes = 0;

  /** `maxBodyBytes` limits the bodies of all calls, unless there is only one. */
  constructor(maxBodyBytes: number) {
    this.#maxBodyBytes = maxBodyBytes;
  }

  /** Number of calls in progress. */
  get size(): number {
    return this.#calls.size;
  }

  /** Adds a call. */
  add(call: GateCallState): void {
    this.#calls.set(call.id, call);
    this.#bodyBytes += call.opened.bodyBytes;
    const idsByNumber = this.#byLink.get(call.linkId) ?? new Map();
    this.#byLink.set(call.linkId, idsByNumber);
    idsByNumber.set(call.opened.call, call.id);
  }

  /** Removes a call that has ended. */
  remove(call: GateCallState): void {
    if (this.#calls.delete(call.id)) {
      this.#bodyBytes -= call.opened.bodyBytes;
    }
    this.#byLink.get(call.linkId)?.delete(call.opened.call);
  }

  /** Whether a call in progress has this id. */
  has(id: number): boolean {
    return this.#calls.has(id);
  }

  /** Gets a call by its id. */
  get(id: number): GateCallState | undefined {
    return this.#calls.get(id);
  }

  /** Finds a call by its link and its number on it. */
  findByLink(linkId: string, number: number): GateCallState | undefined {
    const id = this.#byLink.get(linkId)?.get(number);
    return id === undefined ? undefined : this.#calls.get(id);
  }

  /** Lists all calls in progress. */
  list(): Iterable<GateCallState> {
    return this.#calls.values();
  }

  /** Lists the calls in progress of a link. */
  listByLink(linkId: string): readonly GateCallState[] {
    const ids = [...this.#byLink.get(linkId)?.values() ?? []];
    return ids.flatMap((id) => this.#calls.get(id) ?? []);
  }

  /** Whether calls of a link are in progress. */
  hasCallsOfLink(linkId: string): boolean {
    return (this.#byLink.get(linkId)?.size ?? 0) > 0;
  }

  /** Removes a link; its calls are no longer found by their numbers on it. */
  removeLink(linkId: string): void {
    this.#byLink.delete(linkId);
  }

  /**
   * Whether the bodies exceed the limit, after a call with `ownBytes` was
   * added. A single body may be larger.
   */
  isOverBodyLimit(ownBytes: number): boolean {
    return this.#bodyBytes > this.#maxBodyBytes && this.#bodyBytes > ownBytes;
  }
}
