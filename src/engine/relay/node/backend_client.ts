/** Sends calls to the local backend server, and reads its answers whole. */
import type { IncomingHttpHeaders } from "node:http";
import type { Socket } from "node:net";
import { buildConnector, Client, Pool } from "undici";
import type { Dispatcher } from "undici";
import type { HeaderList } from "../../mesh/common/frames.ts";
import type { BackendExchange } from "../common/gate_call_index.ts";

/** One request to the backend server. */
export interface BackendRequest {
  readonly method: string;
  readonly target: string;
  readonly headers: HeaderList;
  readonly body: Uint8Array;
}

/** The head of an answer. */
export interface BackendHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly rawHeaders: readonly string[];
}

/** How a request ended. */
export type BackendResult =
  | {
    readonly type: "Whole";
    readonly head: BackendHead;
    readonly body: Uint8Array;
  }
  /** `checkStart` said so: nothing was sent. */
  | { readonly type: "Withheld"; readonly reason: string }
  /** The connection could not be made: nothing was sent. */
  | { readonly type: "NotSent"; readonly reason: string }
  /** The answer was cut, refused by `acceptHead`, or never came. */
  | { readonly type: "Broken"; readonly reason: string };

/** What a request is sent with. */
export interface BackendSend {
  readonly request: BackendRequest;
  /**
   * Says why the request is not sent after all; undefined to send it. Asked
   * right before its first byte, as it may have waited for a connection.
   */
  readonly checkStart: () => string | undefined;
  /** Says why an answer with this head is not read; undefined to read it. */
  readonly checkHead: (head: BackendHead) => string | undefined;
  readonly onEnd: (result: BackendResult) => void;
}

/** Idle connections are kept for so long where the server doesn't say. */
const IDLE_MS = 4_000;
/** Longest that a server may have them kept, by its `Keep-Alive`. */
const MAX_IDLE_MS = 60_000;
/** Closed so long before the server would: a request must not cross that. */
const IDLE_MARGIN_MS = 1_000;
const CONNECT_MS = 1_000;
/** Larger answers are not held; the call fails. */
const MAX_ANSWER_BYTES = 16_777_216;

const CUT: BackendResult = { type: "Broken", reason: "the answer was cut" };

const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "UND_ERR_CONNECT_TIMEOUT",
  "EHOSTUNREACH",
  "ENETUNREACH",
]);

/** Keeps connections to one address. */
export class BackendClient implements AsyncDisposable {
  readonly address: string;
  readonly #pool: Pool;

  constructor(address: string, connections: number) {
    this.address = address;
    this.#pool = new Pool(`http://${address}`, {
      connections,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      factory: (origin, options) => new WatchedClient(origin, options),
      keepAliveTimeout: IDLE_MS,
      keepAliveMaxTimeout: MAX_IDLE_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      maxResponseSize: MAX_ANSWER_BYTES,
    });
  }

  /** Sends a request, once a connection is free. */
  send(send: BackendSend): BackendExchange {
    const handler = new AnswerHandler(send);
    const { method, target, headers, body } = send.request;
    const options: CollectedOptions = {
      collector: handler,
      method: method as Dispatcher.HttpMethod,
      path: target,
      headers: headers as string[],
      body: body.length === 0 && !hasBody(method) ? null : body,
    };
    this.#pool.dispatch(options, handler);
    return handler;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#pool.destroy();
  }
}

function hasBody(method: string): boolean {
  return method === "POST" || method === "PUT" || method === "PATCH";
}

/** The pool wraps handlers; the one that collects is found by the options. */
interface CollectedOptions extends Dispatcher.DispatchOptions {
  readonly collector?: AnswerHandler;
}

/** How a connection ended, if it did. */
interface ConnectionEnd {
  /** The other end finished in good order. */
  isFinished: boolean;
  /** It was reset, or failed otherwise. */
  isBroken: boolean;
  socket: Socket | undefined;
}

/**
 * Asks the kernel whether a connection whose end was read was in truth reset:
 * a reset right behind the last bytes reaches Node as an orderly end (libuv
 * takes a hang-up after a short read for one). A write to a connection that was
 * reset fails; to one that ended it doesn't. Servers pass over the empty line
 * (RFC 9112, 2.2).
 */
