/** Sends calls to the local backend server and reads complete answers. */
import type { IncomingHttpHeaders } from "node:http";
import type { Socket } from "node:net";
import { buildConnector, Client, Pool } from "undici";
import type { Dispatcher } from "undici";
import { ByteCollector } from "../../../base/common/byte_collector.ts";
import { formatIpEndpoint } from "../../../base/common/ip_endpoint.ts";
import type { IpEndpoint } from "../../../base/common/ip_endpoint.ts";
import { PieceMeter } from "../../../base/common/piece_meter.ts";
import type { HeaderList } from "../../mesh/common/frames.ts";
import type { BackendExchange } from "../common/gate_call_index.ts";

/** A request to the backend server. */
export interface BackendRequest {
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly headers: HeaderList;
  /** The complete body; empty for none. */
  readonly body: Uint8Array;
}

/** Status and headers of an answer. */
export interface BackendHead {
  readonly status: number;
  /** Headers by their names in lower case. */
  readonly headers: IncomingHttpHeaders;
  /** Names and values alternately, as received. */
  readonly rawHeaders: readonly string[];
}

/** The outcome of a request. */
export type BackendResult =
  /** A complete answer. */
  | {
    readonly type: "Whole";
    readonly head: BackendHead;
    readonly body: Uint8Array;
  }
  /** `checkStart` gave a reason not to send: no byte was sent. */
  | { readonly type: "Withheld"; readonly reason: string }
  /** No connection could be opened: no byte was sent. */
  | { readonly type: "NotSent"; readonly reason: string }
  /** The answer was truncated, rejected by `checkHead`, or never arrived. */
  | { readonly type: "Broken"; readonly reason: string };

/** A request to send, its checks, and the callback for its outcome. */
export interface BackendSendOptions {
  readonly request: BackendRequest;
  /**
   * Returns the reason not to send the request, or undefined to send it.
   * Called right before the first byte is written, because the request may
   * have waited for a free connection.
   */
  readonly checkStart: () => string | undefined;
  /** Returns the reason not to read the answer, or undefined to read it. */
  readonly checkHead: (head: BackendHead) => string | undefined;
  /** Called once, unless the exchange is aborted. */
  readonly onEnd: (result: BackendResult) => void;
}

/** Keep-alive time of idle connections if the server doesn't state one. */
const DEFAULT_KEEP_ALIVE_MS = 4_000;
/** Upper bound of the keep-alive time that a server states. */
const MAX_KEEP_ALIVE_MS = 60_000;
/**
 * Connections are closed this long before the server would close them, so that
 * no request is sent while the server closes.
 */
const KEEP_ALIVE_MARGIN_MS = 1_000;
const CONNECT_TIMEOUT_MS = 1_000;
/** Calls with a larger answer fail, to bound memory. */
const MAX_ANSWER_BYTES = 16_777_216;
/**
 * Most bytes that bring an answer no further. The parser limits the fields of a
 * head to less, but neither its status line nor the extension of a chunk.
 */
const MAX_IDLE_BYTES = 65_536;
/** Longest time for which such bytes are read. */
const MAX_IDLE_MS = 1_000;

const TRUNCATED_ANSWER: BackendResult = {
  type: "Broken",
  reason: "the answer was cut",
};

/** Error codes that prove that no connection was opened. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "UND_ERR_CONNECT_TIMEOUT",
  "EHOSTUNREACH",
  "ENETUNREACH",
]);

/** Limits of a client. */
export interface BackendClientLimits {
  /** Connections at a time. */
  readonly connections: number;
  /**
   * Memory of all answers that are being read. Any of them may never end; beyond
   * this the largest one fails.
   */
  readonly maxHeldBytes: number;
}

/** Pools the connections to the backend server at one address. */
export class BackendClient implements AsyncDisposable {
  readonly address: IpEndpoint;
  readonly #pool: Pool;
  /** Answers that are awaited or read. */
  readonly #open = new Set<AnswerHandler>();
  readonly #maxHeldBytes: number;
  /** Memory that they take. */
  #heldBytes = 0;

