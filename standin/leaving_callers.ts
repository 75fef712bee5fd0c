/** Callers that disconnect early, and processes suspended by SIGSTOP. */
import type { ChildProcess } from "node:child_process";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";

/** Shortest time that `stopDuring` suspends a process. */
const MIN_STOP_MS = 600;
/** Time after which the callers of `leaveSoon` disconnect. */
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

/** Sends a request on each connection, and closes them after `STAY_MS`. */
export async function leaveSoon(
  sockets: readonly Socket[],
  formatRequest: (index: number) => string,
): Promise<void> {
  sockets.forEach((socket, index) => socket.write(formatRequest(index)));
  await sleep(STAY_MS);
  sockets.forEach((socket) => socket.destroy());
}

/** Suspends a process while `work` runs, for at least 600 ms. */
export async function stopDuring(
  child: ChildProcess,
  work: () => Promise<void>,
): Promise<void> {
  child.kill("SIGSTOP");
  try {
    await Promise.all([work(), sleep(MIN_STOP_MS)]);
  } finally {
    child.kill("SIGCONT");
  }
}

/**
 * Lengths of the alternating intervals in which a process is suspended and
 * runs: short ones, so that the process is slow but never late.
 */
export interface SlowTerms {
  readonly stoppedMs: number;
  readonly runsMs: number;
}

/** Slows a process down while `work` runs, by suspending it repeatedly. */
export async function slowDuring(
  child: ChildProcess,
  { stoppedMs, runsMs }: SlowTerms,
  work: () => Promise<void>,
): Promise<void> {
  let isDone = false;
  const completion = work().finally(() => {
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
  await completion;
}

/** The result of a caller that disconnects on an answer or a timeout. */
export interface Departure {
  readonly requestId: string;
  /** Time of the disconnect, by the monotonic clock. */
  readonly leftAtMs: number;
  /** Status of the answer; undefined on a timeout or a connection error. */
  readonly status: number | undefined;
}

/** Connects, sends a request, and closes on an answer or a timeout. */
export function callOnce(
  address: string,
  { requestId, request, callerTimeoutMs }: {
    readonly requestId: string;
    readonly request: string;
    readonly callerTimeoutMs: number;
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
    const timer = setTimeout(() => leave(undefined), callerTimeoutMs);
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