function probeReset(socket: Socket): Promise<boolean> {
  return new Promise((resolve) => {
    socket.write("\r\n", (error) => {
      resolve(error !== null && error !== undefined);
    });
  });
}

/**
 * One connection whose end is seen before undici sees it. Undici takes an
 * answer with `Connection: close` for whole when its connection is reset, or
 * ends amid its chunks; such an answer must fail.
 */
class WatchedClient extends Client {
  readonly #end: ConnectionEnd;

  constructor(origin: string | URL, options: object) {
    const end = createConnectionEnd();
    const connect = buildConnector({ timeout: CONNECT_MS });
    super(origin, {
      ...options,
      connect: (target, callback) => {
        connect(target, (...result) => {
          const [error, socket] = result;
          if (error === null) {
            watchEnd(socket, end);
          }
          callback(...result);
        });
      },
    });
    this.#end = end;
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    const { collector } = options as CollectedOptions;
    if (collector !== undefined) {
      collector.connection = this.#end;
    }
    return super.dispatch(options, handler);
  }
}

function createConnectionEnd(): ConnectionEnd {
  return { isFinished: false, isBroken: false, socket: undefined };
}

/** Listeners that are added first are called first. */
function watchEnd(socket: Socket, end: ConnectionEnd): void {
  Object.assign(end, createConnectionEnd(), { socket });
  socket.on("end", () => {
    end.isFinished = true;
  });
  socket.on("error", () => {
    end.isBroken = true;
  });
}

/** Collects one answer. */
class AnswerHandler implements Dispatcher.DispatchHandler, BackendExchange {
  connection = createConnectionEnd();
  readonly #send: BackendSend;
  readonly #chunks: Uint8Array[] = [];
  #controller: Dispatcher.DispatchController | undefined;
  #head: BackendHead | undefined;
  #isEnded = false;
  #isAborted = false;
  #hasBegun = false;

  constructor(send: BackendSend) {
    this.#send = send;
  }

  get hasStartedSending(): boolean {
    return this.#hasBegun;
  }

  abort(): void {
    this.#isAborted = true;
    this.#isEnded = true;
    this.#controller?.abort(new Error("Broken off"));
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    const reason = this.#isAborted ? "Broken off" : this.#send.checkStart();
    if (reason === undefined) {
      this.#hasBegun = true;
    } else {
      this.#end({ type: "Withheld", reason });
      controller.abort(new Error(reason));
    }
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (status < 200) {
      return;
    }
    const rawHeaders = readRawHeaders(controller);
    this.#head = { status, headers, rawHeaders };
    const reason = this.#send.checkHead(this.#head);
    if (reason !== undefined) {
      controller.abort(new Error(reason));
    }
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.#chunks.push(chunk);
  }

  onResponseEnd(): void {
    const body = this.#chunks.length === 1
      ? this.#chunks[0]!
      : Buffer.concat(this.#chunks);
    const head = this.#head!;
    const { isBroken, isFinished, socket } = this.connection;
    const whole = { type: "Whole", head, body } as const;
    if (isBroken || (isFinished && isChunked(head))) {
      this.#end(CUT);
    } else if (isFinished && !hasLength(head) && socket !== undefined) {
      probeReset(socket).then((isReset) => this.#end(isReset ? CUT : whole));
    } else {
      this.#end(whole);
    }
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    const code = (error as NodeJS.ErrnoException).code ?? "";
    const reason = code === "" ? error.message : code;
    const type = NOT_SENT_CODES.has(code) ? "NotSent" : "Broken";
    this.#end({ type, reason });
  }

  #end(result: BackendResult): void {
    if (!this.#isEnded) {
      this.#isEnded = true;
      this.#send.onEnd(result);
    }
  }
}

function hasLength({ headers }: BackendHead): boolean {
  return headers["content-length"] !== undefined;
}

/** A chunked answer says itself where it ends. */
function isChunked({ headers }: BackendHead): boolean {
  return headers["transfer-encoding"] !== undefined;
}

/** Names and values as they stood on the wire, in Latin-1. */
function readRawHeaders(
  controller: Dispatcher.DispatchController,
): readonly string[] {
  const raw = (controller.rawHeaders ?? []) as readonly (Buffer | string)[];
  return raw.map((part) =>
    typeof part === "string" ? part : part.toString("latin1")
  );
}