  constructor(address: IpEndpoint, limits: BackendClientLimits) {
    this.address = address;
    this.#maxHeldBytes = limits.maxHeldBytes;
    this.#pool = new Pool(`http://${formatIpEndpoint(address)}`, {
      connections: limits.connections,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      factory: (origin, options) => new EndTrackingClient(origin, options),
      keepAliveTimeout: DEFAULT_KEEP_ALIVE_MS,
      keepAliveMaxTimeout: MAX_KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      maxResponseSize: MAX_ANSWER_BYTES,
    });
  }

  /** Sends a request as soon as a connection is free. */
  send(options: BackendSendOptions): BackendExchange {
    const handler = new AnswerHandler(options, {
      onSettled: () => this.#close(handler),
      onGrown: (bytes) => this.#addHeld(bytes),
    });
    this.#open.add(handler);
    const { method, target, headers, body } = options.request;
    const dispatchOptions: AnswerDispatchOptions = {
      answerHandler: handler,
      method: method as Dispatcher.HttpMethod,
      path: target,
      headers: headers as string[],
      body: body.length === 0 && !hasBody(method) ? null : body,
    };
    this.#pool.dispatch(dispatchOptions, handler);
    return handler;
  }

  /** Fails the answers of which bytes arrive that bring them no further. */
  checkProgress(nowMs: number): void {
    [...this.#open].forEach((handler) => handler.checkProgress(nowMs));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#pool.destroy();
  }

  #close(handler: AnswerHandler): void {
    if (this.#open.delete(handler)) {
      this.#heldBytes -= handler.heldBytes;
    }
  }

  /** Counts memory, and fails the largest of the answers if it is too much. */
  #addHeld(bytes: number): void {
    this.#heldBytes += bytes;
    if (this.#heldBytes > this.#maxHeldBytes) {
      const [largest] = [...this.#open]
        .sort((a, b) => b.heldBytes - a.heldBytes);
      largest?.break("the answers in progress take too much memory");
    }
  }
}

/** Whether requests of a method have a body, even if it is empty. */
function hasBody(method: string): boolean {
  return method === "POST" || method === "PUT" || method === "PATCH";
}

/**
 * Dispatch options that carry the answer handler. The pool wraps the handler,
 * so that a client's `dispatch` receives the wrapper as its argument.
 */
interface AnswerDispatchOptions extends Dispatcher.DispatchOptions {
  readonly answerHandler?: AnswerHandler;
}

/** What has been observed of the end of a connection. */
interface ConnectionEndState {
  /** Whether the server's orderly end (FIN) was read. */
  isEndReceived: boolean;
  /** Whether the connection was reset or failed otherwise. */
  isFailed: boolean;
  /** Undefined before the connection is open. */
  socket: Socket | undefined;
}

/**
 * Returns whether a connection that seems to have ended in order was reset. A
 * reset right after the last bytes reaches Node as an orderly end, because
 * libuv treats a hang-up after a short read as one. A write fails if the connection
 * was reset, and succeeds if it was closed in order. Servers ignore the empty
 * line that is written (RFC 9112, 2.2).
 */
function probeReset(socket: Socket): Promise<boolean> {
  return new Promise((resolve) => {
    socket.write("\r\n", (error) => {
      resolve(error !== null && error !== undefined);
    });
  });
}

/**
 * A connection whose end is observed before undici handles it. Undici reports
 * an answer with `Connection: close` as complete if the connection is reset or
 * ends between its chunks; such an answer must fail instead.
 */
class EndTrackingClient extends Client {
  readonly #connectionEnd: ConnectionEndState;

  constructor(origin: string | URL, options: object) {
    const connectionEnd = createConnectionEndState();
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
    super(origin, {
      ...options,
      connect: (target, callback) => {
        connect(target, (...result) => {
          const [error, socket] = result;
          if (error === null) {
            trackConnectionEnd(socket, connectionEnd);
          }
          callback(...result);
        });
      },
    });
    this.#connectionEnd = connectionEnd;
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    const { answerHandler } = options as AnswerDispatchOptions;
    if (answerHandler !== undefined) {
      answerHandler.connectionEnd = this.#connectionEnd;
    }
    return super.dispatch(options, handler);
  }
}

function createConnectionEndState(): ConnectionEndState {
  return { isEndReceived: false, isFailed: false, socket: undefined };
}

/**
 * Records the end of a connection. Called before undici adds its own listeners,
 * so that the ones added here run first.
 */
function trackConnectionEnd(socket: Socket, state: ConnectionEndState): void {
  Object.assign(state, createConnectionEndState(), { socket });
  socket.on("end", () => {
    state.isEndReceived = true;
  });
  socket.on("error", () => {
    state.isFailed = true;
  });
}

/** What the client of an answer is told. */
interface AnswerEvents {
  /** The outcome is known, or the exchange was aborted. */
  readonly onSettled: () => void;
  /** The answer takes more memory than before, by so many bytes. */
  readonly onGrown: (bytes: number) => void;
}

/** Reads one answer, and reports the outcome once. */
class AnswerHandler implements Dispatcher.DispatchHandler, BackendExchange {
  connectionEnd = createConnectionEndState();
  readonly #options: BackendSendOptions;
  readonly #events: AnswerEvents;
  readonly #body = new ByteCollector();
  readonly #pieces = new PieceMeter(() => performance.now());
  #controller: Dispatcher.DispatchController | undefined;
  #head: BackendHead | undefined;
  #isSettled = false;
  #isAborted = false;
  #hasStartedSending = false;
  #hasSentAll = true;
  /** Bytes received on the connection when the answer last came further. */
  #bytesBefore = 0;
  /** When bytes were first seen since then; undefined before. */
  #idleSinceMs: number | undefined;

