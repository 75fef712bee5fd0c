/** The calls before one backend server, by their links. */
import type { BodyCollector } from "../../mesh/common/body_parts.ts";
import type { CallOpened, MeshFrame } from "../../mesh/common/frames.ts";

/** Where the answer of a call goes. */
export type SendFrame = (frame: MeshFrame) => void;

/** A request at the backend server, or on its way there. */
export interface BackendExchange {
  /** Whether bytes of the request may have left. */
  readonly hasStartedSending: boolean;
  readonly abort: () => void;
}

/** A call from its arrival to its end. */
export interface GateCallState {
  readonly id: number;
  readonly opened: CallOpened;
  readonly body: BodyCollector;
  readonly deadlineMs: number;
  /** When it would have arrived, had its message been as fast as usual. */
  readonly arrivedAtMs: number;
  /** How much longer than usual its message was on its way. */
  readonly transitDelayMs: number;
  readonly send: SendFrame;
  readonly linkId: string;
  /** One that is admitted has its place, but was not handed over yet. */
  phase: "receiving" | "waiting" | "admitted" | "running";
  startedAtMs: number;
  /** At the backend server; undefined before it is handed over. */
  exchange: BackendExchange | undefined;
}

/**
 * Bytes of bodies held for the backend server at a time; calls with more are
 * refused: many large uploads at once must not exhaust the memory.
 */
const MAX_HELD_BYTES = 50_331_648;

/** Finds calls by their own number, and by the link's. */
export class GateCallIndex {
  readonly #calls = new Map<number, GateCallState>();
  /** Calls by link and their number there. */
  readonly #byLink = new Map<string, Map<number, number>>();
  #heldBytes = 0;

  /** Calls that are not ended. */
  get size(): number {
    return this.#calls.size;
  }

  /** Adds a call. */
  add(call: GateCallState): void {
    this.#calls.set(call.id, call);
    this.#heldBytes += call.opened.bodyBytes;
    const numbers = this.#byLink.get(call.linkId) ?? new Map();
    this.#byLink.set(call.linkId, numbers);
    numbers.set(call.opened.call, call.id);
  }

  /** Removes a call that has ended. */
  remove(call: GateCallState): void {
    if (this.#calls.delete(call.id)) {
      this.#heldBytes -= call.opened.bodyBytes;
    }
    this.#byLink.get(call.linkId)?.delete(call.opened.call);
  }

  /** Whether a call that was not ended has this number. */
  has(id: number): boolean {
    return this.#calls.has(id);
  }

  /** Gets a call by its own number. */
  get(id: number): GateCallState | undefined {
    return this.#calls.get(id);
  }

  /** Finds a call by its link and its number there. */
  findByLink(link: string, number: number): GateCallState | undefined {
    const id = this.#byLink.get(link)?.get(number);
    return id === undefined ? undefined : this.#calls.get(id);
  }

  /** Lists all calls. */
  list(): Iterable<GateCallState> {
    return this.#calls.values();
  }

  /** Lists the calls of a link. */
  listByLink(link: string): readonly GateCallState[] {
    const ids = [...this.#byLink.get(link)?.values() ?? []];
    return ids.flatMap((id) => this.#calls.get(id) ?? []);
  }

  /** Whether calls of a link are in progress. */
  hasCallsOfLink(link: string): boolean {
    return (this.#byLink.get(link)?.size ?? 0) > 0;
  }

  /** Forgets a link; its calls can't be found by their numbers there. */
  removeLink(link: string): void {
    this.#byLink.delete(link);
  }

  /** Whether a body is too much; one alone may be as large as allowed. */
  isOverBodyLimit(ownBytes: number): boolean {
    return this.#heldBytes > MAX_HELD_BYTES && this.#heldBytes > ownBytes;
  }
}
