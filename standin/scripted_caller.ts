/**
 * A caller that sends given bytes at given times on one connection, whatever
 * requests these are a part of.
 */
import { connect } from "node:net";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";

/** Bytes to send, and when, in milliseconds from the start of the script. */
export type ScriptStep = readonly [atMs: number, text: string];

/** What the caller saw on its connection; times count from the start. */
export interface ScriptResult {
  /** Final answers that came completely, in order. */
  readonly answers: readonly CompleteAnswer[];
  /** When the other end closed; undefined if it didn't. */
  readonly closedAtMs: number | undefined;
  /** When each step was sent; undefined after a close, or its announcement. */
  readonly sentAtMs: readonly (number | undefined)[];
}

/** An answer with its whole body. */
export interface CompleteAnswer {
  readonly status: number;
  readonly head: string;
  readonly body: string;
}

const HEAD = /^HTTP\/1\.1 (\d{3})[^]*?\r\n\r\n/;
const POLL_INTERVAL_MS = 10;

/**
 * Opens a connection to `address` at the time of the first step, and sends all
 * steps until the other end closes or announces it. Reads until then, or until
 * `answerCount` answers have come, or `endMs`.
 */
export async function playScript(
  address: string,
  { steps, answerCount, startedAtMs, endMs }: {
    readonly steps: readonly ScriptStep[];
    readonly answerCount: number;
    /** By `performance.now()`. */
    readonly startedAtMs: number;
    readonly endMs: number;
  },
): Promise<ScriptResult> {
  const readElapsedMs = () => performance.now() - startedAtMs;
  const waitUntil = (atMs: number) =>
    sleep(Math.max(0, atMs - readElapsedMs()));
  await waitUntil(steps[0]?.[0] ?? 0);
  const [host, port] = address.split(":");
  let received = "";
  let closedAtMs: number | undefined;
  const socket = connect(Number(port), host);
  socket.setNoDelay(true);
  const recordClose = () => closedAtMs ??= readElapsedMs();
  socket.on("data", (data) => received += data.toString("latin1"));
  socket.on("error", recordClose);
  socket.on("end", recordClose);
  socket.on("close", recordClose);
  const sentAtMs: (number | undefined)[] = [];
  for (const [atMs, text] of steps) {
    await waitUntil(atMs);
    if (closedAtMs !== undefined || announcesClose(received)) {
      sentAtMs.push(undefined);
    } else {
      sentAtMs.push(readElapsedMs());
      socket.write(text);
    }
  }
  while (
    closedAtMs === undefined && readElapsedMs() < endMs &&
    listAnswers(received).length < answerCount
  ) {
    await sleep(POLL_INTERVAL_MS);
  }
  socket.destroy();
  return { answers: listAnswers(received), closedAtMs, sentAtMs };
}

/** Lists the complete final answers in what was received on a connection. */
export function listAnswers(received: string): readonly CompleteAnswer[] {
  const answers: CompleteAnswer[] = [];
  let rest = received;
  for (let match = HEAD.exec(rest); match !== null; match = HEAD.exec(rest)) {
    const [head, status] = match;
    const isInterim = status!.startsWith("1");
    const length = Number(/\r\ncontent-length: *(\d+)/i.exec(head)?.[1] ?? 0);
    if (rest.length < head.length + length) {
      break;
    }
    const body = rest.slice(head.length, head.length + length);
    rest = rest.slice(head.length + length);
    if (!isInterim) {
      answers.push({ status: Number(status), head, body });
    }
  }
  return answers;
}

function announcesClose(received: string): boolean {
  return listAnswers(received)
    .some(({ head }) => /\r\nconnection: close\r\n/i.test(head));
}
