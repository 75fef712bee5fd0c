/** Callers that leave soon, while a process is stopped by a signal. */
import type { ChildProcess } from "node:child_process";
import { connect } from "node:net";
import type { Socket } from "node:net";
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

function openConnection(address: string): Promise<Socket> {
  const [host, port] = address.split(":");
  return new Promise((resolve, reject) => {
    const socket = connect(Number(port), host, () => resolve(socket));
    socket.on("error", reject);
  });
}
