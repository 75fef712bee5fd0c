/**
 * Finds free loopback ports below the kernel's ephemeral range, so that no
 * outgoing connection occupies them.
 */
import { createServer } from "node:net";

const FIRST_PORT = 10_000;
const PORT_COUNT = 22_000;

// Random, so that programs that run side by side try different ports.
let nextOffset = Math.floor(Math.random() * PORT_COUNT);

/** Finds a free port; does not return one twice until all have been tried. */
export async function findPort(): Promise<number> {
  for (;;) {
    const port = FIRST_PORT + (nextOffset++ % PORT_COUNT);
    if (await isFree(port)) {
      return port;
    }
  }
}

/** Finds a free `host:port` on loopback. */
export async function findAddress(): Promise<string> {
  return `127.0.0.1:${await findPort()}`;
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}
