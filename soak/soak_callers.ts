/**
 * Callers of a soak test. Each sends its requests over one keep-alive
 * connection and reconnects when that is closed.
 */
import { connect } from "node:net";
import type { Socket } from "node:net";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { Random } from "../src/base/test/seeded_random.ts";
import { formatRequest } from "../platform/standin/front_and_back.ts";
import { BACKEND_HEADER } from "../platform/standin/standin_backend.ts";
import type { ObservedCall } from "../platform/standin/statement_rules.ts";

/** The result of one request, as its caller observed it. */
export interface SoakOutcome extends ObservedCall {
  /** Whether the request is on the non-idempotent route. */
  readonly isTransfer: boolean;
  /**
   * `left`: the caller closed the connection before a complete answer; `cut`:
   * the connection was closed by the other side before a complete answer.
   */
  readonly end: "answered" | "left" | "cut";
  /** HTTP status; undefined when no response header was received. */
  readonly status: number | undefined;
  /** Whether the answer has the backend server's `server-seal` header. */
  readonly hasSeal: boolean;
  readonly body: string;
}

/** Parameters of one caller. */
export interface CallerOptions {
  /** `host:port` of the entry node. */
  readonly entry: string;
  readonly random: Random;
  readonly createId: () => string;
  /** Whether the caller is to send no further request. */
  readonly isStopped: () => boolean;
  readonly recordOutcome: (outcome: SoakOutcome) => void;
}

const CALLER_TIMEOUT_MS = 900;
/** Share of requests whose caller leaves within a third of its timeout. */
const LEAVING_RATIO = 0.25;
/** Share of requests on the non-idempotent route. */
const TRANSFER_RATIO = 0.3;
const MAX_PAUSE_MS = 30;
const RECONNECT_DELAY_MS = 100;
const RESPONSE_HEAD = /^HTTP\/1\.1 (\d+)[^]*?\r\n\r\n/;

/** Sends requests one at a time, reconnecting as needed, until stopped. */
export async function callUntilStopped(options: CallerOptions): Promise<void> {
  while (!options.isStopped()) {
    const socket = await openSocket(options.entry);
    if (socket === undefined) {
      await sleep(RECONNECT_DELAY_MS);
      continue;
    }
    while (!socket.destroyed && !options.isStopped()) {
      await callOnSocket(socket, options);
      await sleep(options.random() * MAX_PAUSE_MS);
    }
    socket.destroy();
  }
}

function openSocket(entry: string): Promise<Socket | undefined> {
  const [host, port] = entry.split(":");
  return new Promise((resolve) => {
    const socket = connect(Number(port), host);
    socket.once("connect", () => resolve(socket));
    socket.once("error", () => resolve(undefined));
    socket.on("error", () => socket.destroy());
  });
}

async function callOnSocket(
  socket: Socket,
  { entry, random, createId, recordOutcome }: CallerOptions,
): Promise<void> {
  const requestId = createId();
  const isTransfer = random() < TRANSFER_RATIO;
  const isLeaving = random() < LEAVING_RATIO;
  const waitLimitMs = isLeaving
    ? random() * CALLER_TIMEOUT_MS / 3
    : 2 * CALLER_TIMEOUT_MS;
  const sentAtMs = performance.now();
  const text = formatRequest({
    requestId,
    callerTimeoutMs: CALLER_TIMEOUT_MS,
    isTransfer,
  });
  const result = await exchange(socket, text, waitLimitMs);
  const { endedAtMs, end, answer } = result;
  const head = RESPONSE_HEAD.exec(answer)?.[0] ?? "";
  recordOutcome({
    requestId,
    entry,
    isTransfer,
    sentAtMs,
    endedAtMs,
    end,
    status: head === "" ? undefined : Number(head.slice(9, 12)),
    hasSeal: findHeader(head, "server-seal") !== undefined,
    backend: findHeader(head, BACKEND_HEADER),
    namesLimit: findHeader(head, "server-limit") !== undefined,
    isLeaving: findHeader(head, "server-leaving") === "1",
    body: answer.slice(head.length),
  });
  if (/\r\nconnection: close/i.test(head)) {
    socket.destroy();
  }
}

function findHeader(head: string, name: string): string | undefined {
  return new RegExp(`\\r\\n${name}: *([^\\r]*)`, "i").exec(head)?.[1];
}

interface ExchangeResult {
  readonly endedAtMs: number;
  readonly end: SoakOutcome["end"];
  readonly answer: string;
}

function exchange(
  socket: Socket,
  text: string,
  waitLimitMs: number,
): Promise<ExchangeResult> {
  return new Promise((resolve) => {
    let answer = "";
    const finish = (end: SoakOutcome["end"]) => {
      clearTimeout(timer);
      socket.off("data", receive);
      socket.off("close", handleClose);
      if (end !== "answered") {
        socket.destroy();
      }
      resolve({ endedAtMs: performance.now(), end, answer });
    };
    const receive = (data: Uint8Array) => {
      answer += String(data);
      if (isComplete(answer)) {
        finish("answered");
      }
    };
    const handleClose = () => finish("cut");
    const timer = setTimeout(() => finish("left"), waitLimitMs);
    socket.on("data", receive);
    socket.on("close", handleClose);
    socket.write(text);
  });
}

function isComplete(answer: string): boolean {
  const head = RESPONSE_HEAD.exec(answer)?.[0];
  if (head === undefined) {
    return false;
  }
  const length = Number(/\r\ncontent-length: (\d+)/i.exec(head)?.[1] ?? 0);
  return answer.length - head.length >= length;
}