  constructor(options: BackendSendOptions, events: AnswerEvents) {
    this.#options = options;
    this.#events = events;
  }

  /** Memory that the body takes, in bytes. */
  get heldBytes(): number {
    return this.#body.heldBytes;
  }

  get hasStartedSending(): boolean {
    return this.#hasStartedSending;
  }

  get hasSentAll(): boolean {
    return this.#hasSentAll;
  }

  /** Fails the answer, and closes its connection. */
  break(reason: string): void {
    this.#settle({ type: "Broken", reason });
    this.#controller?.abort(new Error(reason));
  }

  /** Fails the answer if bytes arrive that bring it no further. */
  checkProgress(nowMs: number): void {
    const bytes = (this.connectionEnd.socket?.bytesRead ?? 0) -
      this.#bytesBefore;
    if (!this.#hasStartedSending || this.#isSettled || bytes <= 0) {
      return;
    }
    this.#idleSinceMs ??= nowMs;
    if (bytes > MAX_IDLE_BYTES || nowMs - this.#idleSinceMs > MAX_IDLE_MS) {
      const part = this.#head === undefined ? "head" : "body";
      this.break(`${bytes} bytes brought the ${part} of an answer no further`);
    }
  }

  abort(): void {
    this.#isAborted = true;
    this.#isSettled = true;
    this.#events.onSettled();
    this.#controller?.abort(
      new Error("Exchange with the backend server aborted"),
    );
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    const reason = this.#isAborted
      ? "exchange aborted before it was sent"
      : this.#options.checkStart();
    if (reason === undefined) {
      this.#hasStartedSending = true;
      this.#recordProgress();
    } else {
      this.#settle({ type: "Withheld", reason });
      controller.abort(new Error(reason));
    }
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    this.#recordProgress();
    if (status < 200) {
      if (!this.#pieces.add(0)) {
        this.break("too many interim answers");
      }
      return;
    }
    const rawHeaders = readRawHeaders(controller);
    this.#head = { status, headers, rawHeaders };
    const reason = this.#options.checkHead(this.#head);
    if (reason !== undefined) {
      controller.abort(new Error(reason));
    }
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.#isSettled) {
      return;
    }
    if (!this.#pieces.add(chunk.length)) {
      this.break("the answer comes in too many small pieces");
      return;
    }
    const before = this.#body.heldBytes;
    this.#body.add(chunk);
    this.#recordProgress();
    const growth = this.#body.heldBytes - before;
    if (growth > 0) {
      this.#events.onGrown(growth);
    }
  }

  onResponseEnd(): void {
    const body = this.#body.join();
    const head = this.#head!;
    const { isFailed, isEndReceived, socket } = this.connectionEnd;
    const wholeAnswer = { type: "Whole", head, body } as const;
    this.#hasSentAll = (socket?.writableLength ?? 0) === 0;
    if (!this.#hasSentAll) {
      // Undici takes a body in memory for sent, and would write the next request
      // behind the rest of it, where the server may never read it.
      socket?.destroy();
    }
    if (isFailed || (isEndReceived && isChunked(head))) {
      this.#settle(TRUNCATED_ANSWER);
    } else if (isEndReceived && !hasLength(head) && socket !== undefined) {
      probeReset(socket).then((isReset) =>
        this.#settle(isReset ? TRUNCATED_ANSWER : wholeAnswer)
      );
    } else {
      this.#settle(wholeAnswer);
    }
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    const code = (error as NodeJS.ErrnoException).code ?? "";
    const reason = code === "" ? error.message : code;
    const type = NOT_SENT_CODES.has(code) ? "NotSent" : "Broken";
    this.#settle({ type, reason });
  }

  /** Records that a head, an interim one, or a part of the body arrived. */
  #recordProgress(): void {
    this.#bytesBefore = this.connectionEnd.socket?.bytesRead ?? 0;
    this.#idleSinceMs = undefined;
  }

  #settle(result: BackendResult): void {
    if (!this.#isSettled) {
      this.#isSettled = true;
      this.#events.onSettled();
      this.#options.onEnd(result);
    }
  }
}

function hasLength({ headers }: BackendHead): boolean {
  return headers["content-length"] !== undefined;
}

/** Whether the last chunk, rather than the connection's end, ends the body. */
function isChunked({ headers }: BackendHead): boolean {
  return headers["transfer-encoding"] !== undefined;
}

/** Returns names and values as received, decoded as Latin-1. */
function readRawHeaders(
  controller: Dispatcher.DispatchController,
): readonly string[] {
  const raw = (controller.rawHeaders ?? []) as readonly (Buffer | string)[];
  return raw.map((part) =>
    typeof part === "string" ? part : part.toString("latin1")
  );
}
