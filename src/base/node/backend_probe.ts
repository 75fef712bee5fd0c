/** Probes whether a backend server accepts connections. */
import { connect } from "node:net";
import type { ListenAddress } from "./listen.ts";

const PROBE_TIMEOUT_MS = 500;

/**
 * Opens a connection and closes it. Resolves to false only if connecting
 * fails with an error; a time-out counts as alive, because a process that is
 * slow to accept connections has not crashed.
 */
export function probeBackend(address: ListenAddress): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect(address);
    const settle = (isAlive: boolean) => {
      socket.destroy();
      resolve(isAlive);
    };
    socket.setTimeout(PROBE_TIMEOUT_MS, () => settle(true));
    socket.on("connect", () => settle(true));
    socket.on("error", () => settle(false));
  });
}
