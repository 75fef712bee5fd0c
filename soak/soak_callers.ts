/** Callers of a soak: each uses its open connection until that is gone. */
import { connect } from "node:net";
import type { Socket } from "node:net";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { Random } from "../src/base/test/seeded_random.ts";
import { formatRequest } from "../platform/standin/front_and_back.ts";

/** What became of a request, as its caller saw it. */
export interface SoakOutcome {
  readonly requestId: string;
  readonly entry: string;
  readonly isTransfer: boolean;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** `left`: the caller closed; `cut`: the connection ended with no answer. */
  readonly end: "answered" | "left" | "cut";
  readonly status: number | undefined;
  readonly hasSeal: boolean;
  readonly body: string;
}

/** What a caller needs. */
export interface CallerOptions {
  readonly entry: string;
  readonly random: Random;
  readonly createId: () => string;
  readonly isOver: () => boolean;
  readonly note: (outcome: SoakOutcome) => void;
}

const PATIENCE_MS = 900;
const LEAVING_PART = 0.25;
const TRANSFER_PART = 0.3;
const PAUSE_MS = 30;
const RECONNECT_MS = 100;
const ANSWER = /^HTTP\/1\.1 (\d+)[^]*?\r\n\r\n/;

/** Calls one after the other on a connection, and opens the next one. */
export async function callUntilOver(options: CallerOptions): Promise<void> {
  while (!options.isOver()) {
    const socket = await openSocket(options.entry);
    if (socket === undefined) {
      await sleep(RECONNECT_MS);
      continue;
    }
    while (!socket.destroyed && !options.isOver()) {
      await callOnSocket(socket, options);
      await sleep(options.random() * PAUSE_MS);
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
  { entry, random, createId, note }: CallerOptions,
): Promise<void> {
  const requestId = createId();
  const isTransfer = random() < TRANSFER_PART;
  const isLeaving = random() < LEAVING_PART;
  const staysMs = isLeaving ? random() * PATIENCE_MS / 3 : 2 * PATIENCE_MS;
  const sentAtMs = performance.now();
  const text = formatRequest({
    requestId,
    callerTimeoutMs: PATIENCE_MS,
    isTransfer,
  });
  const read = await exchange(socket, text, staysMs);
  const { endedAtMs, end, answer } = read;
  const head = ANSWER.exec(answer)?.[0] ?? "";
  note({
    requestId,
    entry,
    isTransfer,
    sentAtMs,
    endedAtMs,
    end,
    status: head === "" ? undefined : Number(head.slice(9, 12)),
    hasSeal: /\r\nserver-seal:/i.test(head),
    body: answer.slice(head.length),
  });
  if (/\r\nconnection: close/i.test(head)) {
    socket.destroy();
  }
}

interface ExchangeRead {
  readonly endedAtMs: number;
  readonly end: SoakOutcome["end"];
  readonly answer: string;
}

function exchange(
  socket: Socket,
  text: string,
  staysMs: number,
): Promise<ExchangeRead> {
  return new Promise((resolve) => {
    let answer = "";
    const stop = (end: SoakOutcome["end"]) => {
      clearTimeout(timer);
      socket.off("data", take);
      socket.off("close", lose);
      if (end !== "answered") {
        socket.destroy();
      }
      resolve({ endedAtMs: performance.now(), end, answer });
    };
    const take = (data: Uint8Array) => {
      answer += String(data);
      if (isWhole(answer)) {
        stop("answered");
      }
    };
    const lose = () => stop("cut");
    const timer = setTimeout(() => stop("left"), staysMs);
    socket.on("data", take);
    socket.on("close", lose);
    socket.write(text);
  });
}

function isWhole(answer: string): boolean {
  const head = ANSWER.exec(answer)?.[0];
  if (head === undefined) {
    return false;
  }
  const length = Number(/\r\ncontent-length: (\d+)/i.exec(head)?.[1] ?? 0);
  return answer.length - head.length >= length;
}
