/**
 * Callers that send their requests in parts, behind each other, and on
 * connections that they opened long before.
 */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { Random } from "../src/base/test/seeded_random.ts";
import { HOST } from "../platform/standin/configurations.ts";
import { playScript } from "../standin/scripted_caller.ts";
import type { CompleteAnswer, ScriptStep } from "../standin/scripted_caller.ts";

/** What became of one request; times by the monotonic clock. */
export interface PartsOutcome {
  readonly requestId: string;
  readonly entry: string;
  readonly isTransfer: boolean;
  /** When its last byte was sent. */
  readonly completeAtMs: number;
  /** Undefined if none came completely. */
  readonly answer: CompleteAnswer | undefined;
  /** When the connection was closed by the other end; undefined if not. */
  readonly closedAtMs: number | undefined;
  /** The other requests of the connection, and when its parts were sent. */
  readonly connection: string;
}

/** Parameters of one caller. */
export interface PartsCallerOptions {
  /** `host:port` of the entry node. */
  readonly entry: string;
  readonly random: Random;
  readonly createId: () => string;
  readonly isStopped: () => boolean;
  readonly recordOutcome: (outcome: PartsOutcome) => void;
}

interface DrawnRequest {
  readonly requestId: string;
  readonly isTransfer: boolean;
  readonly text: string;
}

interface DrawnScript {
  readonly steps: readonly ScriptStep[];
  readonly requests: readonly DrawnRequest[];
  /** Index of the step with the last byte of each request. */
  readonly lastSteps: readonly number[];
}

const MAX_REQUESTS = 3;
const MAX_CUTS = 4;
const MIN_TIMEOUT_MS = 400;
const MAX_TIMEOUT_MS = 6_000;
/** Longest time from the opening of a connection to its first byte. */
const MAX_UNUSED_MS = 3_000;
/** Share of the gaps between parts that are short. */
const SHORT_RATIO = 0.3;
const SHORT_GAP_MS = 40;
const LONG_GAP_MS = 3_000;
const RECONNECT_DELAY_MS = 80;
/** Time after the longest time limit until a caller gives up. */
const PATIENCE_MS = 2_000;
const BODY = "0123456789";

/** Plays scripts, each on a connection of its own, until stopped. */
export async function callInParts(options: PartsCallerOptions): Promise<void> {
  while (!options.isStopped()) {
    await playOne(options);
    await sleep(options.random() * RECONNECT_DELAY_MS);
  }
}

async function playOne(
  { entry, random, createId, recordOutcome }: PartsCallerOptions,
): Promise<void> {
  const { steps, requests, lastSteps } = drawScript(random, createId);
  const startedAtMs = performance.now();
  const { answers, closedAtMs, sentAtMs } = await playScript(entry, {
    steps,
    answerCount: requests.length,
    startedAtMs,
    endMs: steps.at(-1)![0] + MAX_TIMEOUT_MS + PATIENCE_MS,
  });
  const connection = JSON.stringify({
    ids: requests.map(({ requestId }) => requestId),
    statuses: answers.map(({ status }) => status),
    startedAtMs: Math.round(startedAtMs),
    sentAtMs: sentAtMs.map((atMs) => atMs && Math.round(startedAtMs + atMs)),
    lastSteps,
    heads: requests.map(({ text }) => text.slice(0, text.indexOf("\r\n\r\n"))),
    lengths: steps.map(([, text]) => text.length),
  });
  requests.forEach(({ requestId, isTransfer }, index) => {
    const completeAtMs = sentAtMs[lastSteps[index]!];
    if (completeAtMs !== undefined) {
      recordOutcome({
        requestId,
        entry,
        isTransfer,
        completeAtMs: startedAtMs + completeAtMs,
        answer: answers[index],
        closedAtMs: closedAtMs === undefined
          ? undefined
          : startedAtMs + closedAtMs,
        connection,
      });
    }
  });
}

/** Draws requests, and the times at which parts of their bytes are sent. */
function drawScript(random: Random, createId: () => string): DrawnScript {
  const count = 1 + Math.floor(random() * MAX_REQUESTS);
  const requests = Array.from(
    { length: count },
    () => drawRequest(random, createId()),
  );
  const text = requests.map((request) => request.text).join("");
  const cutCount = Math.floor(random() * (MAX_CUTS + 1));
  const cuts = Array.from(
    { length: cutCount },
    () => Math.floor(random() * text.length),
  ).sort((a, b) => a - b);
  const starts = [0, ...cuts];
  let atMs = random() < 0.5 ? 0 : random() * MAX_UNUSED_MS;
  const steps: ScriptStep[] = [[0, ""]];
  starts.forEach((start, index) => {
    steps.push([atMs, text.slice(start, starts[index + 1])]);
    atMs += random() * (random() < SHORT_RATIO ? SHORT_GAP_MS : LONG_GAP_MS);
  });
  let endAt = 0;
  const lastSteps = requests.map((request) => {
    endAt += request.text.length;
    return 1 + starts.findLastIndex((start) => start < endAt);
  });
  return { steps, requests, lastSteps };
}

function drawRequest(random: Random, requestId: string): DrawnRequest {
  const isTransfer = random() < 0.5;
  const timeoutMs = Math.round(
    MIN_TIMEOUT_MS + random() * (MAX_TIMEOUT_MS - MIN_TIMEOUT_MS),
  );
  const [framing, body] = drawBody(random);
  const [method, path] = isTransfer
    ? ["POST", "/transfer/1"]
    : ["GET", "/back/1"];
  const text = `${method} ${path} HTTP/1.1\r\nHost: ${HOST}\r\n` +
    `Request-Id: ${requestId}\r\nDeadline-Ms: ${timeoutMs}\r\n` +
    `${framing}\r\n${body}`;
  return { requestId, isTransfer, text };
}

/** Draws the header lines that frame a body, and the body as it is sent. */
function drawBody(random: Random): readonly [framing: string, body: string] {
  const length = `Content-Length: ${BODY.length}\r\n`;
  const kind = random();
  if (kind < 0.3) {
    return ["", ""];
  }
  if (kind < 0.6) {
    return [length, BODY];
  }
  if (kind < 0.8) {
    return [`Expect: 100-continue\r\n${length}`, BODY];
  }
  const chunks = [BODY.slice(0, 4), BODY.slice(4), ""];
  return [
    "Transfer-Encoding: chunked\r\n",
    chunks.map((chunk) => `${chunk.length}\r\n${chunk}\r\n`).join(""),
  ];
}
