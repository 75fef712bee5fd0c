/** Callers that leave soon, while a process is stopped by a signal. */
import type { ChildProcess } from "node:child_process";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";

const STOPPED_MS = 600;
/** How long callers stay. */
export const STAY_MS = 130;

/** Opens connections to a `host:port`. */
export function openConnections(
  address: string,
  count: number,
): Promise<readonly Socket[]> {
  return Promise.all(
    Array.from({ length: count }, () => openConnection(address)),
  );
}

/** Sends a request on each connection, and closes them after a while. */
export async function leaveSoon(
  sockets: readonly Socket[],
  formatRequest: (index: number) => string,
): Promise<void> {
  sockets.forEach((socket, index) => socket.write(formatRequest(index)));
  await sleep(STAY_MS);
  sockets.forEach((socket) => socket.destroy());
}

/** Stops a process while `work` is done, for 600 ms at least. */
export async function stopDuring(
  child: ChildProcess,
  work: () => Promise<void>,
): Promise<void> {
  child.kill("SIGSTOP");
  try {
    await Promise.all([work(), sleep(STOPPED_MS)]);
  } finally {
    child.kill("SIGCONT");
  }
}

/** How a process is stopped over and over, so that it is slow, never late. */
export interface SlowTerms {
  readonly stoppedMs: number;
  readonly runsMs: number;
}

/** Slows a process down while `work` is done. */
export async function slowDuring(
  child: ChildProcess,
  { stoppedMs, runsMs }: SlowTerms,
  work: () => Promise<void>,
): Promise<void> {
  let isDone = false;
  const done = work().finally(() => {
    isDone = true;
  });
  try {
    while (!isDone) {
      child.kill("SIGSTOP");
      await sleep(stoppedMs);
      child.kill("SIGCONT");
      await sleep(runsMs);
    }
  } finally {
    child.kill("SIGCONT");
  }
  await done;
}

/** What a caller saw that left as soon as it was answered or out of patience. */
export interface Departure {
  readonly requestId: string;
  readonly leftAtMs: number;
  /** Status of the answer; undefined where none came in time. */
  readonly status: number | undefined;
}

/** Connects, sends a request, and closes when it is answered or after a time. */
export function callOnce(
  address: string,
  { requestId, request, patienceMs }: {
    readonly requestId: string;
    readonly request: string;
    readonly patienceMs: number;
  },
): Promise<Departure> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const socket = connect(Number(port), host);
    const leave = (status: number | undefined) => {
      clearTimeout(timer);
      socket.destroy();
      resolve({ requestId, leftAtMs: performance.now(), status });
    };
    const timer = setTimeout(() => leave(undefined), patienceMs);
    socket.on("connect", () => socket.write(request));
    socket.on("error", () => leave(undefined));
    socket.on("data", (head) => leave(Number(String(head).slice(9, 12))));
  });
}

function openConnection(address: string): Promise<Socket> {
  const [host, port] = address.split(":");
  return new Promise((resolve, reject) => {
    const socket = connect(Number(port), host, () => resolve(socket));
    socket.on("error", reject);
  });
}
