/**
 * Callers of a soak test of configurations, on connections opened long before.
 */
import { connect } from "node:net";
import type { Socket } from "node:net";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { Random } from "../src/base/test/seeded_random.ts";
import { HOST } from "../platform/standin/configurations.ts";
import { BACKEND_HEADER } from "../platform/standin/standin_backend.ts";
import { listAnswers } from "../standin/scripted_caller.ts";
import type { CompleteAnswer } from "../standin/scripted_caller.ts";
import { pick } from "./config_document.ts";

/** What a caller sends and how long it waits. */
export type CallKind =
  /** A whole request, with or without a body in parts. */
  | "whole"
  /** A request whose body stops before its end. */
  | "stopped body"
  /** A request whose head stops before its end. */
  | "stopped head"
  /** Nothing after an answer, on the same connection. */
  | "idle";

/** The result of one request or wait; times by the monotonic clock. */
export interface ConfigCall {
  readonly kind: CallKind;
  readonly requestId: string;
  /** Name of the node. */
  readonly node: string;
  readonly path: string;
  readonly bodyBytes: number;
  /** Start of the idle time, or when the head began to be sent. */
  readonly sentAtMs: number;
  /** When its last byte was sent. */
  readonly completeAtMs: number;
  readonly endedAtMs: number;
  /** `open`: neither an answer nor a close came in time. */
  readonly end: "answered" | "closed" | "open";
  readonly status: number | undefined;
  /** Address of the backend server that ran it. */
  readonly backend: string | undefined;
}

/** Parameters of one caller. */
export interface ConfigCallerOptions {
  readonly node: string;
  /** `host:port` of the node. */
  readonly address: string;
  readonly random: Random;
  readonly kinds: readonly CallKind[];
  readonly createId: () => string;
  readonly drawPath: (random: Random) => string;
  readonly recordCall: (call: ConfigCall) => void;
  /** Ends the waits for answers, which are not recorded then. */
  readonly signal: AbortSignal;
}

/** Longer than any time limit of a route, and the slack of its check. */
const MAX_WAIT_MS = 3_500;
/** Longer than the lower idle limits, and the slack of their check. */
const MAX_IDLE_WAIT_MS = 10_000;
const MAX_PAUSE_MS = 60;
const MAX_PART_GAP_MS = 60;
const RECONNECT_DELAY_MS = 100;
const CALLER_TIMEOUT_MS = 6_000;
const BODY_SIZES = [0, 0, 0, 500, 1_900, 2_100, 19_000, 21_000, 59_000, 61_000];
const STOPPED_BODY_BYTES = 100;

/** Makes calls one at a time, reconnecting as needed, until stopped. */
export async function makeCalls(options: ConfigCallerOptions): Promise<void> {
  const { address, random, signal } = options;
  while (!signal.aborted) {
    const socket = await openSocket(address);
    if (socket === undefined) {
      await sleep(RECONNECT_DELAY_MS);
      continue;
    }
    const close = () => socket.destroy();
    signal.addEventListener("abort", close);
    let canReuse = true;
    while (canReuse && !signal.aborted) {
      const kind = pick(random, options.kinds);
      canReuse = kind === "idle"
        ? await stayIdle(socket, options)
        : await makeCall(socket, kind, options);
      await sleep(random() * MAX_PAUSE_MS);
      canReuse &&= !socket.destroyed;
    }
    signal.removeEventListener("abort", close);
    socket.destroy();
  }
}

function openSocket(address: string): Promise<Socket | undefined> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const socket = connect(Number(port), host);
    socket.setNoDelay(true);
    socket.once("connect", () => resolve(socket));
    socket.on("error", () => {
      socket.destroy();
      resolve(undefined);
    });
    socket.on("end", () => socket.destroy());
  });
}

/** Makes one call; returns whether the connection can be used again. */
async function makeCall(
  socket: Socket,
  kind: Exclude<CallKind, "idle">,
  options: ConfigCallerOptions,
): Promise<boolean> {
  const { random } = options;
  const requestId = options.createId();
  const path = `${options.drawPath(random)}1`;
  const bodyBytes = kind === "stopped body"
    ? STOPPED_BODY_BYTES
    : pick(random, BODY_SIZES);
  const head = `POST ${path} HTTP/1.1\r\nHost: ${HOST}\r\n` +
    `Request-Id: ${requestId}\r\nDeadline-Ms: ${CALLER_TIMEOUT_MS}\r\n` +
    `Content-Length: ${bodyBytes}\r\n\r\n`;
  const body = "x".repeat(bodyBytes);
  const parts = kind === "stopped head"
    ? [head.slice(0, -2)]
    : kind === "stopped body"
    ? [head, body.slice(1)]
    : random() < 0.5
    ? [head + body]
    : [head, body.slice(0, bodyBytes / 2), body.slice(bodyBytes / 2)];
  const sentAtMs = performance.now();
  const waiting = waitForAnswer(socket, MAX_WAIT_MS);
  for (const [index, part] of parts.entries()) {
    if (index > 0) {
      await sleep(random() * MAX_PART_GAP_MS);
    }
    socket.write(part);
  }
  const completeAtMs = performance.now();
  const { answer, endedAtMs, end } = await waiting;
  record(options, {
    kind,
    requestId,
    node: options.node,
    path,
    bodyBytes,
    sentAtMs,
    completeAtMs,
    endedAtMs,
    end,
    status: answer?.status,
    backend: findHeader(answer, BACKEND_HEADER),
  });
  return end === "answered" && kind === "whole" &&
    findHeader(answer, "connection") !== "close";
}

/** Sends a request, then nothing until the connection is closed. */
async function stayIdle(
  socket: Socket,
  options: ConfigCallerOptions,
): Promise<boolean> {
  if (!await makeCall(socket, "whole", options)) {
    return false;
  }
  const sentAtMs = performance.now();
  const { endedAtMs, end } = await waitForAnswer(socket, MAX_IDLE_WAIT_MS);
  record(options, {
    kind: "idle",
    requestId: "",
    node: options.node,
    path: "",
    bodyBytes: 0,
    sentAtMs,
    completeAtMs: sentAtMs,
    endedAtMs,
    end,
    status: undefined,
    backend: undefined,
  });
  return false;
}

function record(
  { signal, recordCall }: ConfigCallerOptions,
  call: ConfigCall,
): void {
  if (!signal.aborted) {
    recordCall(call);
  }
}

interface Ending {
  readonly answer: CompleteAnswer | undefined;
  readonly endedAtMs: number;
  readonly end: ConfigCall["end"];
}

function waitForAnswer(socket: Socket, waitMs: number): Promise<Ending> {
  return new Promise((resolve) => {
    let received = "";
    const finish = (end: ConfigCall["end"]) => {
      clearTimeout(timer);
      socket.off("data", receive);
      socket.off("close", handleClose);
      const answer = listAnswers(received)[0];
      resolve({ answer, endedAtMs: performance.now(), end });
    };
    const receive = (data: Uint8Array) => {
      received += String(data);
      if (listAnswers(received).length > 0) {
        finish("answered");
      }
    };
    const handleClose = () => finish("closed");
    const timer = setTimeout(() => finish("open"), waitMs);
    socket.on("data", receive);
    socket.once("close", handleClose);
    if (socket.destroyed) {
      finish("closed");
    }
  });
}

function findHeader(
  answer: CompleteAnswer | undefined,
  name: string,
): string | undefined {
  return new RegExp(`\\r\\n${name}: *([^\\r]*)`, "i")
    .exec(answer?.head ?? "")?.[1];
}
