/** Answers that a backend server begins and doesn't finish. */
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** How the connection of a cut answer ends. */
export const CUT_ENDS = ["closed", "reset", "closed in pieces"] as const;

/** One of `CUT_ENDS`. */
export type CutEnd = typeof CUT_ENDS[number];

/** A part of an answer, and what becomes of its connection. */
export interface CutAnswer {
  /** What was cut, and where. */
  readonly name: string;
  readonly bytes: string;
  readonly end: CutEnd;
}

/** Time after which the rest of a cut answer follows, or its reset. */
const PAUSE_MS = 3;

/**
 * Lists an answer cut after each of its bytes but the last, each with one of the
 * ends in turn; `turn` selects the end of the first one.
 */
export function listCuts(
  name: string,
  answer: string,
  turn: number,
): readonly CutAnswer[] {
  return Array.from({ length: answer.length - 1 }, (_, index) => ({
    name: `${name} after ${index + 1} of ${answer.length} bytes`,
    bytes: answer.slice(0, index + 1),
    end: CUT_ENDS[(index + turn) % CUT_ENDS.length]!,
  }));
}

/** Writes a cut answer, and ends its connection. */
export async function writeCut(
  socket: Socket,
  { bytes, end }: CutAnswer,
): Promise<void> {
  switch (end) {
    case "closed":
      socket.end(bytes);
      return;
    case "reset":
      socket.write(bytes);
      await sleep(PAUSE_MS);
      socket.resetAndDestroy();
      return;
    case "closed in pieces": {
      const half = Math.ceil(bytes.length / 2);
      socket.write(bytes.slice(0, half));
      await sleep(PAUSE_MS);
      socket.end(bytes.slice(half));
    }
  }
}

/**
 * Creates answers in each framing that a cut must not make whole, by name.
 * `fields` are further lines of the head, each with its line end. An answer
 * that its connection ends is left out: a cut in its body can't be told.
 */
export function createFramedAnswers(
  fields = "",
): Readonly<Record<string, string>> {
  const create = (lines: string, body = "", version = "1.1") =>
    `HTTP/${version} 200 OK\r\n${lines}${fields}\r\n${body}`;
  const chunks = "4\r\nhalf\r\n4\r\nhalf\r\n";
  const hint = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
  return {
    "a length": create("Content-Length: 10\r\n", "0123456789"),
    "an empty body": create("Content-Length: 0\r\n"),
    "a length, closing": create(
      "Connection: close\r\nContent-Length: 10\r\n",
      "0123456789",
    ),
    "HTTP/1.0": create("Content-Length: 10\r\n", "0123456789", "1.0"),
    "chunks": create(
      "Transfer-Encoding: chunked\r\n",
      `${chunks}0\r\n\r\n`,
    ),
    "chunks, closing": create(
      "Connection: close\r\nTransfer-Encoding: chunked\r\n",
      `${chunks}0\r\n\r\n`,
    ),
    "chunks with trailers": create(
      "Transfer-Encoding: chunked\r\n",
      `${chunks}0\r\nX-Sum: 12\r\n\r\n`,
    ),
    "an interim answer before": hint +
      create("Content-Length: 3\r\n", "abc"),
  };
}
